/// @file
/// The interface between the scheduling logic and its environment. The logic uses no sockets or clocks: every
/// input comes with its time, outputs are actions. The daemon performs these on a network, tests simulate it.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "peer/frame.hpp"
#include "wire/value.hpp"

namespace wingtrail::ports {

using Seconds = double;  ///< a duration, or a time on the steady clock
inline constexpr Seconds kNever = std::numeric_limits<double>::infinity();
/// The receiver of a call. `peer` is a controller of this cell, `cell` a controller of a neighbouring cell.
enum class Target : std::uint8_t { state, cloud, peer, worker, cell };
/// An outgoing request.
struct Call {
  std::uint64_t id = 0;
  Target target = Target::state;
  std::uint32_t peer = 0;  ///< the index of the controller, for Target::peer and Target::cell
  std::uint32_t cell = 0;  ///< the index of the neighbouring cell, for Target::cell
  std::string address;     ///< HOST:PORT, for Target::worker
  std::string method, path;
  wire::Value body;                  ///< null: no body
  std::optional<peer::Frame> frame;  ///< replaces `body`, for Target::peer and Target::cell
  Seconds timeout_s = 1;
  Seconds not_after = kNever;  ///< not sent at or after this time: the sender's authority ends then
};
/// The outcome of a call.
struct Reply {
  int status = 0;         ///< the HTTP status; 0: no reply
  bool delivered = true;  ///< false: it is certain that the receiver got nothing of the request
  wire::Value body;
  std::string heartbeat;             ///< a worker's reply, unparsed
  std::optional<peer::Frame> frame;  ///< the reply of another controller
};

/// The reply to a received request.
struct Answer {
  std::uint64_t request = 0;  ///< the request's ID
  int status = 200;
  wire::Value body;
  std::optional<peer::Frame> frame;  ///< replaces `body` in answers to controllers
  std::optional<int> retry_after_s;  ///< the Retry-After header, in seconds
};

using Action = std::variant<Call, Answer>;
/// Collects the actions and timers of the scheduling logic, and matches replies to their calls.
class Outbox {
 public:
  using OnReply = std::function<void(const Reply&)>;
  /// The time of the current input, on the steady clock.
  Seconds now() const {
    return now_;
  }
  /// The time in seconds since 1970, as exact as the platform's clock synchronization. Used for times that
  /// all controllers must interpret alike.
  double time_of_day() const {
    return now_ + day_offset_;
  }
  /// Adds a call. `then` receives its outcome.
  void call(Call call, OnReply then) {
    call.id = ++last_id_;
    waiting_.emplace(call.id, std::move(then));
    actions_.push_back(std::move(call));
  }
  void answer(Answer answer) {
    actions_.push_back(std::move(answer));
  }
  void after(Seconds delay, std::function<void()> then) {
    timers_.emplace(now_ + delay, std::move(then));
  }

  // The following functions are for the daemon or simulation that runs the scheduling logic.
  void set_now(Seconds now) {
    now_ = now;
  }
  void set_day_offset(double offset) {
    day_offset_ = offset;
  }
  void complete(std::uint64_t id, const Reply& reply) {
    auto node = waiting_.extract(id);
    if (!node.empty())
      node.mapped()(reply);
  }
  void run_timers() {
    while (!timers_.empty() && timers_.begin()->first <= now_) {
      auto node = timers_.extract(timers_.begin());
      node.mapped()();
    }
  }
  Seconds next_wake() const {
    if (timers_.empty())
      return kNever;
    return timers_.begin()->first;
  }
  std::vector<Action> drain() {
    return std::exchange(actions_, {});
  }

 private:
  Seconds now_ = 0;
  double day_offset_ = 0;  ///< the time in seconds since 1970, minus the time on the steady clock
  std::uint64_t last_id_ = 0;
  std::vector<Action> actions_;
  std::unordered_map<std::uint64_t, OnReply> waiting_;    ///< by call ID
  std::multimap<Seconds, std::function<void()>> timers_;  ///< by the time at which they are due
};

}  // namespace wingtrail::ports
