/// @file
/// Keeps this controller's index of job batches in step with the state service.
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

/// Reads the keys of all job batches and then follows their changes. Where this deployment creates no batches
/// the index is only brought up to date when somebody asks.
///
/// The collaborators passed to the constructor must outlive the follower.
class BatchIndexFollower {
 public:
  /// @param batches_enabled whether this controller creates job batches
  BatchIndexFollower(ports::Outbox& out, store::StateClient& store, const PeerDirectory& peers,
                     bool batches_enabled);

  /// To be called once, when the process begins.
  void start();

  /// Whether a job without a key of its own may be in a batch that the index does not show yet.
  bool may_miss_batches() const;

  /// Calls `then(true)` once the index holds all batches that existed at this moment, or `then(false)` if
  /// that cannot be had now.
  void catch_up(std::function<void(bool)> then);

  const admission::BatchIndex& index() const {
    return index_;
  }
  /// When the reading that the index rests on began; it has forgotten batches deleted before.
  Seconds read_since() const {
    return read_since_;
  }

 private:
  void read_from(const std::string& after);
  void on_range(const std::string& after, const store::Reply& reply);
  void follow();
  void reread();
  void apply(const wire::Changes& changes);
  void catch_up_now();
  void on_caught_up(Seconds asked, const std::vector<std::function<void(bool)>>& waiting,
                    const store::Reply& reply);

  ports::Outbox& out_;
  store::StateClient& store_;
  const PeerDirectory& peers_;
  const bool batches_enabled_;
  admission::BatchIndex index_;
  Seconds started_at_ = 0;

  bool reading_ = false;
  std::uint64_t read_revision_ = 0;  // of the first page of the reading under way
  Seconds read_since_ = 0;
  Seconds complete_as_of_ = -1e9;  // as of when the index is known to be complete

  bool catching_up_ = false;
  std::vector<std::function<void(bool)>> waiting_;  // for changes asked for after they came
};

}  // namespace wingtrail::controller
