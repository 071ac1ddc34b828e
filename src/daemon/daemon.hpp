/// @file
/// Runs a controller on a real network: one coroutine per connection and per call.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "controller/controller.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace wingtrail::daemon {

/// One node: its controller, the event loop that drives it, its HTTP servers and its HTTP client.
class Daemon {
 public:
  /// Opens nothing yet; the settings must have been checked.
  explicit Daemon(settings::Settings settings);
  /// Runs until the process is killed; returns an error text if it cannot begin.
  std::optional<std::string> run();

 private:
  // Runs the controller, which was handed the request of that id just before, and waits for its answer; none
  // if it does not come in time.
  net::Task<std::optional<ports::Answer>> wait_for_answer(std::uint64_t id);
  net::Task<net::Response> serve_client(net::Request request);
  net::Task<net::Response> serve_peer(net::Request request);
  net::DetachedTask execute_call(ports::Call call);
  void run_controller();
  void update_day_offset();

  settings::Settings settings_;
  net::EventLoop loop_;
  net::TaskScope scope_;
  controller::Controller controller_;
  net::HttpClient client_;
  net::HttpServer client_server_, peer_server_;
  std::uint64_t last_request_ = 0;
  std::unordered_map<std::uint64_t, net::OneShot<ports::Answer>*> open_requests_;
  bool running_controller_ = false;
  ports::Seconds day_offset_updated_at_ = -1e9;
};

}  // namespace wingtrail::daemon
