#include "controller/final_state_query.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "jobs/state_writer.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr ports::Seconds kRetryDelay = 0.3;
constexpr int kMaxInFlight = 8;
constexpr int kStatusConditionsHold = 200;
constexpr int kStatusConditionsFail = 409;

// The jobs among `compared` whose final state the refusal names; any other key in it is ignored.
std::vector<std::string> with_final_state(const std::vector<std::string>& compared,
                                          const wire::Value& refusal) {
  const auto failed = wire::failed_keys(refusal);
  std::vector<std::string> refs;
  std::copy_if(compared.begin(), compared.end(), std::back_inserter(refs), [&failed](const std::string& ref) {
    return std::find(failed.begin(), failed.end(), jobs::kFinalStatePrefix + ref) != failed.end();
  });
  return refs;
}
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
  std::vector<std::string> found;
  if (reply.status == kStatusConditionsFail)
    found = with_final_state(compared, reply.body);
  // A failed comparison that names none of the jobs shows nothing about them.
  const bool answered = reply.status == kStatusConditionsHold || !found.empty();
  if (!answered) {
    run->refs.insert(run->refs.end(), compared.begin(), compared.end());
    ++run->open;
    return outbox_.after(kRetryDelay, [this, run] {
      if (run->term != leadership_.term())
        return;
      --run->open;
      send_next(run);
    });
  }
  leadership_.on_answer();
  run->with_final_state.insert(found.begin(), found.end());
  send_next(run);
}

}  // namespace wingtrail::controller
