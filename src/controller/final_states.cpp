// What is known of ends that are decided and not recorded: what peers may rely on, and what operators hear.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/controller.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kLate = 5;  // users expect to hear of an end within 3 s of it
}  // namespace

// What the others may rely on when this leader does not answer them: up to when all that follows from
// cancellations is recorded. It stands still after a take-over until every need is known that was not live,
// and goes no further than the oldest end that waits to be recorded, however many wait before it.
void Controller::settle_ends() {
  while (!unknown_needs_.empty() && !dependencies_.awaits_unknown(unknown_needs_.front().second))
    unknown_needs_.pop_front();
  Seconds settled_at = out_.now();
  if (!unknown_needs_.empty()) {
    settled_at = unknown_needs_.front().first;
    if (settled_at <= loaded_at_)
      return;
  }
  // One that its user cancelled too may be recorded as that.
  for (const auto kind : {jobs::RecordKind::orphaned, jobs::RecordKind::cancelled})
    settled_at = std::min(settled_at, state_writer_.oldest_unrecorded(kind).value_or(settled_at));
  ends_settled_at_ = settled_at;
}

// One line when ends begin to be recorded late, and one when that is over.
void Controller::tell_late_ends() {
  using jobs::RecordKind;
  const jobs::StateWriter::Backlogs ends = state_writer_.backlogs();
  const auto of = [&ends](RecordKind kind) -> const jobs::StateWriter::Backlog& {
    return ends[jobs::index(kind)];
  };
  Seconds oldest = 0;
  std::uint64_t recorded = 0;
  for (const jobs::StateWriter::Backlog& backlog : ends) {
    oldest = std::max(oldest, backlog.oldest_s);
    recorded += backlog.recorded;
  }
  LateEnds& late = late_ends_;
  if (oldest > kLate) {
    late.longest = std::max(late.longest, oldest);
    if (late.since)
      return;
    late.since = out_.now();
    late.recorded = recorded;
    return spdlog::info(
        "ends are recorded late: {} completed, {} cancelled, {} whose need is cancelled wait, the oldest for "
        "{:.0f}, {:.0f} and {:.0f} s; {:.0f} changes a second are this node's",
        of(RecordKind::completed).waiting, of(RecordKind::cancelled).waiting,
        of(RecordKind::orphaned).waiting, of(RecordKind::completed).oldest_s,
        of(RecordKind::cancelled).oldest_s, of(RecordKind::orphaned).oldest_s, store_.write_rate());
  }
  if (!late.since)
    return;
  const Seconds took = std::max(kLate, out_.now() - *late.since);
  spdlog::info("ends are recorded in time again after {:.0f} s, the latest took {:.0f} s; {:.1f} a second",
               took, late.longest, static_cast<double>(recorded - late.recorded) / took);
  late = {};
}

}  // namespace wingtrail::controller
