#include "wire/cloud_messages.hpp"

#include "wire/field_names.hpp"
#include "wire/parsing.hpp"

namespace wingtrail::wire {
namespace {

constexpr EnumName<ListedMachine::State> kStates[] = {{"starting", ListedMachine::State::booting},
                                                      {"running", ListedMachine::State::running},
                                                      {"failed", ListedMachine::State::failed}};

// The fewest cores of a machine. Machine counts are quotients of cores, so they must not be divided by almost
// nothing.
constexpr double kMinMachineCpus = 0.001;

// Reads the amounts that the catalog has of the type. Returns the field of the first that is out of range.
std::optional<std::string> read_amounts(const Value& map, MachineType& type) {
  struct {
    const char* key;
    double* target;
  } const amounts[] = {{field::kCpus, &type.cpus},
                       {field::kGpus, &type.gpus},
                       {field::kMemoryGb, &type.memory_gb},
                       {field::kCacheGb, &type.cache_gb},
                       {field::kFetchGbPerS, &type.fetch_gb_per_s},
                       {field::kPrice, &type.price},
                       {field::kSpotPrice, &type.spot_price},
                       {field::kBootS, &type.boot_s}};
  for (const auto& [key, target] : amounts) {
    const auto value = amount(map, key);
    if (value && !is_valid_amount(value))
      return key;
    *target = value.value_or(*target);
  }
  return std::nullopt;
}

Result<MachineType> parse_machine_type(const Value& map) {
  MachineType type;
  const auto name = text(map, field::kName);
  if (!is_valid_name(name))
    return malformed(field::kMachineTypes, "a type without a name");
  type.name = *name;
  if (const auto out_of_range = read_amounts(map, type))
    return malformed(*out_of_range, type.name + " has an amount out of range");
  if (!amount(map, field::kSpotPrice))
    type.spot_price = type.price;
  if (type.cpus < kMinMachineCpus || type.memory_gb <= 0)
    return malformed(field::kMachineTypes, type.name + " has no cores or memory");
  if (const Value* zones = find(map, field::kZones))
    type.zones = text_list(*zones).value_or(std::vector<std::string>{});
  return type;
}

}  // namespace

Result<std::vector<MachineType>> parse_catalog(const Value& map) {
  const Value* list = find(map, field::kMachineTypes);
  if (!list || !list->is_array() || list->empty())
    return malformed(field::kMachineTypes, "expected a list");
  std::vector<MachineType> types;
  for (const Value& item : *list) {
    auto type = parse_machine_type(item);
    if (!type)
      return tl::make_unexpected(std::move(type.error()));
    types.push_back(std::move(*type));
  }
  return types;
}

Result<MachineList> parse_machine_list(const Value& map) {
  const Value* list = find(map, field::kMachines);
  if (!list || !list->is_array())
    return malformed(field::kMachines, "expected a list");
  MachineList page;
  page.more = flag(map, field::kMore).value_or(false);
  for (const Value& item : *list) {
    const auto host = text(item, field::kRef);
    const auto type = text(item, field::kMachineType);
    const auto zone = text(item, field::kZone);
    const auto state = enum_by_name(kStates, text(item, field::kPhase));
    if (!is_valid_name(host) || !is_valid_name(type) || !is_valid_name(zone) || !state)
      return malformed(field::kMachines, "malformed entry");
    page.machines.push_back({*host, text(item, field::kAddress).value_or(""), *type, *zone,
                             flag(item, field::kSpot).value_or(false), *state,
                             amount(item, field::kAgeS).value_or(0)});
  }
  return page;
}

std::string machine_list_path(const std::string& after, int limit) {
  const std::string path = std::string(kMachinesPath) + "?most=" + std::to_string(limit);
  return after.empty() ? path : path + "&after=" + escape_query(after);
}

Value rental_body(const std::string& request, const std::string& type, const std::string& zone, bool spot,
                  int machine_count) {
  return {{field::kRentalRequest, request},
          {field::kMachineType, type},
          {field::kZone, zone},
          {field::kSpot, spot},
          {field::kMachineCount, machine_count}};
}

Value return_body(const std::vector<std::string>& hosts) {
  return {{field::kMachines, hosts}};
}

Result<std::vector<std::string>> parse_rented(const Value& map) {
  const Value* list = find(map, field::kMachines);
  auto hosts = list ? text_list(*list) : std::nullopt;
  if (!hosts)
    return malformed(field::kMachines, "expected a list of names");
  return std::move(*hosts);
}

}  // namespace wingtrail::wire
