#include "load_balancer.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "controller_processes.hpp"

namespace wingtrail::simulation {
namespace {
constexpr net::Seconds kProbeInterval = 1, kProbeTimeout = 1;
constexpr net::Seconds kFirstPause = 3, kMaxPause = 60, kRemovalMemory = 120;
constexpr std::size_t kProbesKept = 6;
constexpr std::size_t kMaxConnections = 16, kMaxReplyBytes = 4096;

std::size_t failures(const std::deque<bool>& probes) {
  return static_cast<std::size_t>(std::count(probes.begin(), probes.end(), false));
}

bool last_two_are(const std::deque<bool>& probes, bool ready) {
  return probes.size() >= 2 && probes.back() == ready && probes[probes.size() - 2] == ready;
}
}  // namespace

LoadBalancer::LoadBalancer(net::TaskScope& scope, std::vector<std::uint16_t> ports, std::uint64_t seed)
    : scope_(scope), client_(scope, kMaxConnections, kMaxReplyBytes), random_(seed) {
  for (const std::uint16_t port : ports) {
    Backend backend;
    backend.port = port;
    backends_.push_back(std::move(backend));
  }
}

void LoadBalancer::start() {
  for (std::size_t i = 0; i < backends_.size(); ++i)
    probe(i);
}

std::size_t LoadBalancer::choose() {
  std::vector<std::size_t> healthy;
  for (std::size_t i = 0; i < backends_.size(); ++i) {
    if (backends_[i].healthy)
      healthy.push_back(i);
  }
  if (healthy.empty())
    return random_(static_cast<std::uint32_t>(backends_.size()));
  return healthy[random_(static_cast<std::uint32_t>(healthy.size()))];
}

net::DetachedTask LoadBalancer::probe(std::size_t index) {
  while (!scope_.cancelled()) {
    const net::Seconds began = scope_.loop().refresh();
    net::Request request{"GET", "/ready", ""};
    const net::CallResult result = co_await client_.call(kLoopback, backends_[index].port, std::move(request),
                                                         "", began + kProbeTimeout, INFINITY);
    if (scope_.cancelled())
      co_return;
    on_probe(backends_[index], result.status == 200);
    co_await net::Sleep(scope_, began + kProbeInterval);
  }
}

void LoadBalancer::on_probe(Backend& backend, bool ready) {
  backend.last_probes.push_back(ready);
  if (backend.last_probes.size() > kProbesKept)
    backend.last_probes.pop_front();
  constexpr std::size_t kMaxFailures = 2;  // of the probes kept
  if (backend.healthy &&
      (last_two_are(backend.last_probes, false) || failures(backend.last_probes) > kMaxFailures))
    return remove(backend);
  if (backend.healthy || !ready)
    return;
  const bool recovered = last_two_are(backend.last_probes, true) && scope_.loop().now() >= backend.not_before;
  backend.healthy = recovered || !backend.ever_healthy;
  backend.ever_healthy |= backend.healthy;
}

void LoadBalancer::remove(Backend& backend) {
  const net::Seconds now = scope_.loop().now();
  backend.healthy = false;
  backend.last_probes.clear();
  backend.removed_at.push_back(now);
  while (backend.removed_at.front() < now - kRemovalMemory)
    backend.removed_at.pop_front();
  const auto earlier = static_cast<double>(backend.removed_at.size() - 1);
  backend.not_before = now + std::min(kMaxPause, kFirstPause * std::pow(2.0, earlier));
}

}  // namespace wingtrail::simulation
