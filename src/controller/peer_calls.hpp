/// @file
/// Forwarding of users' requests to peers.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "controller/peer_directory.hpp"
#include "controller/responder.hpp"
#include "leadership/leader_election.hpp"

namespace wingtrail::controller {

/// The outcome of a request that was forwarded to a peer.
enum class PeerOutcome : std::uint8_t {
  answered,     ///< the peer's reply is the final answer to the user
  unavailable,  ///< the peer deferred the request (503)
  throttled,    ///< the peer deferred the request because its budget is used up (429)
  no_reply,     ///< the peer did not reply, or there is no peer to ask
};

/// A peer's reply to a forwarded request.
struct PeerReply {
  PeerOutcome outcome = PeerOutcome::no_reply;
  int status = 0;  ///< HTTP status, if answered
  wire::Value body = nullptr;
};

/// A user's request in the form in which it is forwarded.
struct ForwardedRequest {
  std::string method, path;
  std::string body;  ///< CBOR; may be empty
  Seconds timeout_s = 1;
};

/// Forwards requests to peers. The referenced objects must outlive this object.
class PeerCalls {
 public:
  struct Events {
    std::function<peer::Frame()> make_frame;  ///< returns a frame with this controller's status
    /// Called with each reply of a peer.
    std::function<void(std::size_t peer, const peer::Frame& reply, Seconds request_sent)> on_reply;
  };
  PeerCalls(ports::Outbox& out, const leadership::LeaderElection& election, PeerDirectory& peers,
            Responder& responder, Events events);

  /// Returns the leader if it is a reachable peer.
  std::optional<std::size_t> reachable_leader() const;
  /// Returns a reachable peer with at least that protocol level to which the state service replies.
  std::optional<std::size_t> peer_with_state_service(std::uint32_t level = 0) const;

  /// Sends the request to the peer and calls `then` with the reply.
  void send_request(std::size_t peer, ForwardedRequest request, std::function<void(const PeerReply&)> then);
  /// Sends the request to the peer and passes its answer to the user. Calls `on_failure` with the outcome if
  /// the peer does not answer or `peer` is nullopt.
  void forward(const RequestOrigin& origin, std::optional<std::size_t> peer, ForwardedRequest request,
               const std::function<void(PeerOutcome)>& on_failure);

  /// Returns the number of requests sent to peers so far.
  std::uint64_t count() const {
    return count_;
  }
  /// Bodies in replies that could not be read.
  const wire::RefusalCounts& refused_replies() const {
    return refused_replies_;
  }

 private:
  void on_reply(std::size_t peer, Seconds sent, const ports::Reply& reply,
                const std::function<void(const PeerReply&)>& then);

  ports::Outbox& out_;
  const leadership::LeaderElection& election_;
  PeerDirectory& peers_;
  Responder& responder_;
  Events events_;
  std::uint64_t count_ = 0;
  wire::RefusalCounts refused_replies_;
};

}  // namespace wingtrail::controller
