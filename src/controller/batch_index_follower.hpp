/// @file
/// Keeps this controller's index of job batches up to date with the state service.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "admission/batch_index.hpp"
#include "controller/peer_directory.hpp"
#include "jobs/job_batches.hpp"
#include "store/state_client.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {

/// Reads all job batches and then follows their changes. In a deployment that creates no job batches, the
/// index is brought up to date only by catch_up().
///
/// The collaborators passed to the constructor must outlive the follower.
class BatchIndexFollower {
 public:
  /// @param batches_enabled whether this controller creates job batches
  BatchIndexFollower(ports::Outbox& outbox, store::StateClient& store, const PeerDirectory& peers,
                     bool batches_enabled);

  /// To be called once, when the process starts.
  void start();

  /// Whether a job without a key of its own may be in a batch that the index does not contain yet.
  bool may_miss_batches() const;

  /// Calls `then(true)` once the index contains all batches that exist at the time of this call, or
  /// `then(false)` if reading them fails.
  void catch_up(std::function<void(bool)> then);

  const admission::BatchIndex& index() const {
    return index_;
  }
  /// When the first page of the last full read was received. Batches deleted before are not in the index, not
  /// even as recently removed.
  Seconds read_started_at() const {
    return read_started_at_;
  }

 private:
  void read_from(const std::string& after);
  void on_range(const std::string& after, const store::Reply& reply);
  void follow();
  void reread();
  void apply(const wire::Changes& changes);
  void catch_up_now();
  void on_caught_up(Seconds requested_at, const std::vector<std::function<void(bool)>>& waiting,
                    const store::Reply& reply);

  ports::Outbox& outbox_;
  store::StateClient& store_;
  const PeerDirectory& peers_;
  const bool batches_enabled_;
  admission::BatchIndex index_;
  Seconds started_at_ = 0;

  bool reading_ = false;
  std::uint64_t read_revision_ = 0;  // of the first page of the full read in progress
  Seconds read_started_at_ = 0;
  Seconds complete_as_of_ = -1e9;  // the index contains all batches that existed then

  bool catching_up_ = false;
  std::vector<std::function<void(bool)>> waiting_;  // callers of catch_up() that the next request answers
};

}  // namespace wingtrail::controller
