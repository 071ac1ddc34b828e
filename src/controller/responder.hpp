/// @file
/// Replies to requests of users, workers and peers.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "ports/outbox.hpp"

namespace wingtrail::controller {

using ports::Seconds;

/// Where a reply goes: to a request of this controller's own, or to one that a peer forwarded.
struct RequestOrigin {
  std::uint64_t id = 0;
  bool by_peer = false;
};

/// Emits replies. The outbox must outlive the responder.
class Responder {
 public:
  /// @param make_frame makes the frame that carries a reply to a peer
  Responder(ports::Outbox& out, std::function<peer::Frame()> make_frame);

  /// @param retry_after_s when the sender should come back, in whole seconds
  void respond(const RequestOrigin& origin, int status, wire::Value body = nullptr,
               std::optional<int> retry_after_s = {});
  /// Asks the sender to come back after that many seconds, rounded up, 1 to 30.
  void try_later(const RequestOrigin& origin, int status = 503, Seconds delay = 1);

 private:
  ports::Outbox& out_;
  std::function<peer::Frame()> make_frame_;
};

}  // namespace wingtrail::controller
