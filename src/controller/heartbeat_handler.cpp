#include "controller/heartbeat_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "wire/worker_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kRejectionMemory = 4;
constexpr std::size_t kMaxRejections = 10'000;
constexpr Seconds kRedirectDelay = 2;     // a redirected worker has sent its heartbeat here within this time
constexpr double kPauseInHeartbeats = 5;  // after resigning, in heartbeat intervals
}  // namespace

HeartbeatHandler::HeartbeatHandler(Collaborators collaborators, std::function<bool()> is_active_leader)
    : collaborators_(collaborators), is_active_leader_(std::move(is_active_leader)) {}

void HeartbeatHandler::handle(const RequestOrigin& origin, const std::string& bytes) {
  ++count_;
  if (!is_active_leader_()) {
    auto reply = collaborators_.delegated_renewal.answer_heartbeat(bytes);
    if (!reply)
      return refuse(origin, reply.error(), bytes.size());
    if (!*reply)
      return reject(origin);
    return collaborators_.responder.respond(origin, 200, std::move(**reply));
  }
  const auto heartbeat = wire::parse_heartbeat(bytes);
  if (!heartbeat)
    return refuse(origin, heartbeat.error(), bytes.size());
  last_heartbeat_at_ = collaborators_.out.now();
  auto reply = collaborators_.workers.handle_heartbeat(*heartbeat);
  if (!reply)
    return collaborators_.responder.respond(origin, 503);
  collaborators_.responder.respond(origin, 200, std::move(*reply));
}

void HeartbeatHandler::refuse(const RequestOrigin& origin, const wire::ParseError& error, std::size_t bytes) {
  refused_.count(error);
  spdlog::warn("heartbeats: malformed error=\"{}\" bytes={}", error.text(), bytes);
  collaborators_.responder.respond(origin, 400);
}

void HeartbeatHandler::reject(const RequestOrigin& origin) {
  rejected_at_.push_back(collaborators_.out.now());
  while (rejected_at_.size() > kMaxRejections)
    rejected_at_.pop_front();
  // This controller never names itself: the worker would be redirected to where it comes from.
  const std::string& leader = collaborators_.election.leader();
  const bool is_other = !leader.empty() && leader != collaborators_.settings.node;
  collaborators_.responder.respond(origin, 421, wire::leader_redirect(is_other ? leader : ""));
}

void HeartbeatHandler::on_loaded() {
  last_heartbeat_at_ = 0;
  expected_since_ = collaborators_.out.now();
}

void HeartbeatHandler::check_reachability() {
  const Seconds now = collaborators_.out.now();
  const Seconds silent_for = now - std::max(last_heartbeat_at_, expected_since_);
  if (!collaborators_.peers.any_rejects_heartbeats() ||
      silent_for < 2 * collaborators_.settings.heartbeat_interval_s + 1) {
    unreachable_since_ = 0;
    return;
  }
  // If no other machine is up, a peer may get the first heartbeat of a new machine and redirect it here.
  if (unreachable_since_ == 0)
    unreachable_since_ = now;
  if (now - unreachable_since_ < kRedirectDelay)
    return;
  unreachable_since_ = 0;
  collaborators_.election.resign(kPauseInHeartbeats * collaborators_.settings.heartbeat_interval_s,
                                 "workers reach only other controllers");
}

void HeartbeatHandler::forget_old_rejections() {
  while (!rejected_at_.empty() && rejected_at_.front() < collaborators_.out.now() - kRejectionMemory)
    rejected_at_.pop_front();
}

}  // namespace wingtrail::controller
