/// @file
/// Finds out from the state service whether a job exists and what became of it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "controller/batch_index_follower.hpp"
#include "store/state_client.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::controller {

/// Whether the state service could tell what was asked.
enum class LookupOutcome : std::uint8_t {
  found,        ///< the job was accepted; the result says whether it is live or over
  absent,       ///< the job was never accepted
  throttled,    ///< the budget of the state service grants no more requests now
  unavailable,  ///< no answer, or one that changed while it was read; asking again will tell
};

/// The HTTP status that tells a user to come back later; of outcomes other than found and absent.
int retry_status(LookupOutcome outcome);

/// A live job as it was read from the state service.
struct LiveRecord {
  wire::Value spec;
  std::string key;
  std::uint64_t version = 0;  ///< of the key
  std::uint64_t term = 0;     ///< in which it was asked for, see JobLookup
};

struct LookupResult {
  LookupOutcome outcome = LookupOutcome::unavailable;
  std::optional<wire::Phase> phase = {};  ///< if found
  std::optional<LiveRecord> live = {};    ///< if found live, and if the record was asked for
};

enum class LookupDetail : std::uint8_t { phase, live_record };

/// Looks jobs up in the state service. Most jobs asked for need one comparison; a read follows only if the
/// job exists. Jobs without a key of their own are looked for in batches.
///
/// The collaborators passed to the constructor must outlive the lookup.
class JobLookup {
 public:
  struct Events {
    std::function<std::uint64_t()> term;  ///< changes whenever a leadership begins or ends
    std::function<void(const std::string& ref, const wire::FinalState&)> on_final_state;  ///< one was read
  };
  using Callback = std::function<void(const LookupResult&)>;

  JobLookup(ports::Outbox& out, store::StateClient& store, BatchIndexFollower& batches, Events events);

  /// Calls `then` with what the state service says of the job at a time after this call.
  void look_up(const std::string& ref, store::RequestPriority priority, LookupDetail detail, Callback then);

 private:
  struct Query;
  void on_compared(const Query& query, const store::Reply& reply);
  void read_live(const Query& query);
  void read_final_state(const Query& query);
  void look_up_in_batches(const Query& query);
  void confirm_live(const Query& query);
  void read_from_batch(const Query& query, const std::string& batch_key);

  ports::Outbox& out_;
  store::StateClient& store_;
  BatchIndexFollower& batches_;
  Events events_;
};

}  // namespace wingtrail::controller
