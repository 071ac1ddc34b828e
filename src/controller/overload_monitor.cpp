#include "controller/overload_monitor.hpp"

#include <spdlog/spdlog.h>

#include <string>

namespace wingtrail::controller {
namespace {
constexpr Seconds kRecoveryTime = 5;  // overload ends after this long without a deferral
}  // namespace

void OverloadMonitor::update(Seconds now, const admission::CreationQueue& queue, double write_share) {
  const std::uint64_t deferred = queue.counts().deferred;
  if (deferred != deferred_seen_) {
    deferred_seen_ = deferred;
    last_deferral_at_ = now;
    if (!overloaded_) {
      overloaded_ = true;
      overloaded_since_ = now;
      std::string team;
      std::string job_class;
      std::uint64_t highest_count = 0;
      for (const auto& [team_and_class, count] : queue.deferred_by_class()) {
        if (count <= highest_count)
          continue;
        highest_count = count;
        team = team_and_class.first;
        job_class = team_and_class.second;
      }
      spdlog::info(
          "admission: overload began most_deferred_team={} most_deferred_class={} write_share={:.2f}", team,
          job_class, write_share);
    }
  }
  if (overloaded_ && now > last_deferral_at_ + kRecoveryTime) {
    overloaded_ = false;
    // The logged duration ends with the last deferral, so it leaves out kRecoveryTime.
    spdlog::info("admission: overload ended after_s={:.0f} deferred_total={}",
                 last_deferral_at_ - overloaded_since_, deferred);
  }
}

}  // namespace wingtrail::controller
