// Copies of requests that were carried out and answered: each arrives once more, and nobody receives its
// answer.
#include <spdlog/spdlog.h>

#include "simulation/components.hpp"

namespace wingtrail::simulation {
namespace {
constexpr double kHeldForLeader = 0.2;  // share of copies that arrive when the next leader is elected
}  // namespace

void SimulatedCluster::repeat_requests(double share, double for_s, double longest_delay_s) {
  extend_fault_period(for_s + longest_delay_s);
  repeated_request_share_ = share;
  requests_repeated_until_ = now_ + for_s;
  longest_copy_delay_ = longest_delay_s;
}

// Lets a copy of a request arrive a moment, some seconds or much later, or at the next election.
void SimulatedCluster::may_arrive_again(std::function<void()> arrive) {
  if (now_ >= requests_repeated_until_ || !random_bool(repeated_request_share_))
    return;
  if (random_bool(kHeldForLeader))
    return held_copies_.push_back(std::move(arrive));
  const double longest_delays[] = {1, std::min(10.0, longest_copy_delay_), longest_copy_delay_};
  const double longest = longest_delays[random_index(std::size(longest_delays))];
  add_event_after(random_between(0.05, longest), std::move(arrive));
}

// Delivers the copies held for the new leader, unless the fault is over.
void SimulatedCluster::release_held_copies() {
  for (std::function<void()>& arrive : std::exchange(held_copies_, {})) {
    if (now_ < requests_repeated_until_ + longest_copy_delay_)
      add_event_after(random_between(0, 0.5), std::move(arrive));
  }
}

// Delivers a direct command whose sender no longer waits for the answer.
void SimulatedCluster::deliver_commands_late(const std::string& host, const Value& body) {
  const WorkerMachine& machine = *machines_.at(host);
  if (machine.gone || machine.dead || !machine.up)
    return;
  const auto execute = [this, host, body] {
    WorkerMachine& there = *machines_.at(host);
    if (there.gone || there.dead)
      return;
    check_lease(there);
    execute_commands(there, body);
  };
  now_ < machine.hung_until ? add_event(machine.hung_until + 1e-6, execute) : execute();
}

// Executes a direct command that its sender waits for. Returns the status of the answer.
int SimulatedCluster::answer_commands(WorkerMachine& machine, const Value& body) {
  check_lease(machine);
  const int status = execute_commands(machine, body);
  if (status == 200) {
    may_arrive_again([this, host = machine.name, body] {
      ++run_report_.repeated_commands;
      spdlog::debug("simulation: command_again t={:.3f} host={}", now_, host);
      deliver_commands_late(host, body);
    });
  }
  return status;
}

// Wraps the reply of a service so that a copy of the request may arrive after a successful one.
SimulatedCluster::ReplyCallback SimulatedCluster::repeat_if_executed(ReplyCallback reply,
                                                                     std::function<void()> arrive) {
  if (now_ >= requests_repeated_until_)
    return reply;
  return [this, reply = std::move(reply), arrive = std::move(arrive)](int status, Value body) {
    if (status == 200) {
      may_arrive_again([this, arrive] {
        ++run_report_.repeated_requests;
        arrive();
      });
    }
    reply(status, std::move(body));
  };
}

// Delivers a user's request. A copy of an accepted one may reach any controller.
void SimulatedCluster::deliver_from_user(std::size_t node, const controller::IncomingRequest& request,
                                         const AnswerCallback& then) {
  deliver(node, request, [this, request, then](const ports::Answer& answer) {
    if (answer.status == 200 || answer.status == 201) {
      may_arrive_again([this, request] {
        ++run_report_.repeated_requests;
        deliver(random_index(plan_.nodes), request, [](const ports::Answer&) {});
      });
    }
    then(answer);
  });
}

}  // namespace wingtrail::simulation
