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
  std::vector<std::string> refs;  // still to be compared
  std::set<std::string> with_final_state;
  int open = 0;  // comparisons in flight, or to be repeated
  bool finished = false;
  std::uint64_t term = 0;
  Callback then;
};

FinalStateQuery::FinalStateQuery(ports::Outbox& outbox, store::StateClient& store,
                                 const settings::Settings& settings, Leadership leadership)
    : outbox_(outbox), store_(store), settings_(settings), leadership_(std::move(leadership)) {}

void FinalStateQuery::start(std::vector<std::string> refs, Callback then) {
  auto run = std::make_shared<Run>(Run{std::move(refs), {}, 0, false, leadership_.term(), std::move(then)});
  for (int i = 0; i < kMaxInFlight; ++i)
    send_next(run);
}

void FinalStateQuery::send_next(const std::shared_ptr<Run>& run) {
  // The run is finished once no references are left and no comparison is open. A repetition must check this
  // too: another comparison may have taken its references meanwhile, and without the check the run would
  // never finish, while the leader renews its lease without ever finishing to load.
  if (run->refs.empty()) {
    if (run->open == 0 && !std::exchange(run->finished, true))
      run->then(run->with_final_state);
    return;
  }
  wire::Transaction transaction;
  std::vector<std::string> compared;
  while (!run->refs.empty() && transaction.condition_count() < 4 * settings_.max_transaction_changes) {
    compared.push_back(std::move(run->refs.back()));
    run->refs.pop_back();
    transaction.require(jobs::kFinalStatePrefix + compared.back(), 0);
  }
  ++run->open;
  store_.transact(std::move(transaction), store::RequestPriority::lease, ports::kNever,
                  [this, run, compared = std::move(compared)](const store::Reply& reply) {
                    on_reply(run, compared, reply);
                  });
}

void FinalStateQuery::on_reply(const std::shared_ptr<Run>& run, const std::vector<std::string>& compared,
                               const store::Reply& reply) {
  if (run->term != leadership_.term())
    return;
  --run->open;
  const bool none_has_final_state = reply.status == 200;
  const bool some_have_final_state = reply.status == 409;
  if (none_has_final_state || some_have_final_state)
    leadership_.on_answer();
  if (!none_has_final_state && !some_have_final_state) {
    run->refs.insert(run->refs.end(), compared.begin(), compared.end());
    ++run->open;
    return outbox_.after(kRetryDelay, [this, run] {
      if (run->term != leadership_.term())
        return;
      --run->open;
      send_next(run);
    });
  }
  constexpr std::size_t kPrefixLength = std::string_view(jobs::kFinalStatePrefix).size();
  if (some_have_final_state) {
    for (const std::string& key : wire::failed_keys(reply.body))
      run->with_final_state.insert(key.substr(kPrefixLength));
  }
  send_next(run);
}

}  // namespace wingtrail::controller
