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
    : with_(collaborators), is_active_leader_(std::move(is_active_leader)) {}

void HeartbeatHandler::handle(const RequestOrigin& origin, const std::string& bytes) {
  ++count_;
  if (!is_active_leader_()) {
    if (auto reply = with_.delegated_renewal.answer_heartbeat(bytes))
      return with_.responder.respond(origin, 200, std::move(*reply));
    return reject(origin);
  }
  const auto heartbeat = wire::parse_heartbeat(bytes);
  if (!heartbeat) {
    spdlog::warn("heartbeats: malformed error=\"{}\"", heartbeat.error().text());
    return with_.responder.respond(origin, 400);
  }
  last_heartbeat_at_ = with_.out.now();
  auto reply = with_.workers.handle_heartbeat(*heartbeat);
  if (!reply)
    return with_.responder.respond(origin, 503);
  with_.responder.respond(origin, 200, std::move(*reply));
}

void HeartbeatHandler::reject(const RequestOrigin& origin) {
  rejected_at_.push_back(with_.out.now());
  while (rejected_at_.size() > kMaxRejections)
    rejected_at_.pop_front();
  // This controller never names itself: the worker would be redirected to where it comes from.
  const std::string& leader = with_.election.leader();
  const bool is_other = !leader.empty() && leader != with_.settings.node;
  with_.responder.respond(origin, 421, wire::leader_redirect(is_other ? leader : ""));
}

void HeartbeatHandler::on_loaded() {
  last_heartbeat_at_ = 0;
  expected_since_ = with_.out.now();
}

void HeartbeatHandler::check_reachability() {
  const Seconds now = with_.out.now();
  const Seconds silent_for = now - std::max(last_heartbeat_at_, expected_since_);
  if (!with_.peers.any_rejects_heartbeats() || silent_for < 2 * with_.settings.heartbeat_interval_s + 1) {
    unreachable_since_ = 0;
    return;
  }
  // If no other machine is up, a peer may get the first heartbeat of a new machine and redirect it here.
  if (unreachable_since_ == 0)
    unreachable_since_ = now;
  if (now - unreachable_since_ < kRedirectDelay)
    return;
  unreachable_since_ = 0;
  with_.election.resign(kPauseInHeartbeats * with_.settings.heartbeat_interval_s,
                        "workers reach only other controllers");
}

void HeartbeatHandler::forget_old_rejections() {
  while (!rejected_at_.empty() && rejected_at_.front() < with_.out.now() - kRejectionMemory)
    rejected_at_.pop_front();
}

}  // namespace wingtrail::controller
