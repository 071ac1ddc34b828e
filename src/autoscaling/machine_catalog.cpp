#include "autoscaling/machine_catalog.hpp"

#include <algorithm>

namespace wingtrail::autoscaling {

using jobs::MachineTypeIndex;

void MachineCatalog::set(std::vector<wire::MachineType> types) {
  types_ = std::move(types);
  for (const auto& type : types_) {
    const MachineTypeIndex index = registry_.types.add(type.name);
    if (by_index_.size() <= index)
      by_index_.resize(index + 1);
    by_index_[index] = type;
  }
}

const wire::MachineType* MachineCatalog::type(MachineTypeIndex index) const {
  return index < by_index_.size() && by_index_[index].cpus > 0 ? &by_index_[index] : nullptr;
}

double MachineCatalog::core_price(const Pool& pool) const {
  constexpr double kUnknownPrice = 1e9;
  const wire::MachineType* found = type(pool.type);
  return found ? (pool.spot ? found->spot_price : found->price) / found->cpus : kUnknownPrice;
}

ports::Seconds MachineCatalog::typical_boot_s() const {
  constexpr ports::Seconds kMaxBootTime = 600;
  ports::Seconds boot_s = kMaxBootTime;
  for (const auto& type : types_)
    boot_s = std::min(boot_s, type.boot_s);
  return boot_s;
}

std::vector<std::vector<Pool>> MachineCatalog::price_tiers(bool spot) const {
  std::vector<Pool> pools;
  for (const auto& type : types_) {
    for (const auto& zone : type.zones)
      pools.push_back({registry_.types.find(type.name), registry_.zones.add(zone), spot});
  }
  std::stable_sort(pools.begin(), pools.end(),
                   [this](const Pool& a, const Pool& b) { return core_price(a) < core_price(b); });
  std::vector<std::vector<Pool>> tiers;
  for (const Pool& pool : pools) {
    constexpr double kMaxPriceRatio = 1.02;  // within a tier
    if (tiers.empty() || core_price(pool) > core_price(tiers.back().front()) * kMaxPriceRatio)
      tiers.emplace_back();
    tiers.back().push_back(pool);
  }
  return tiers;
}

}  // namespace wingtrail::autoscaling
