/// @file
/// Tracks the jobs whose queries this controller has deferred and not answered since.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "controller/deferral_reason.hpp"
#include "ports/outbox.hpp"

namespace wingtrail::controller {

using ports::Seconds;

/// The jobs without an answer since their first deferred query. A job that is no longer queried here is
/// forgotten, because its users may have been answered by another controller.
///
/// Every job must be answered again soon after the state service replies again. The tracker logs an error for
/// each job for which that does not hold.
class UnansweredQueries {
 public:
  /// Records that a user's query was deferred.
  void on_deferred(const std::string& ref, Seconds now, DeferralReason reason);
  /// Records that a query or a submission of the job was answered.
  void on_answered(const std::string& ref) {
    jobs_.erase(ref);
  }
  /// Returns since when the job is unanswered; `now` if it is not.
  Seconds unanswered_since(const std::string& ref, Seconds now) const;
  /// Forgets jobs that are no longer queried, and reports those that are overdue. Must be called
  /// periodically.
  void update(Seconds now, bool state_service_healthy);

  /// Number of unanswered jobs.
  std::size_t count() const {
    return jobs_.size();
  }
  /// Time in s since the first deferred query of the job that has been unanswered for longest.
  Seconds longest(Seconds now) const;
  /// Number of jobs so far that were unanswered for too long while the state service replied.
  std::uint64_t overdue_count() const {
    return overdue_count_;
  }

 private:
  struct UnansweredJob {
    Seconds since = 0;
    Seconds last_query_at = 0;
    DeferralReason reason = DeferralReason::no_reply;
    bool reported = false;
  };
  void report_if_overdue(const std::string& ref, UnansweredJob& job, Seconds now);

  std::unordered_map<std::string, UnansweredJob> jobs_;  // by reference
  Seconds healthy_since_ = 0;                            // since when the state service has replied
  std::uint64_t overdue_count_ = 0;
};

}  // namespace wingtrail::controller
