#include "controller/final_state_query.hpp"

#include <string_view>
#include <utility>

#include "jobs/state_writer.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr ports::Seconds kRetryDelay = 0.3;
constexpr int kMaxInFlight = 8;
}  // namespace

struct FinalStateQuery::Run {
  std::vector<std::string> refs;  // still to be asked about
  std::set<std::string> with_final_state;
  int open = 0;  // comparisons in flight, or to be repeated
  bool finished = false;
  std::uint64_t term = 0;
  Callback then;
};

FinalStateQuery::FinalStateQuery(ports::Outbox& out, store::StateClient& store,
                                 const settings::Settings& settings, Leadership leadership)
    : out_(out), store_(store), settings_(settings), leadership_(std::move(leadership)) {}

void FinalStateQuery::ask(std::vector<std::string> refs, Callback then) {
  auto run = std::make_shared<Run>(Run{std::move(refs), {}, 0, false, leadership_.term(), std::move(then)});
  for (int i = 0; i < kMaxInFlight; ++i)
    ask_some(run);
}

void FinalStateQuery::ask_some(const std::shared_ptr<Run>& run) {
  // Whoever finds nothing left to ask, and no comparison open, is the last. A comparison to be repeated may
  // find that another one has asked for its jobs; it then still has to look whether it is the last, or the
  // leader would renew its lease without ever having finished loading.
  if (run->refs.empty()) {
    if (run->open == 0 && !std::exchange(run->finished, true))
      run->then(run->with_final_state);
    return;
  }
  wire::Transaction txn;
  std::vector<std::string> asked;
  while (!run->refs.empty() && txn.condition_count() < 4 * settings_.max_transaction_changes) {
    asked.push_back(std::move(run->refs.back()));
    run->refs.pop_back();
    txn.require(jobs::kFinalStatePrefix + asked.back(), 0);
  }
  ++run->open;
  store_.transact(
      std::move(txn), store::RequestPriority::lease, ports::kNever,
      [this, run, asked = std::move(asked)](const store::Reply& reply) { on_reply(run, asked, reply); });
}

void FinalStateQuery::on_reply(const std::shared_ptr<Run>& run, const std::vector<std::string>& asked,
                               const store::Reply& reply) {
  if (run->term != leadership_.term())
    return;
  --run->open;
  const bool none_has_final_state = reply.status == 200;
  const bool some_have_final_state = reply.status == 409;
  if (none_has_final_state || some_have_final_state)
    leadership_.on_answer();
  if (!none_has_final_state && !some_have_final_state) {
    run->refs.insert(run->refs.end(), asked.begin(), asked.end());
    ++run->open;
    return out_.after(kRetryDelay, [this, run] {
      if (run->term != leadership_.term())
        return;
      --run->open;
      ask_some(run);
    });
  }
  constexpr std::size_t kPrefixLength = std::string_view(jobs::kFinalStatePrefix).size();
  if (some_have_final_state) {
    for (const std::string& key : wire::failed_keys(reply.body))
      run->with_final_state.insert(key.substr(kPrefixLength));
  }
  ask_some(run);
}

}  // namespace wingtrail::controller
