#include "autoscaling/machine_listing.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "wire/cloud_messages.hpp"

namespace wingtrail::autoscaling {

using jobs::MachineIndex;
using workers::Machine;

void MachineListing::clear() {
  ++generation_;
  reading_ = false;
  listings_.clear();
  next_read_at_ = 0;
}

void MachineListing::tick() {
  if (reading_ || out_.now() < next_read_at_ || !calls_.try_take(false))
    return;
  reading_ = true;
  seen_.clear();
  read_page("");
}

void MachineListing::read_page(const std::string& after) {
  constexpr int kMachinesPerPage = 500;
  ports::Call call;
  call.target = ports::Target::cloud;
  call.method = "GET";
  call.path = wire::machine_list_path(after, kMachinesPerPage);
  call.timeout_s = kCloudCallTimeout;
  out_.call(std::move(call), [this, generation = generation_](const ports::Reply& reply) {
    if (generation != generation_)
      return;
    auto page = reply.status == 200 ? wire::parse_machine_list(reply.body)
                                    : wire::malformed("status " + std::to_string(reply.status));
    if (!page) {
      reading_ = false;
      next_read_at_ = out_.now() + 1;
      return;
    }
    on_page(*page);
  });
}

void MachineListing::on_page(const wire::MachineList& page) {
  for (const wire::ListedMachine& listed : page.machines) {
    Machine* known = workers_.find(listed.host);
    Machine& machine =
        known ? *known
              : workers_.add_machine(listed.host, listed.address, listed.type, listed.zone, listed.spot);
    if (machine.gone)
      continue;
    if (machine.address.empty())
      machine.address = listed.address;
    if (!known)
      machine.rented_at = out_.now() - listed.age_s;
    listings_[machine.index].listed = true;
    seen_.insert(machine.index);
    if (listed.state == wire::ListedMachine::State::failed) {
      spdlog::warn("autoscaler: machine failed host={}", machine.host);
      workers_.mark_gone(machine);
      returns_.schedule_failed(machine.index);
    }
  }
  if (page.more && !page.machines.empty())
    return read_page(page.machines.back().host);
  on_list_complete();
}

void MachineListing::on_list_complete() {
  reading_ = false;
  next_read_at_ = out_.now() + std::max(1.0, settings_.cloud_list_lag_s / 2);
  remove_missing();
  remove_never_listed();
}

// Removes machines that have disappeared from the list. A machine is listed until it is gone, but a list
// may show an older state than the list before it, so a machine must be missing for longer than the lag of
// the lists.
void MachineListing::remove_missing() {
  constexpr double kMissedHeartbeats = 1.5;
  for (auto& [index, listing] : listings_) {
    Machine& machine = workers_.machine_at(index);
    if (machine.gone || !listing.listed)
      continue;
    if (seen_.contains(index)) {
      listing.missing_since = 0;
    } else if (listing.missing_since == 0) {
      listing.missing_since = out_.now();
    } else if (out_.now() - listing.missing_since > 2 * settings_.cloud_list_lag_s + 1 &&
               workers_.time_since_contact(machine) > settings_.heartbeat_interval_s * kMissedHeartbeats) {
      spdlog::info("autoscaler: machine gone host={} reason=\"no longer listed\"", machine.host);
      workers_.mark_gone(machine);
    }
  }
}

// Removes machines of the persisted machine inventory that neither send heartbeats nor were ever listed: they
// were gone before this leadership began.
void MachineListing::remove_never_listed() {
  constexpr ports::Seconds kMargin = 5;
  for (const MachineIndex index : std::vector<MachineIndex>(workers_.live_machines())) {
    Machine& machine = workers_.machine_at(index);
    if (machine.has_incarnation || listings_.contains(index) || seen_.contains(index))
      continue;
    if (out_.now() - machine.first_seen_at >
        settings_.worker_lease_s + 3 * settings_.cloud_list_lag_s + kMargin)
      workers_.mark_gone(machine);
  }
}

}  // namespace wingtrail::autoscaling
