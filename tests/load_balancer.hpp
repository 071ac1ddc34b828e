/// @file
/// The load balancer between users and controller processes: probes GET /ready and chooses a controller for
/// each user.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <pcg_random.hpp>
#include <vector>

#include "net/event_loop.hpp"
#include "net/http_client.hpp"

namespace wingtrail::simulation {

/// Applies the health rules of the protocol: unhealthy after two failed probes in a row or three of the last
/// six; healthy again after two successes, but not before a pause that doubles with each removal.
class LoadBalancer {
 public:
  /// @param ports the controllers' ports for users, on the loopback interface
  LoadBalancer(net::TaskScope& scope, std::vector<std::uint16_t> ports, std::uint64_t seed);
  /// Starts to probe the controllers.
  void start();
  /// Returns a healthy controller; any one if none is healthy.
  std::size_t choose();

 private:
  struct Backend {
    std::uint16_t port = 0;
    bool healthy = false;
    bool ever_healthy = false;
    std::deque<bool> last_probes;  // the latest last
    net::Seconds not_before = 0;
    std::deque<net::Seconds> removed_at;
  };
  net::DetachedTask probe(std::size_t index);
  void on_probe(Backend& backend, bool ready);
  void remove(Backend& backend);

  net::TaskScope& scope_;
  net::HttpClient client_;
  std::vector<Backend> backends_;
  pcg32 random_;
};

}  // namespace wingtrail::simulation
