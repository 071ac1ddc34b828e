// Carries a node's decisions out on a real network: one routine per connection and per call.
#pragma once

#include <memory>
#include <unordered_map>

#include "controller/controller.hpp"
#include "net/http.hpp"

namespace wingtrail::daemon {

class Daemon {
 public:
  explicit Daemon(settings::Settings settings);
  // Runs until the process is killed; returns an error text if it cannot begin.
  std::optional<std::string> run();

 private:
  net::Task<net::Response> serve_client(net::Request request);
  net::Task<net::Response> serve_peer(net::Request request);
  net::DetachedTask execute_call(ports::Call call);
  void run_controller();
  void update_day_offset();
  std::string metrics() const;

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
