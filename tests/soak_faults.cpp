#include "soak_faults.hpp"

#include <algorithm>
#include <cmath>

namespace wingtrail::simulation {
namespace {
constexpr double kFirstFaultS = 10;
constexpr double kMeanIntervalS = 3;
constexpr double kMinDurationS = 2, kMaxDurationS = 10;
constexpr double kCommandsDelayedByS = 16, kWritesDelayedByS = 12;  // at most
}  // namespace

void SoakFaults::schedule() {
  constexpr double kRepeatedShare = 0.2, kLongestCopyDelayS = 10;
  cluster_.schedule_at(kFirstFaultS, [this] {
    cluster_.repeat_requests(kRepeatedShare, end_s_ - kFirstFaultS - kLongestCopyDelayS, kLongestCopyDelayS);
  });
  double at = kFirstFaultS;
  while (at + kMinDurationS < end_s_) {
    const double duration_s = std::min(between(kMinDurationS, kMaxDurationS), end_s_ - at);
    cluster_.schedule_at(at, [this, duration_s] { begin_fault(duration_s); });
    at += between(0, 2 * kMeanIntervalS);
  }
}

double SoakFaults::between(double low, double high) {
  return low + (high - low) * std::ldexp(static_cast<double>(random_()), -32);
}

std::size_t SoakFaults::any_controller() {
  return random_(kControllers);
}

std::size_t SoakFaults::leader() {
  return cluster_.leader_key_holder().value_or(0);
}

void SoakFaults::begin_fault(double duration_s) {
  constexpr std::uint32_t kKinds = 14;
  const double share = between(0.1, 0.5);
  const bool late_may_end = cluster_.now() + duration_s + kCommandsDelayedByS < end_s_;
  switch (random_(kKinds)) {
    case 0:
      return cluster_.crash(any_controller());
    case 1:
      for (std::size_t i = 0; i < kControllers; ++i)
        cluster_.crash(i);
      return;
    case 2:
      return kill_leaders(duration_s);
    case 3:
      return pause(leader(), duration_s);
    case 4:
      return starve(leader(), duration_s);
    case 5:
      return starve(any_controller(), duration_s);
    case 6:
      return cluster_.state_outage(duration_s);
    case 7:
      return cluster_.refuse_state_service(leader(), duration_s);
    case 8:
      return cluster_.state_slow(duration_s);
    case 9:
      return cluster_.cut_node(leader(), random_(2) == 0, true, duration_s, false);
    case 10:
      return cluster_.delay_writes(share, late_may_end ? duration_s : duration_s / 2, !late_may_end);
    case 11:
      if (late_may_end)
        cluster_.delay_commands(share, duration_s);
      return;
    case 12:
      cluster_.cancel_running_jobs(4, 0);
      return cluster_.poll_all_nodes(duration_s);
    default:
      return cluster_.send_malformed_requests(duration_s);
  }
}

void SoakFaults::pause(std::size_t controller, double duration_s) {
  cluster_.extend_fault_period(duration_s);
  processes_.pause(controller);
  cluster_.schedule_after(duration_s, [this, controller] { processes_.resume(controller); });
}

void SoakFaults::starve(std::size_t controller, double duration_s) {
  constexpr double kPeriodS = 0.1, kStoppedS = 0.08;
  cluster_.extend_fault_period(duration_s);
  for (double t = 0; t < duration_s; t += kPeriodS) {
    cluster_.schedule_after(t, [this, controller] { processes_.pause(controller); });
    cluster_.schedule_after(t + kStoppedS, [this, controller] { processes_.resume(controller); });
  }
}

void SoakFaults::kill_leaders(double duration_s) {
  constexpr double kIntervalS = 3;
  for (double t = 0; t < duration_s; t += kIntervalS)
    cluster_.schedule_after(t, [this] { cluster_.crash(leader()); });
}

}  // namespace wingtrail::simulation
