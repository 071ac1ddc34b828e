#include "autoscaling/machine_returns.hpp"

#include <spdlog/spdlog.h>

#include "wire/cloud_messages.hpp"

namespace wingtrail::autoscaling {

using jobs::MachineIndex;
using workers::Machine;

void MachineReturns::clear() {
  ++generation_;
  in_flight_ = false;
  to_return_.clear();
}

void MachineReturns::schedule(const std::vector<MachineIndex>& machines, const char* reason) {
  for (const MachineIndex index : machines) {
    Machine& machine = workers_.machine_at(index);
    if (machine.gone || machine.being_returned)
      continue;
    machine.being_returned = true;
    workers_.mark_changed(machine);
    to_return_.insert(index);
    spdlog::info("autoscaler: returning machine host={} reason=\"{}\"", machine.host, reason);
  }
}

void MachineReturns::schedule_failed(MachineIndex machine) {
  to_return_.insert(machine);
}

void MachineReturns::send(const std::function<ports::Seconds()>& not_after) {
  constexpr std::size_t kMaxMachinesPerCall = 100;
  if (to_return_.empty() || in_flight_ || !calls_.try_take(/*urgent=*/true))
    return;
  std::vector<std::string> hosts;
  std::vector<MachineIndex> sent_machines;
  for (const MachineIndex index : to_return_) {
    if (hosts.size() >= kMaxMachinesPerCall)
      break;
    hosts.push_back(workers_.machine_at(index).host);
    sent_machines.push_back(index);
  }
  in_flight_ = true;
  ports::Call call;
  call.target = ports::Target::cloud;
  call.method = "POST";
  call.path = wire::kReturnPath;
  call.body = wire::return_body(hosts);
  call.timeout_s = kCloudCallTimeout;
  call.not_after = not_after();
  out_.call(std::move(call), [this, sent_machines, generation = generation_](const ports::Reply& reply) {
    if (generation != generation_)
      return;  // `clear` was called since
    in_flight_ = false;
    if (reply.status != 200)
      return;  // the machines stay in to_return_, so a later `send` repeats their return
    for (const MachineIndex index : sent_machines) {
      to_return_.erase(index);
      ++returned_;
      workers_.mark_gone(workers_.machine_at(index));
    }
  });
}

}  // namespace wingtrail::autoscaling
