// The border of the decision code. Decisions never touch a socket or a clock: inputs arrive with the time
// they arrived at, and what is to be done leaves as actions. The daemon carries the actions out on a real
// network, the tests do so in a simulated one.
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

using Seconds = double;
inline constexpr Seconds kNever = std::numeric_limits<double>::infinity();

enum class Target : std::uint8_t { state, cloud, peer, worker, cell };

struct Call {
  std::uint64_t id = 0;
  Target target = Target::state;
  std::uint32_t peer = 0;  // which peer, for Target::peer; which controller of a neighbour, for Target::cell
  std::uint32_t cell = 0;  // which neighbour, for Target::cell
  std::string address;     // where, for Target::worker
  std::string method, path;
  wire::Value body;  // null: none
  std::optional<peer::Frame> frame;
  Seconds timeout_s = 1;
  Seconds not_after = kNever;  // must not be sent at or after this time: the sender's authority ends there
};

struct Reply {
  int status = 0;         ///< 0: no answer
  bool delivered = true;  ///< false: it is certain that nothing reached the other side
  wire::Value body;
  std::string heartbeat;  ///< the body of a worker's reply, unparsed
  std::optional<peer::Frame> frame;
};

/// The reply to a received request.
struct Answer {
  std::uint64_t request = 0;
  int status = 200;
  wire::Value body;
  std::optional<peer::Frame> frame;
  std::optional<int> retry_after_s;
};

using Action = std::variant<Call, Answer>;

class Outbox {
 public:
  using OnReply = std::function<void(const Reply&)>;

  Seconds now() const {
    return now_;
  }
  // Seconds since 1970, right within the bound that the platform gives; for what must mean the same to all
  // nodes.
  double time_of_day() const {
    return now_ + day_offset_;
  }

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

  // ---- for the caller that drives the decision code
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
  double day_offset_ = 0;
  std::uint64_t last_id_ = 0;
  std::vector<Action> actions_;
  std::unordered_map<std::uint64_t, OnReply> waiting_;
  std::multimap<Seconds, std::function<void()>> timers_;
};

}  // namespace wingtrail::ports
