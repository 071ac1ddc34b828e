/// How the changes of a transaction are shared among kinds of records when more waits than it holds.
///
/// Start-time fair queueing: each kind has a virtual time that advances by the changes it has had, divided by
/// its weight, and the kind that is furthest behind goes next. A kind that had nothing to write has saved
/// nothing up, and one that always has something waiting cannot starve the others: in the long run each gets
/// its weight's part of the changes for as long as it has something waiting.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace wingtrail::jobs {

/// Kinds of records that compete for the changes of a transaction; final states come first.
enum class RecordKind : std::uint8_t {
  cancelled,    ///< the final state of a job that its user cancelled and who waits with a connection open
  orphaned,     ///< that of a job that needs a cancelled one: until it is recorded nobody can answer about it
  completed,    ///< that of a job whose tasks are completed
  inventory,    ///< a page of machines, which get no work before they are in it
  completions,  ///< a page of completed tasks, which hold their allocations until then
};
inline constexpr std::size_t kRecordKinds = 5;
inline constexpr std::size_t kFinalStateKinds = 3;

inline constexpr std::size_t index(RecordKind kind) {
  return static_cast<std::size_t>(kind);
}
/// The value of a metric's label.
const char* name(RecordKind kind);

/// The virtual times; a value, so that an earlier state can be restored.
class WriteShares {
 public:
  using Waiting = std::array<bool, kRecordKinds>;
  /// Of the kinds that have something waiting, the one whose turn it is; nothing if none has.
  std::optional<RecordKind> next(const Waiting& waiting) const;
  /// That many changes are written of that kind. While it is near a time limit that users were promised it is
  /// charged a part of them only, and so has more than its usual share.
  void charge(RecordKind kind, int changes, bool near_limit);

 private:
  double start(std::size_t kind) const;

  double virtual_time_ = 0;
  std::array<double, kRecordKinds> finish_{};
};

}  // namespace wingtrail::jobs
