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

/// One controller process: the controller, the event loop that drives it, its HTTP servers and its HTTP
/// client.
class Daemon {
 public:
  /// Opens no sockets yet. The settings must have been loaded without problems.
  explicit Daemon(settings::Settings settings);
  /// Runs until the process is killed. Returns an error text if a listening socket cannot be opened.
  std::optional<std::string> run();

 private:
  // Runs the controller and waits for its answer to the request `id`, which it must have received before.
  // Returns no answer if there is none within kAnswerTimeoutS.
  net::Task<std::optional<ports::Answer>> wait_for_answer(std::uint64_t id);
  net::Task<net::Response> serve_client(net::Request request);
  net::Task<net::Response> serve_peer(net::Request request);
  net::DetachedTask execute_call(ports::Call call);
  std::uint64_t fencing_token() const;
  // The controller's statistics and those of this class.
  controller::Stats stats() const;
  std::optional<peer::Frame> decode_frame(const std::string& bytes);
  // Ticks the controller if its next wake-up is due, and executes the calls and answers that it has issued.
  void run_controller();
  // Passes the offset of the wall clock from the loop's clock to the controller, once per second.
  void update_day_offset();

  settings::Settings settings_;
  net::EventLoop loop_;
  net::TaskScope scope_;
  controller::Controller controller_;
  net::HttpClient client_;
  net::HttpServer client_server_, peer_server_;
  std::uint64_t last_request_ = 0;
  wire::RefusalCounts refused_frames_, refused_replies_;
  // By request id; each points into the coroutine that waits for the answer.
  std::unordered_map<std::uint64_t, net::OneShot<ports::Answer>*> open_requests_;
  bool running_controller_ = false;  // run_controller() does nothing when it is called from within itself
  ports::Seconds day_offset_updated_at_ = -1e9;
};

}  // namespace wingtrail::daemon
