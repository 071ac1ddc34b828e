/// @file
/// Looks up in the state service whether a job exists, and its phase.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "controller/batch_index_follower.hpp"
#include "store/state_client.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::controller {

/// Outcome of a lookup.
enum class LookupOutcome : std::uint8_t {
  found,        ///< the job was accepted; LookupResult::phase says whether it is live or over
  absent,       ///< the job was never accepted
  throttled,    ///< the budget for requests to the state service is used up
  unavailable,  ///< no reply, or the job's state changed during the lookup; to be retried
};

/// Returns the HTTP status that asks a user to retry; for the outcomes throttled and unavailable.
int retry_status(LookupOutcome outcome);

/// The record of a live job, as read from the state service.
struct LiveRecord {
  wire::Value spec;           ///< the job record, see wire::job_record()
  std::string key;            ///< the job's own key, or that of its job batch
  std::uint64_t version = 0;  ///< of the key
  std::uint64_t term = 0;     ///< JobLookup::Callbacks::term when the lookup began
};

/// Result of a lookup.
///
/// `phase` is set if the job was found, `live` if it is live and LookupDetail::live_record was requested.
struct LookupResult {
  LookupOutcome outcome = LookupOutcome::unavailable;
  std::optional<wire::Phase> phase = {};
  std::optional<LiveRecord> live = {};
};

/// What to read of a live job: its phase only, or its record too.
enum class LookupDetail : std::uint8_t { phase, live_record };

/// A lookup in progress.
struct PendingLookup {
  std::string ref;
  store::RequestPriority priority = store::RequestPriority::user;
  LookupDetail detail = LookupDetail::phase;
  std::function<void(const LookupResult&)> then;
  Seconds began_at = 0;
  std::uint64_t term = 0;  ///< JobLookup::Callbacks::term when it began
};

/// Looks up jobs in the state service. Most lookups need one comparison; a read follows only if the job
/// exists. Jobs without a key of their own are looked up in the job batches.
///
/// The collaborators passed to the constructor must outlive the lookup.
class JobLookup {
 public:
  struct Callbacks {
    std::function<std::uint64_t()> term;  ///< changes whenever a leadership begins or ends
    /// A job's final state has been read.
    std::function<void(const std::string& ref, const wire::FinalState&)> on_final_state;
  };
  using OnResult = std::function<void(const LookupResult&)>;

  JobLookup(ports::Outbox& outbox, store::StateClient& store, BatchIndexFollower& batches,
            Callbacks callbacks);

  /// Calls `then` with the job's state as of some moment between this call and the callback.
  void look_up(const std::string& ref, store::RequestPriority priority, LookupDetail detail, OnResult then);

  // The steps of a lookup, for QueryLookupQueue, which compares the keys of many jobs at a time. Each calls
  // `lookup.then` once.

  /// Returns a lookup that begins now.
  PendingLookup begin(const std::string& ref, store::RequestPriority priority, LookupDetail detail,
                      OnResult then) const;
  /// The job has a key of its own and no final state.
  void on_live(const PendingLookup& lookup);
  /// The job is in that batch and has no final state.
  void on_live_in_batch(const PendingLookup& lookup, const std::string& batch_key);
  /// The job has neither a key of its own nor a final state.
  void on_no_key(const PendingLookup& lookup);
  /// The job has a final state.
  void read_final_state(const PendingLookup& lookup);

 private:
  void on_compared(const PendingLookup& lookup, const store::Reply& reply);
  void look_up_in_batches(const PendingLookup& lookup);
  void confirm_live(const PendingLookup& lookup);

  ports::Outbox& outbox_;
  store::StateClient& store_;
  BatchIndexFollower& batches_;
  Callbacks callbacks_;
};

}  // namespace wingtrail::controller
