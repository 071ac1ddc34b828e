/// @file
/// Replies to requests of users, workers and peers.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "ports/outbox.hpp"

namespace wingtrail::controller {

using ports::Seconds;

/// The request that a reply belongs to.
struct RequestOrigin {
  std::uint64_t id = 0;
  bool by_peer = false;  ///< a peer forwarded it, so the reply is sent in a frame
};

/// Sends replies. The outbox must outlive the responder.
class Responder {
 public:
  /// @param make_frame returns a frame with this controller's status, in which a reply is sent to a peer
  Responder(ports::Outbox& out, std::function<peer::Frame()> make_frame);

  /// Sends a reply.
  /// @param status the HTTP status
  /// @param retry_after_s the value of Retry-After, in seconds
  void respond(const RequestOrigin& origin, int status, wire::Value body = nullptr,
               std::optional<int> retry_after_s = {});
  /// Sends a reply with a Retry-After of `delay` seconds, rounded up and limited to 1 to 30.
  void try_later(const RequestOrigin& origin, int status = 503, Seconds delay = 1);

 private:
  ports::Outbox& out_;
  std::function<peer::Frame()> make_frame_;
};

}  // namespace wingtrail::controller
