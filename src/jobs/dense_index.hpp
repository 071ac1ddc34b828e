/// @file
/// Typed indices. Names are mapped to dense indices where they enter the process (jobs/name_table.hpp), and
/// the compiler rejects an index of one kind in place of another.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>

namespace wingtrail::jobs {

/// Converts to any index type as the value for "none".
struct NoIndex {};
inline constexpr NoIndex kNoIndex;

/// An index into a table of one kind of objects. It converts implicitly to its number, for subscripts; a
/// number must be converted to an index explicitly.
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

/// Indices of different kinds cannot be compared.
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
