#include "jobs/write_shares.hpp"

#include <algorithm>

namespace wingtrail::jobs {
namespace {
/// Weights by RecordKind. Final states of cancelled and orphaned jobs have a time limit, the other kinds
/// none.
constexpr std::array<double, kRecordKinds> kWeights{2, 2, 1, 1, 1};
/// Factor of the weight of a kind that is near its time limit.
constexpr double kNearLimitFactor = 4;
}  // namespace

const char* name(RecordKind kind) {
  constexpr std::array<const char*, kRecordKinds> kNames{"cancelled", "orphaned", "completed", "machines",
                                                         "progress"};
  return kNames[index(kind)];
}

double WriteShares::start(std::size_t kind) const {
  return std::max(virtual_time_, finish_[kind]);
}

std::optional<RecordKind> WriteShares::next(const Waiting& waiting) const {
  std::optional<std::size_t> first;
  for (std::size_t kind = 0; kind < kRecordKinds; ++kind) {
    if (waiting[kind] && (!first || start(kind) < start(*first)))
      first = kind;
  }
  return first ? std::optional(static_cast<RecordKind>(*first)) : std::nullopt;
}

void WriteShares::charge(RecordKind kind, int changes, bool near_limit) {
  const std::size_t number = index(kind);
  const double weight = kWeights[number] * (near_limit ? kNearLimitFactor : 1);
  virtual_time_ = start(number);
  finish_[number] = virtual_time_ + changes / weight;
}

}  // namespace wingtrail::jobs
