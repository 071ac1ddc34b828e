#include "autoscaling/rental_requests.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "wire/cloud_messages.hpp"

namespace wingtrail::autoscaling {

using ports::Seconds;
using workers::Machine;

namespace {
constexpr Seconds kRefusalBackoff = 15;  // until other customers of the cloud may have returned machines
constexpr std::size_t kMaxOpenRequests = 1000;
}  // namespace

void RentalRequests::clear() {
  ++generation_;
  requests_.clear();
  refused_until_.clear();
}

bool RentalRequests::is_unavailable(const Pool& pool) const {
  const auto until = refused_until_.find(pool);
  if (workers_.zones().is_unreachable(pool.zone, out_.now())) {
    const auto in_same_zone = [&pool](const Request& request) {
      return request.pool.zone == pool.zone;
    };
    if (!workers_.zones().needs_probe_machine(pool.zone) ||
        std::any_of(requests_.begin(), requests_.end(), in_same_zone))
      return true;
  }
  return until != refused_until_.end() && out_.now() < until->second;
}

int RentalRequests::add(const Pool& pool, int count, const char* reason) {
  if (requests_.size() >= kMaxOpenRequests)
    return 0;
  // In a zone that is lost with all its machines, a single machine is requested as a probe: it shows when the
  // zone is reachable again.
  if (workers_.zones().is_unreachable(pool.zone, out_.now())) {
    if (is_unavailable(pool))
      return 0;
    count = 1;
  }
  Request request;
  // The fencing token is unique to this leadership, so no other controller ever uses the same name.
  request.name = "r-" + std::to_string(leadership_.fencing_token()) + "-" + std::to_string(++request_count_);
  request.pool = pool;
  request.count = count;
  request.requested_at = out_.now();
  spdlog::info("autoscaler: requesting machines count={} kind={} type={} zone={} reason=\"{}\"", count,
               pool.spot ? "spot" : "ordinary", registry_.types[pool.type], registry_.zones[pool.zone],
               reason);
  requests_.push_back(std::move(request));
  return count;
}

void RentalRequests::send() {
  for (Request& request : requests_) {
    if (!request.in_flight && out_.now() >= request.retry_at)
      send(request);
  }
}

void RentalRequests::send(Request& request) {
  if (!calls_.try_take(true))
    return;
  request.in_flight = true;
  ports::Call call;
  call.target = ports::Target::cloud;
  call.method = "POST";
  call.path = wire::kMachinesPath;
  call.body = wire::rental_body(request.name, registry_.types[request.pool.type],
                                registry_.zones[request.pool.zone], request.pool.spot, request.count);
  call.timeout_s = kCloudCallTimeout;
  call.not_after = leadership_.lease_expires_at();
  out_.call(std::move(call),
            [this, name = request.name, generation = generation_](const ports::Reply& reply) {
              if (generation == generation_)
                on_reply(name, reply);
            });
}

void RentalRequests::on_reply(const std::string& name, const ports::Reply& reply) {
  constexpr Seconds kRequestTimeout = 60;
  const auto request = std::find_if(requests_.begin(), requests_.end(),
                                    [&](const Request& other) { return other.name == name; });
  if (request == requests_.end())
    return;
  request->in_flight = false;
  request->retry_at = out_.now() + 1;
  const bool refused = reply.status == 503 && wire::text(reply.body, "error").value_or("") == "no capacity";
  if (reply.status == 200) {
    on_rented(*request, reply);
    requests_.erase(request);
  } else if (refused || reply.status == 400) {
    refused_until_[request->pool] = out_.now() + kRefusalBackoff;
    spdlog::info("autoscaler: no capacity kind={} type={} zone={}", request->pool.spot ? "spot" : "ordinary",
                 registry_.types[request->pool.type], registry_.zones[request->pool.zone]);
    requests_.erase(request);
  } else if (reply.status != 0 && reply.status != 429 &&
             out_.now() - request->requested_at > kRequestTimeout) {
    requests_.erase(request);
  }
  // All other requests are repeated under the same name, so that no machine is rented twice.
}

void RentalRequests::on_rented(const Request& request, const ports::Reply& reply) {
  const auto hosts = wire::parse_rented(reply.body);
  const std::size_t rented = hosts ? hosts->size() : 0;
  if (rented < static_cast<std::size_t>(request.count))
    refused_until_[request.pool] = out_.now() + kRefusalBackoff;
  machines_rented_ += rented;
  if (!hosts)
    return;
  for (const std::string& host : *hosts) {
    Machine& machine = workers_.add_machine(host, "", registry_.types[request.pool.type],
                                            registry_.zones[request.pool.zone], request.pool.spot);
    if (!machine.has_incarnation)
      machine.rented_at = request.requested_at;
  }
}

}  // namespace wingtrail::autoscaling
