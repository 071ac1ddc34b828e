/// @file
/// Messages between the scheduler and the cloud that it rents machines from.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wire/parse_result.hpp"
#include "wire/value.hpp"

namespace wingtrail::wire {

/// A machine type of the cloud's catalog. Amounts that the catalog lacks are 0.
struct MachineType {
  /// The name of the type.
  std::string name;
  /// The CPUs of one machine.
  double cpus = 0;
  /// The GPUs of one machine.
  double gpus = 0;
  /// The memory of one machine, in GB.
  double memory_gb = 0;
  /// The capacity of the image cache, in GB.
  double cache_gb = 0;
  /// The rate at which a machine fetches images, in GB per second.
  double fetch_gb_per_s = 0;
  /// The price per hour of one machine.
  double price = 0;
  /// The current price per hour as a spot machine; `price` if the catalog does not give it.
  double spot_price = 0;
  /// The usual time from the rental request to the machine's first heartbeat, in seconds.
  double boot_s = 0;
  /// The zones in which the type can be rented.
  std::vector<std::string> zones;
};
/// Reads the catalog. A type without a name, CPUs or memory makes the whole catalog malformed.
Result<std::vector<MachineType>> parse_catalog(const Value& map);

/// A rented machine in the cloud's list.
struct ListedMachine {
  /// The state of a rented machine in the cloud.
  enum class State : std::uint8_t { booting, running, failed };
  /// The machine's name.
  std::string host;
  /// The HOST:PORT at which its worker accepts commands; empty: not known yet.
  std::string address;
  /// The name of its machine type.
  std::string type;
  /// The zone that it runs in.
  std::string zone;
  /// Whether it is a spot machine.
  bool spot = false;
  /// The machine's state.
  State state = State::booting;
  /// The time since it was rented, in seconds.
  double age_s = 0;
};
/// One page of the cloud's list of machines.
struct MachineList {
  /// The machines.
  std::vector<ListedMachine> machines;
  /// Whether the list continues on a further page.
  bool more = false;
};
/// Reads a page of the list. One malformed entry makes the whole page malformed.
Result<MachineList> parse_machine_list(const Value& map);
/// The path and query of the page of at most `limit` machines after the host `after`; empty: the first page.
std::string machine_list_path(const std::string& after, int limit);

/// The body of a rental of `machine_count` machines. Repeats with the same `request` ID rent nothing further.
Value rental_body(const std::string& request, const std::string& type, const std::string& zone, bool spot,
                  int machine_count);
/// The body of a request that returns machines to the cloud.
Value return_body(const std::vector<std::string>& hosts);
/// Reads the reply to a rental: the names of the rented machines.
Result<std::vector<std::string>> parse_rented(const Value& map);

/// The path of the catalog.
inline constexpr const char* kCatalogPath = "/catalog";
/// The path at which machines are listed (GET) and rented (POST).
inline constexpr const char* kMachinesPath = "/machines";
/// The path at which machines are returned.
inline constexpr const char* kReturnPath = "/machines/return";

}  // namespace wingtrail::wire
