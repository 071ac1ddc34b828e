/// Typed indices: names become dense indices where they enter the process (jobs/name_table.hpp), and the
/// compiler keeps indices of different things apart.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>

namespace wingtrail::jobs {

/// Converts to any index type, as "no such thing".
struct NoIndex {};
inline constexpr NoIndex kNoIndex;

/// An index into a table of things of one kind. Converts to its number, for subscripts; a number has to be
/// converted explicitly.
template <typename Tag>
class DenseIndex {
 public:
  constexpr DenseIndex() = default;
  constexpr explicit DenseIndex(std::size_t value) : value_(static_cast<std::uint32_t>(value)) {}
  constexpr DenseIndex(NoIndex) {}  // NOLINT(google-explicit-constructor): reads like a null pointer
  constexpr operator std::uint32_t() const {  // NOLINT(google-explicit-constructor): for subscripts
    return value_;
  }
  constexpr DenseIndex& operator++() {
    ++value_;
    return *this;
  }
  friend constexpr bool operator==(DenseIndex a, DenseIndex b) {
    return a.value_ == b.value_;
  }
  friend constexpr bool operator<(DenseIndex a, DenseIndex b) {
    return a.value_ < b.value_;
  }

 private:
  std::uint32_t value_ = std::numeric_limits<std::uint32_t>::max();
};

/// Indices of different things do not compare.
template <typename A, typename B>
bool operator==(DenseIndex<A>, DenseIndex<B>) = delete;

using JobIndex = DenseIndex<struct JobTag>;
using MachineIndex = DenseIndex<struct MachineTag>;
using MachineTypeIndex = DenseIndex<struct MachineTypeTag>;
using ZoneIndex = DenseIndex<struct ZoneTag>;
using TeamIndex = DenseIndex<struct TeamTag>;
using ClassIndex = DenseIndex<struct ClassTag>;
using ImageIndex = DenseIndex<struct ImageTag>;
using PoolIndex = DenseIndex<struct PoolTag>;

}  // namespace wingtrail::jobs

template <typename Tag>
struct std::hash<wingtrail::jobs::DenseIndex<Tag>> {
  std::size_t operator()(wingtrail::jobs::DenseIndex<Tag> index) const noexcept {
    return std::hash<std::uint32_t>()(index);
  }
};
