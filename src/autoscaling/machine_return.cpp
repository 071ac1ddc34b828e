// Returning machines, those that are lost or faulty at once.
#include <spdlog/spdlog.h>

#include "autoscaling/autoscaler.hpp"

namespace wingtrail::autoscaling {
namespace {
constexpr Seconds kCallTimeout = 4;
constexpr std::size_t kMostPerReturn = 100;
}  // namespace

void Autoscaler::schedule_return(const std::vector<MachineIndex>& machines, const char* why) {
  for (const MachineIndex ix : machines) {
    Machine& m = workers_.machine_at(ix);
    if (m.gone || m.being_returned)
      continue;
    m.being_returned = true;
    workers_.mark_changed(m);
    to_return_.insert(ix);
    spdlog::info("returning {}: {}", m.host, why);
  }
}

void Autoscaler::send_returns() {
  if (returning_ || !take_cloud_call(true))
    return;
  std::vector<std::string> hosts;
  std::vector<MachineIndex> batch;
  for (const MachineIndex ix : to_return_) {
    if (hosts.size() >= kMostPerReturn)
      break;
    hosts.push_back(workers_.machine_at(ix).host);
    batch.push_back(ix);
  }
  returning_ = true;
  ports::Call call;
  call.target = ports::Target::cloud;
  call.method = "POST";
  call.path = wire::kReturnPath;
  call.body = wire::return_body(hosts);
  call.timeout_s = kCallTimeout;
  call.not_after = leadership_.lease_expires_at();
  out_.call(std::move(call), [this, batch, term = term_](const ports::Reply& r) {
    if (term != term_)
      return;
    returning_ = false;
    if (r.status != 200)
      return;  // still in to_return_: asked again
    for (const MachineIndex ix : batch) {
      to_return_.erase(ix);
      ++machines_returned_;
      workers_.mark_gone(workers_.machine_at(ix));
    }
  });
}

// Machines that do not do their work are replaced; a return also ends whatever is on them, so their tasks can
// be started elsewhere at once instead of when a lease has run out.
void Autoscaler::watch_health() {
  // A machine of a zone out of reach goes on unseen, and a return would end what runs on it; one that is lost
  // while its zone is heard has nothing left to lose. Counting the silent ones instead returned 231 sound
  // machines of a zone whose machines fell silent one after the other.
  if (out_.now() >= judge_after_ && !workers_.unresponsive_machines().empty()) {
    std::vector<MachineIndex> lost;
    for (const MachineIndex ix : workers_.unresponsive_machines()) {
      const Machine& m = workers_.machine_at(ix);
      if (!m.being_returned && (m.unreachable || !m.has_incarnation) && workers_.lost_alone(m))
        lost.push_back(ix);
    }
    schedule_return(lost, "silent");
  }
  schedule_return(std::exchange(faulty_machines_, {}), "faulty");
  schedule_return(std::exchange(never_reported_, {}), "never came up");
}

}  // namespace wingtrail::autoscaling
