// Carries a node's decisions out on a real network: one routine per connection and per call.
#pragma once

#include <memory>
#include <unordered_map>

#include "daemon/node.hpp"
#include "net/http.hpp"

namespace wingtrail::daemon {

class Daemon {
 public:
  explicit Daemon(settings::Settings settings);
  // Runs until the process is killed; returns an error text if it cannot begin.
  std::optional<std::string> run();

 private:
  net::Co<net::Response> serve_client(net::Request request);
  net::Co<net::Response> serve_peer(net::Request request);
  net::Routine carry_out(ports::Call call);
  void act();
  void tell_time();
  std::string metrics() const;

  settings::Settings settings_;
  net::Loop loop_;
  net::Scope scope_;
  Node node_;
  net::Client client_;
  net::Server client_server_, peer_server_;
  std::uint64_t last_request_ = 0;
  std::unordered_map<std::uint64_t, net::Slot<ports::Answer>*> open_;
  bool acting_ = false;
  Seconds told_time_ = -1e9;
};

}  // namespace wingtrail::daemon
