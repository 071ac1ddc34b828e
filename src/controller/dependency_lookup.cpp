/// @file
/// What follows from jobs that were read or have reached their final state, and the look-up of dependencies
/// that this leader knows nothing of.
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
    workers_.cancel_job(*job);  // nothing of it runs, unless a version without dependencies led in between
  }
  for (std::string& ref : dependencies_.take_unknown()) {
    unknown_dependencies_.emplace_back(out_.now(), ref);
    dependencies_to_look_up_.push_back(std::move(ref));
  }
  look_up_unknown_dependencies();
}

void Controller::look_up_unknown_dependencies() {
  // A failover may leave hundreds to look up, and others need the state service too.
  constexpr int kMaxInFlight = 8;
  while (is_active_leader() && dependency_lookups_in_flight_ < kMaxInFlight &&
         !dependencies_to_look_up_.empty()) {
    const std::string ref = std::move(dependencies_to_look_up_.front());
    dependencies_to_look_up_.pop_front();
    if (dependencies_.awaits_unknown(ref))
      look_up_dependency(ref);
  }
}

// Most dependencies that are not live were over before this leadership. One that is not over either was
// created a moment ago, and its creation has not been seen here yet. Absent is never taken for done.
void Controller::look_up_dependency(const std::string& ref) {
  ++dependency_lookups_in_flight_;
  store_.get(jobs::kFinalStatePrefix + ref, store::RequestPriority::user,
             [this, ref, term = term_](const store::Reply& reply) {
               if (term != term_)
                 return;
               --dependency_lookups_in_flight_;
               const auto item = reply.status == 200 ? wire::parse_item(reply.body) : wire::malformed("");
               if (const auto ended = item ? wire::parse_final_state(item->value) : std::nullopt) {
                 on_final_state(ref, *ended);
                 return process_dependencies();
               }
               const auto again = [this, ref, term] {
                 out_.after(kRetryDelay, [this, ref, term] {
                   if (term == term_ && dependencies_.awaits_unknown(ref))
                     dependencies_to_look_up_.push_back(ref);
                 });
               };
               if (reply.status != 404)
                 return again();
               ++dependency_lookups_in_flight_;
               lookup_.look_up(ref, store::RequestPriority::user, LookupDetail::live_record,
                               [this, ref, term, again](const LookupResult& result) {
                                 if (term != term_)
                                   return;
                                 --dependency_lookups_in_flight_;
                                 if (result.live)
                                   on_live_job_read(*result.live);
                                 else if (result.outcome == LookupOutcome::absent)
                                   spdlog::error("dependencies: unknown dependency ref={}", ref);
                                 process_dependencies();
                                 if (dependencies_.awaits_unknown(ref))
                                   again();
                               });
             });
}

}  // namespace wingtrail::controller
