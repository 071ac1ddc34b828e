#include "scheduling/short_partition.hpp"

namespace wingtrail::scheduling {

using jobs::MachineIndex;
using workers::Machine;

void update_short_partition(workers::WorkerManager& workers, double share) {
  std::size_t spot_up = 0, up = 0;  // machines
  for (const MachineIndex index : workers.live_machines()) {
    const Machine& machine = workers.machine_at(index);
    up += machine.has_incarnation;
    spot_up += machine.has_incarnation && machine.spot;
  }
  const auto size = static_cast<std::size_t>(share * static_cast<double>(up));
  std::size_t ordinary_left = spot_up < size ? size - spot_up : 0;
  for (const MachineIndex index : workers.live_machines()) {
    Machine& machine = workers.machine_at(index);
    bool short_only = machine.spot && size > 0 && spot_up <= size;
    if (!machine.spot && machine.has_incarnation && ordinary_left > 0) {
      short_only = true;
      --ordinary_left;
    }
    if (short_only == machine.short_only)
      continue;
    machine.short_only = short_only;
    workers.mark_changed(machine);
  }
}

}  // namespace wingtrail::scheduling
