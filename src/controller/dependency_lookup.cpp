/// @file
/// Handles jobs whose dependencies are all done or whose dependency is cancelled, and looks up dependencies
/// that this leader does not know.
#include <spdlog/spdlog.h>

#include "controller/controller.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kRetryDelay = 0.5;
}  // namespace

void Controller::process_dependencies() {
  for (const jobs::JobIndex index : dependencies_.take_ready()) {
    jobs::Job* job = registry_.job_at(index);
    if (!job || !job->is_open())
      continue;
    ++stats_.dependencies_met;
    spdlog::debug("dependencies: all done ref={}", job->spec.ref);
    scheduler_.record_arrival(*job);
    scheduler_.on_job_ready(*job);
  }
  for (const jobs::JobIndex index : dependencies_.take_orphans()) {
    jobs::Job* job = registry_.job_at(index);
    if (!job || !job->is_open())
      continue;
    ++stats_.orphaned;
    spdlog::info("dependencies: orphaned ref={}", job->spec.ref);
    state_writer_.record_orphan(*job);
    // The job can have running tasks only if a leader whose version lacks dependencies started them.
    workers_.cancel_job(*job);
  }
  for (std::string& ref : dependencies_.take_unknown()) {
    unknown_dependencies_.emplace_back(out_.now(), ref);
    dependencies_to_look_up_.push_back(std::move(ref));
  }
  look_up_unknown_dependencies();
}

void Controller::look_up_unknown_dependencies() {
  // A failover may leave hundreds of lookups; the limit leaves part of the request budget to others.
  constexpr int kMaxInFlight = 8;
  while (is_active_leader() && dependency_lookups_in_flight_ < kMaxInFlight &&
         !dependencies_to_look_up_.empty()) {
    const std::string ref = std::move(dependencies_to_look_up_.front());
    dependencies_to_look_up_.pop_front();
    if (dependencies_.awaits_unknown(ref))
      look_up_dependency(ref);
  }
}

// Most dependencies that are not live became final before this leadership. One without a final state was
// created a moment ago, and the watch has not reported it yet. An absent dependency never counts as done.
void Controller::look_up_dependency(const std::string& ref) {
  ++dependency_lookups_in_flight_;
  store_.get(jobs::kFinalStatePrefix + ref, store::RequestPriority::user,
             [this, ref, term = term_](const store::Reply& reply) {
               if (term != term_)
                 return;
               --dependency_lookups_in_flight_;
               const auto item = reply.status == 200 ? wire::parse_item(reply.body) : wire::malformed("");
               if (const auto final_state = item ? wire::parse_final_state(item->value) : std::nullopt) {
                 on_final_state(ref, *final_state);
                 return process_dependencies();
               }
               const auto retry_later = [this, ref, term] {
                 out_.after(kRetryDelay, [this, ref, term] {
                   if (term == term_ && dependencies_.awaits_unknown(ref))
                     dependencies_to_look_up_.push_back(ref);
                 });
               };
               if (reply.status != 404)
                 return retry_later();
               ++dependency_lookups_in_flight_;
               lookup_.look_up(ref, store::RequestPriority::user, LookupDetail::live_record,
                               [this, ref, term, retry_later](const LookupResult& result) {
                                 if (term != term_)
                                   return;
                                 --dependency_lookups_in_flight_;
                                 if (result.live)
                                   on_live_job_read(*result.live);
                                 else if (result.outcome == LookupOutcome::absent)
                                   spdlog::error("dependencies: unknown dependency ref={}", ref);
                                 process_dependencies();
                                 if (dependencies_.awaits_unknown(ref))
                                   retry_later();
                               });
             });
}

}  // namespace wingtrail::controller
