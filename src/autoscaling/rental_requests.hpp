/// \file
/// Requests for machines at the cloud, and which pools have refused lately.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "autoscaling/cloud_call_budget.hpp"
#include "autoscaling/machine_catalog.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::autoscaling {

inline constexpr int kMaxMachinesPerRequest = 50;

/// What the autoscaler needs to know of this controller's leader lease.
struct LeadershipView {
  std::function<std::uint64_t()> fencing_token;
  std::function<bool()> may_act;
  std::function<ports::Seconds()> lease_expires_at;
};

/// A request is repeated under the same name until the cloud answers, so it never rents anything twice.
class RentalRequests {
 public:
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

  /// Forgets all requests; answers that come later are ignored.
  void clear();
  /// Whether nothing should be requested of the pool now: it refused lately, or its zone is lost and
  /// something is requested there already.
  bool is_unavailable(const Pool& pool) const;
  /// Adds a request; returns the number of machines in it, which may be fewer. `reason` goes to the log.
  int add(const Pool& pool, int count, const char* reason);
  /// Sends what is due.
  void send();
  const std::vector<Request>& open() const {
    return requests_;
  }
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
  std::uint64_t counter_ = 0;     ///< of names
  std::uint64_t generation_ = 0;  ///< counts `clear`
  std::uint64_t machines_rented_ = 0;
};

}  // namespace wingtrail::autoscaling
