/// @file
/// Requests to the cloud for machines, and the pools that have refused requests lately.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "autoscaling/cloud_call_budget.hpp"
#include "autoscaling/machine_catalog.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::autoscaling {

inline constexpr int kMaxMachinesPerRequest = 50;

/// What the autoscaler reads of this controller's leadership.
struct LeadershipView {
  std::function<std::uint64_t()> fencing_token;
  std::function<bool()> may_act;                     ///< this controller is the leader and its lease is valid
  std::function<ports::Seconds()> lease_expires_at;  ///< on the outbox's clock
};

/// The open requests. A request is repeated under the same name until the cloud answers, so it never rents a
/// machine twice.
class RentalRequests {
 public:
  /// A request for `count` machines that the cloud has not answered yet.
  struct Request {
    std::string name;
    Pool pool;
    int count;
    bool in_flight = false;
    ports::Seconds retry_at = 0;
    ports::Seconds requested_at = 0;
  };

  RentalRequests(ports::Outbox& out, jobs::JobRegistry& registry, workers::WorkerManager& workers,
                 CloudCallBudget& calls, const LeadershipView& leadership)
      : out_(out), registry_(registry), workers_(workers), calls_(calls), leadership_(leadership) {}

  /// Discards all requests; replies that arrive later are ignored.
  void clear();
  /// Whether no machine should be requested from the pool now: it refused a request lately, or its zone is
  /// unreachable and needs no machine as a probe, or already has one requested.
  bool is_unavailable(const Pool& pool) const;
  /// Adds a request. Returns the number of machines in it, which may be less than `count`. `reason` is for
  /// the log.
  int add(const Pool& pool, int count, const char* reason);
  /// Sends the requests that are due.
  void send();
  const std::vector<Request>& open() const {
    return requests_;
  }
  /// Machines rented since the start of the process.
  std::uint64_t machines_rented() const {
    return machines_rented_;
  }

 private:
  void send(Request& request);
  void on_reply(const std::string& name, const ports::Reply& reply);
  void on_rented(const Request& request, const ports::Reply& reply);

  ports::Outbox& out_;
  jobs::JobRegistry& registry_;
  workers::WorkerManager& workers_;
  CloudCallBudget& calls_;
  const LeadershipView& leadership_;
  std::vector<Request> requests_;
  std::map<Pool, ports::Seconds> refused_until_;
  std::uint64_t request_count_ = 0;  ///< requests so far; part of a request's name
  std::uint64_t generation_ = 0;     ///< number of calls of `clear`; identifies replies to ignore
  std::uint64_t machines_rented_ = 0;
};

}  // namespace wingtrail::autoscaling
