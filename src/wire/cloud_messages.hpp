/// @file
/// What the scheduler exchanges with the cloud that it rents machines from.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wire/parse_result.hpp"
#include "wire/value.hpp"

namespace wingtrail::wire {

/// A type of machine in the cloud's catalog. Prices are per hour of one machine.
struct MachineType {
  /// The name of the type.
  std::string name;
  /// CPUs.
  double cpus = 0;
  /// GPUs.
  double gpus = 0;
  /// Memory, in GB.
  double memory_gb = 0;
  /// The capacity for cached images, in GB.
  double cache_gb = 0;
  /// How fast images are fetched.
  double fetch_gb_per_s = 0;
  /// The price.
  double price = 0;
  /// The current price as a spot machine.
  double spot_price = 0;
  /// The usual time from the rental to the first heartbeat, in seconds.
  double boot_s = 0;
  /// The zones that offer it.
  std::vector<std::string> zones;
};
/// Reads the catalog.
Result<std::vector<MachineType>> parse_catalog(const Value& map);

/// A machine as the cloud lists it.
struct ListedMachine {
  /// Where the cloud sees it in its life.
  enum class State : std::uint8_t { booting, running, failed };
  /// The machine's name.
  std::string host;
  /// Where its worker takes commands; empty: not known yet.
  std::string address;
  /// The machine type.
  std::string type;
  /// The zone.
  std::string zone;
  /// Whether it is a spot machine.
  bool spot = false;
  /// Its state.
  State state = State::booting;
  /// Since it was rented, in seconds.
  double age_s = 0;
};
/// One page of the cloud's list of machines.
struct MachineList {
  /// The machines.
  std::vector<ListedMachine> machines;
  /// Further machines follow the last one.
  bool more = false;
};
/// Reads a page of the list.
Result<MachineList> parse_machine_list(const Value& map);
/// Where the page that follows `after` is; empty: the first page.
std::string machine_list_path(const std::string& after, int limit);

/// Asks for `machine_count` machines. The cloud rents them once, however often the same `request` is sent.
Value rental_body(const std::string& request, const std::string& type, const std::string& zone, bool spot,
                  int machine_count);
/// Gives machines back.
Value return_body(const std::vector<std::string>& hosts);
/// The machines that the cloud has rented out on a request.
Result<std::vector<std::string>> parse_rented(const Value& map);

/// Where the catalog is.
inline constexpr const char* kCatalogPath = "/catalog";
/// Where machines are listed and rented.
inline constexpr const char* kMachinesPath = "/machines";
/// Where machines are given back.
inline constexpr const char* kReturnPath = "/machines/return";

}  // namespace wingtrail::wire
