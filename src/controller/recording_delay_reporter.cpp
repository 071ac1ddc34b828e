#include "controller/recording_delay_reporter.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace wingtrail::controller {
namespace {
constexpr Seconds kLate = 5;  // users expect to see a final state within 3 s
}  // namespace

void RecordingDelayReporter::update(Seconds now, const jobs::StateWriter::Backlogs& backlogs,
                                    double writes_per_s) {
  using jobs::RecordKind;
  const auto backlog_of = [&backlogs](RecordKind kind) -> const jobs::StateWriter::Backlog& {
    return backlogs[jobs::index(kind)];
  };
  Seconds oldest = 0;
  std::uint64_t recorded = 0;
  for (const jobs::StateWriter::Backlog& backlog : backlogs) {
    oldest = std::max(oldest, backlog.oldest_s);
    recorded += backlog.recorded;
  }
  if (oldest > kLate) {
    longest_delay_ = std::max(longest_delay_, oldest);
    if (late_since_)
      return;
    late_since_ = now;
    recorded_before_ = recorded;
    return spdlog::info(
        "state_writer: final states are late completed={} cancelled={} orphaned={} oldest_completed_s={:.0f} "
        "oldest_cancelled_s={:.0f} oldest_orphaned_s={:.0f} writes_per_s={:.0f}",
        backlog_of(RecordKind::completed).waiting, backlog_of(RecordKind::cancelled).waiting,
        backlog_of(RecordKind::orphaned).waiting, backlog_of(RecordKind::completed).oldest_s,
        backlog_of(RecordKind::cancelled).oldest_s, backlog_of(RecordKind::orphaned).oldest_s, writes_per_s);
  }
  if (!late_since_)
    return;
  const Seconds late_for = std::max(kLate, now - *late_since_);
  spdlog::info(
      "state_writer: final states in time again after_s={:.0f} longest_delay_s={:.0f} recorded_per_s={:.1f}",
      late_for, longest_delay_, static_cast<double>(recorded - recorded_before_) / late_for);
  reset();
}

}  // namespace wingtrail::controller
