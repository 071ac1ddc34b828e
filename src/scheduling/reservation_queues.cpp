#include "scheduling/reservation_queues.hpp"

#include <algorithm>
#include <utility>

namespace wingtrail::scheduling {

using jobs::JobIndex;
using jobs::MachineIndex;

void ReservationQueues::clear() {
  queues_.clear();
  machines_with_queue_.clear();
  is_listed_.clear();
  reserved_.clear();
}

std::vector<ReservationQueues::Reservation>& ReservationQueues::queue_of(MachineIndex machine) {
  if (queues_.size() <= machine) {
    queues_.resize(machine + 1);
    is_listed_.resize(machine + 1);
  }
  return queues_[machine];
}

void ReservationQueues::list_machine(MachineIndex machine) {
  if (is_listed_[machine])
    return;
  is_listed_[machine] = true;
  machines_with_queue_.push_back(machine);
}

void ReservationQueues::add(MachineIndex machine, JobIndex job, std::uint32_t tasks) {
  queue_of(machine).push_back({job, tasks});
  list_machine(machine);
  reserved_[job] += tasks;
}

std::uint32_t ReservationQueues::reserved_tasks(JobIndex job) const {
  const auto it = reserved_.find(job);
  return it == reserved_.end() ? 0 : it->second;
}

const std::vector<ReservationQueues::Reservation>& ReservationQueues::queue(MachineIndex machine) {
  return queue_of(machine);
}

void ReservationQueues::subtract_reserved(JobIndex job, std::uint32_t tasks) {
  const auto it = reserved_.find(job);
  if (it != reserved_.end())
    it->second -= std::min(it->second, tasks);
}

void ReservationQueues::drop_obsolete(MachineIndex machine, const JobPredicate& is_obsolete) {
  std::erase_if(queue_of(machine), [&](const Reservation& reservation) {
    const bool obsolete = is_obsolete(reservation.job);
    if (obsolete)
      subtract_reserved(reservation.job, reservation.tasks);
    return obsolete;
  });
}

void ReservationQueues::consume_task(MachineIndex machine, std::size_t position) {
  auto& queue = queue_of(machine);
  subtract_reserved(queue[position].job, 1);
  if (--queue[position].tasks == 0)
    queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(position));
}

void ReservationQueues::drop_machine(MachineIndex machine) {
  if (queues_.size() <= machine)
    return;
  for (const Reservation& reservation : std::exchange(queues_[machine], {}))
    subtract_reserved(reservation.job, reservation.tasks);
}

void ReservationQueues::remove_job(JobIndex job) {
  reserved_.erase(job);
}

bool ReservationQueues::steal(MachineIndex thief, int attempts, pcg32& rng, const JobPredicate& can_start) {
  for (int attempt = 0; attempt < attempts && !machines_with_queue_.empty(); ++attempt) {
    const std::size_t drawn = rng(static_cast<std::uint32_t>(machines_with_queue_.size()));
    const MachineIndex victim = machines_with_queue_[drawn];
    auto& queue = queues_[victim];
    if (queue.empty()) {
      is_listed_[victim] = false;
      machines_with_queue_[drawn] = machines_with_queue_.back();
      machines_with_queue_.pop_back();
      continue;
    }
    if (victim == thief)
      continue;
    for (std::size_t position = 0; position < queue.size(); ++position) {
      if (!can_start(queue[position].job))
        continue;
      const Reservation stolen = queue[position];
      queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(position));
      queue_of(thief).push_back(stolen);
      list_machine(thief);
      return true;
    }
  }
  return false;
}

}  // namespace wingtrail::scheduling
