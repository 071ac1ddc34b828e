#include "controller/peer_calls.hpp"

#include <utility>

#include "wire/value.hpp"

namespace wingtrail::controller {

PeerCalls::PeerCalls(ports::Outbox& out, const leadership::LeaderElection& election, PeerDirectory& peers,
                     Responder& responder, Events events)
    : out_(out), election_(election), peers_(peers), responder_(responder), events_(std::move(events)) {}

std::optional<std::size_t> PeerCalls::reachable_leader() const {
  return peers_.reachable_leader(election_.leader());
}

std::optional<std::size_t> PeerCalls::peer_with_state_service(std::uint32_t level) const {
  return peers_.peer_with_state_service(election_.leader(), level);
}

void PeerCalls::send_request(std::size_t peer, ForwardedRequest request,
                             std::function<void(const PeerReply&)> then) {
  ++count_;
  ports::Call call;
  call.target = ports::Target::peer;
  call.peer = static_cast<std::uint32_t>(peer);
  call.method = "POST";
  call.path = peer::kPeerPath;
  call.frame = events_.make_frame();
  call.frame->method = std::move(request.method);
  call.frame->path = std::move(request.path);
  call.frame->body = std::move(request.body);
  call.timeout_s = request.timeout_s;
  out_.call(std::move(call), [this, peer, then = std::move(then), sent = out_.now()](
                                 const ports::Reply& reply) { on_reply(peer, sent, reply, then); });
}

void PeerCalls::on_reply(std::size_t peer, Seconds sent, const ports::Reply& reply,
                         const std::function<void(const PeerReply&)>& then) {
  if (!reply.frame || reply.frame->status == 0) {
    peers_.on_no_reply(peer, sent);
    return then({PeerOutcome::no_reply});
  }
  events_.on_reply(peer, *reply.frame, sent);
  const int status = reply.frame->status;
  if (status == 503)
    return then({PeerOutcome::unavailable});
  if (status == 429)
    return then({PeerOutcome::throttled});
  const auto body = reply.frame->body.empty() ? wire::Result<wire::Value>(wire::Value())
                                              : wire::decode_cbor(reply.frame->body);
  if (!body) {
    refused_replies_.count(body.error());
    return then({PeerOutcome::no_reply});
  }
  then({PeerOutcome::answered, status, *body});
}

void PeerCalls::forward(const RequestOrigin& origin, std::optional<std::size_t> peer,
                        ForwardedRequest request, const std::function<void(PeerOutcome)>& on_failure) {
  if (!peer)
    return on_failure(PeerOutcome::no_reply);
  send_request(*peer, std::move(request), [this, origin, on_failure](const PeerReply& reply) {
    if (reply.outcome != PeerOutcome::answered)
      return on_failure(reply.outcome);
    responder_.respond(origin, reply.status, reply.body);
  });
}

}  // namespace wingtrail::controller
