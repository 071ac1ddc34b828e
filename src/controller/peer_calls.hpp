/// @file
/// Requests of users that are forwarded to peers.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "controller/peer_directory.hpp"
#include "controller/responder.hpp"
#include "leadership/leader_election.hpp"

namespace wingtrail::controller {

/// What became of a request forwarded to a peer.
enum class PeerOutcome : std::uint8_t {
  answered,     ///< the peer decided; its reply is the user's
  unavailable,  ///< the peer deferred it (503)
  throttled,    ///< the peer deferred it, for lack of budget (429)
  no_reply,     ///< no reply, or there is no such peer
};

struct PeerReply {
  PeerOutcome outcome = PeerOutcome::no_reply;
  int status = 0;  ///< of HTTP, if answered
  wire::Value body = nullptr;
};

/// A user's request as it is forwarded.
struct ForwardedRequest {
  std::string method, path;
  std::string body;  ///< CBOR; may be empty
  Seconds timeout_s = 1;
};

/// Forwards requests to peers. The references must outlive this object.
class PeerCalls {
 public:
  struct Events {
    std::function<peer::Frame()> make_frame;  ///< makes the frame that carries a request
    std::function<void(std::size_t peer, const peer::Frame&)> on_frame;  ///< a peer has replied
  };
  PeerCalls(ports::Outbox& out, const leadership::LeaderElection& election, PeerDirectory& peers,
            Responder& responder, Events events);

  /// The leader, if it is a peer that can be reached.
  std::optional<std::size_t> reachable_leader() const;
  /// A reachable peer that the state service answers, with at least that protocol level.
  std::optional<std::size_t> served_peer(std::uint32_t level = 0) const;

  /// Sends the request to the peer and calls `then` with the reply.
  void ask(std::size_t peer, ForwardedRequest request, std::function<void(const PeerReply&)> then);
  /// Sends the request to the peer and passes an answer on to the user. Otherwise, and if there is no peer,
  /// calls `otherwise` with the reason.
  void forward(const RequestOrigin& origin, std::optional<std::size_t> peer, ForwardedRequest request,
               const std::function<void(PeerOutcome)>& otherwise);

  /// Requests sent to peers so far.
  std::uint64_t count() const {
    return count_;
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
};

}  // namespace wingtrail::controller
