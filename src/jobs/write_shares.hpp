/// @file
/// Divides the changes of a transaction among the kinds of records when more records wait than it can hold.
///
/// The division uses start-time fair queueing: each kind has a virtual time that advances by the number of
/// its changes divided by its weight, and the kind with the smallest virtual time goes next. A kind
/// accumulates no credit while it has nothing to write, and a kind that always has records waiting cannot
/// starve the others: in the long run each waiting kind gets changes in proportion to its weight.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace wingtrail::jobs {

/// Kinds of records that compete for the changes of a transaction. Kinds of final states have the lowest
/// numbers.
enum class RecordKind : std::uint8_t {
  cancelled,    ///< final state of a job whose user cancelled it and waits with an open connection
  orphaned,     ///< final state of a job that depends on a cancelled one; queries fail until it is recorded
  completed,    ///< final state of a job whose tasks are all completed
  inventory,    ///< inventory page; a machine gets no work before its page is written
  completions,  ///< completion page; completed tasks hold their allocations until it is written
};
inline constexpr std::size_t kRecordKinds = 5;
inline constexpr std::size_t kFinalStateKinds = 3;

inline constexpr std::size_t index(RecordKind kind) {
  return static_cast<std::size_t>(kind);
}
/// The kind's name as a label value of metrics.
const char* name(RecordKind kind);

/// The virtual times of all kinds. A copyable value, so that an earlier state can be restored.
class WriteShares {
 public:
  /// Which kinds have records waiting, by index().
  using Waiting = std::array<bool, kRecordKinds>;
  /// The waiting kind that goes next; nothing if none waits.
  std::optional<RecordKind> next(const Waiting& waiting) const;
  /// Charges the kind for `changes` changes. A kind that is near a time limit promised to users is charged
  /// only a fraction of them and so gets more than its usual share.
  void charge(RecordKind kind, int changes, bool near_limit);

 private:
  double start(std::size_t kind) const;

  double virtual_time_ = 0;
  std::array<double, kRecordKinds> finish_{};
};

}  // namespace wingtrail::jobs
