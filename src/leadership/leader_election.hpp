/// @file
/// Leader election among the controllers of a cell, by a key in the state service that is held under a lease.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "leadership/detached_key_remover.hpp"
#include "leadership/leader_key.hpp"
#include "store/state_client.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::leadership {

using ports::Seconds;

/// How a controller's latest campaign ended.
enum class CampaignOutcome : std::uint8_t { none, no_lease, key_exists, write_failed, won };
/// The outcome's name in log lines.
const char* name(CampaignOutcome outcome);

/// Campaigns for leadership, renews the leader lease, and tracks which controller leads.
///
/// The leader holds kLeaderKey under a lease of the state service that lasts leader_lease_s. The revision of
/// the write that created the key is the leader's fencing token. Renewals do not write the key, so the token
/// is also the key's version, and writes conditioned on that version fail once the leadership has ended.
///
/// All times are in seconds of this controller's steady clock.
class LeaderElection {
 public:
  struct Events {
    std::function<void()> on_elected;  ///< this controller leads; fencing_token() is its new token
    std::function<void()> on_lost;     ///< this controller no longer leads, and another may be elected
  };
  /// The referenced objects must outlive this object.
  LeaderElection(ports::Outbox& out, store::StateClient& store, const settings::Settings& settings,
                 Events events);

  /// Starts to watch the leader key and to campaign whenever the key is absent. Must be called once.
  void start();

  /// Whether this controller was elected and knows of no later leader, even if its lease has expired.
  bool holds_leadership() const {
    return holds_leadership_;
  }
  /// Returns the time until which this controller may send commands; -1 if it does not lead. After that time
  /// it sends none, but it remains the leader if a later renewal succeeds: the state service then never ended
  /// the lease, so no other controller can have led.
  Seconds lease_expires_at() const {
    return holds_leadership_ ? lease_expires_at_ : -1;
  }
  /// Whether this controller leads and its lease has not expired.
  bool may_act() const {
    return holds_leadership_ && out_.now() < lease_expires_at_;
  }
  /// Returns when the last successful renewal was sent. Valid only while this controller leads.
  Seconds renewed_at() const {
    return renewed_at_;
  }
  /// Returns the fencing token of this controller's current or last leadership; 0 if it has never led.
  std::uint64_t fencing_token() const {
    return fencing_token_;
  }

  /// Returns the name of the latest leader that the state service or a peer has reported; empty if no
  /// controller is known to lead.
  const std::string& leader() const {
    return leader_;
  }
  /// Returns the highest fencing token that the state service or a peer has reported.
  std::uint64_t leader_fencing_token() const {
    return leader_fencing_token_;
  }
  /// Returns the leader key as last read; the changes that a watch reports do not tell its lease.
  const LeaderKeyView& leader_key() const {
    return leader_key_;
  }
  /// Returns how this controller's latest campaign ended.
  CampaignOutcome last_campaign() const {
    return last_campaign_;
  }
  /// Records a leader that a peer has reported. Ignored unless its token is higher than all known ones.
  void observe_leader(const std::string& leader, std::uint64_t token);
  /// Handles the reply to a read of the leader key. A higher token that was known before the read was sent is
  /// dropped, because no leader has held it. A key that another controller left without a lease is removed.
  void on_leader_key_read(const store::Reply& reply, Seconds sent);
  /// Gives up leadership, revokes the lease and does not campaign for `pause` seconds. Does nothing if this
  /// controller does not lead.
  /// @param reason for the log
  void resign(Seconds pause, const char* reason);
  /// Resigns and returns false if the state service's revision, as read in this leadership, is below the
  /// fencing token: the token is a revision that the service had reached at the election, so it was reported
  /// wrongly.
  bool confirm_token(std::uint64_t revision);
  /// Handles a higher token than this leader's that a worker has reported. While the leader lease lasts, no
  /// other controller can lead, so the leader key is read: calls `on_unknown_token` if this leader still
  /// holds it, as no later leader can have given the worker the token then, and steps down if it does not.
  void on_higher_token(std::function<void()> on_unknown_token);
  /// Steps down because another controller was elected: a write conditioned on the leader key failed.
  /// @param reason for the log
  void on_superseded(const char* reason);

 private:
  // For this long a confirmation serves further reports of higher tokens, which limits the reads.
  static constexpr Seconds kConfirmationLifetime = 1;

  void read_leader_key();
  void watch_leader_key(std::uint64_t after);
  void on_vacant(std::uint64_t revision);
  void on_occupied(const wire::Item& item);
  void set_leader(const std::string& leader, std::uint64_t token);
  void campaign();
  void on_campaign_lease(const store::Reply& reply, Seconds sent);
  void on_campaign_written(const store::Reply& reply, std::uint64_t lease, Seconds lease_sent);
  void retry_campaign();
  void on_won(std::uint64_t lease, std::uint64_t token, Seconds lease_sent);
  void schedule_renewal(Seconds delay);
  void renew_lease();
  void step_down(const char* reason);
  void on_confirmation_reply(const store::Reply& reply, Seconds sent,
                             const std::function<void()>& on_unknown_token);
  Seconds lease_expiry(Seconds sent) const;

  ports::Outbox& out_;
  store::StateClient& store_;
  const settings::Settings& settings_;
  Events events_;

  // This controller's leadership.
  bool holds_leadership_ = false;
  bool campaigning_ = false;
  std::optional<std::uint64_t> lease_;  // of the latest campaign; while leading, the leader key's lease
  std::uint64_t fencing_token_ = 0;
  std::uint64_t term_ = 0;  // incremented when this controller is elected or steps down; replies of an
                            // earlier term are ignored
  Seconds lease_expires_at_ = -1;
  Seconds renewed_at_ = -1;
  Seconds campaign_after_ = 0;
  bool confirming_ = false;  // the leader key is being read because a worker has reported a higher token
  Seconds confirmed_at_ =
      -kConfirmationLifetime;  // when the last such read was sent that found this leader's key

  LeaderKeyView leader_key_;
  std::uint64_t following_ = 0;  // counts the reads that began to follow the key; earlier ones are ignored
  DetachedKeyRemover detached_key_remover_;
  CampaignOutcome last_campaign_ = CampaignOutcome::none;

  // The latest leader known, which may be this controller.
  std::string leader_;
  std::uint64_t leader_fencing_token_ = 0;
  Seconds leader_observed_at_ = 0;   // when that token was first reported
  std::uint64_t dropped_token_ = 0;  // peers may still report it
};

}  // namespace wingtrail::leadership
