#include "controller/unanswered_queries.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace wingtrail::controller {
namespace {
constexpr Seconds kForgetAfter = 15;  // users repeat a query every 5 s
constexpr Seconds kOverdueAfter = 30;
}  // namespace

void UnansweredQueries::on_deferred(const std::string& ref, Seconds now, DeferralReason reason) {
  UnansweredJob& job = jobs_.try_emplace(ref, UnansweredJob{now}).first->second;
  job.last_query_at = now;
  job.reason = reason;
}

Seconds UnansweredQueries::unanswered_since(const std::string& ref, Seconds now) const {
  const auto job = jobs_.find(ref);
  return job == jobs_.end() ? now : job->second.since;
}

void UnansweredQueries::update(Seconds now, bool state_service_healthy) {
  if (!state_service_healthy)
    healthy_since_ = now;
  std::erase_if(jobs_, [now](const auto& entry) { return entry.second.last_query_at < now - kForgetAfter; });
  for (auto& [ref, job] : jobs_)
    report_if_overdue(ref, job, now);
}

void UnansweredQueries::report_if_overdue(const std::string& ref, UnansweredJob& job, Seconds now) {
  const Seconds answerable_since = std::max(job.since, healthy_since_);
  if (job.reported || now - answerable_since < kOverdueAfter)
    return;
  job.reported = true;
  ++overdue_count_;
  spdlog::error("queries: unanswered ref={} for_s={:.0f} state_service_healthy_for_s={:.0f} reason={}", ref,
                now - job.since, now - healthy_since_, name(job.reason));
}

Seconds UnansweredQueries::longest(Seconds now) const {
  Seconds longest = 0;
  for (const auto& [ref, job] : jobs_)
    longest = std::max(longest, now - job.since);
  return longest;
}

}  // namespace wingtrail::controller
