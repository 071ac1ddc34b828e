#include "workers/unreconciled_machines.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace wingtrail::workers {
namespace {
constexpr Seconds kMinReconciledAfter = 1e-3;  // as reconciled_after() of 0 means: not yet
}

void UnreconciledMachines::begin_leadership(Seconds now) {
  clear();
  leading_ = true;
  leadership_began_at_ = now;
  reconciled_after_ = 0;
}

void UnreconciledMachines::clear() {
  leading_ = false;
  groups_.clear();
  count_ = 0;
  unknown_capacity_count_ = 0;
  capacity_ = {};
}

UnreconciledGroup& UnreconciledMachines::group_of(const Machine& machine) {
  for (UnreconciledGroup& group : groups_) {
    if (group.type == machine.type && group.zone == machine.zone && group.spot == machine.spot)
      return group;
  }
  groups_.push_back({machine.type, machine.zone, machine.spot, 0});
  return groups_.back();
}

void UnreconciledMachines::update(Machine& machine, Seconds now) {
  UnreconciledAccount& account = machine.unreconciled;
  const bool unfenced = !machine.gone && !machine.fenced;
  if (unfenced != account.counted_unfenced) {
    account.counted_unfenced = unfenced;
    group_of(machine).unfenced += unfenced ? 1 : -1;
  }
  const bool unreconciled = !machine.gone && (!machine.fenced || machine.stray_instance_count > 0);
  if (account.counted) {
    --count_;
    unknown_capacity_count_ -= account.cpus <= 0 ? 1 : 0;
    capacity_.cpus -= account.cpus;
    capacity_.gpus -= account.gpus;
  }
  account.counted = unreconciled;
  if (unreconciled) {
    account.cpus = machine.cpus;
    account.gpus = machine.gpus;
    ++count_;
    unknown_capacity_count_ += account.cpus <= 0 ? 1 : 0;
    capacity_.cpus += account.cpus;
    capacity_.gpus += account.gpus;
  } else if (count_ == 0 && leading_ && reconciled_after_ == 0) {
    reconciled_after_ = std::max(kMinReconciledAfter, now - leadership_began_at_);
    spdlog::info("workers: all machines reconciled after_s={:.2f}", reconciled_after_);
  }
}

std::optional<wire::Resources> UnreconciledMachines::resources() const {
  if (unknown_capacity_count_ > 0)
    return std::nullopt;
  if (count_ == 0)
    return wire::Resources{};
  return capacity_;
}

}  // namespace wingtrail::workers
