#include "daemon/daemon.hpp"

#include <spdlog/spdlog.h>
#include <sys/random.h>
#include <unistd.h>

#include <charconv>
#include <chrono>
#include <cmath>

#include "daemon/crash_report.hpp"
#include "daemon/metrics_exporter.hpp"

namespace wingtrail::daemon {

using ports::Seconds;
namespace {

// Exceeds the total time of all the calls that the controller makes, one after another, to answer a request.
constexpr Seconds kAnswerTimeoutS = 8;
// Range reads and watch replies of the state service may be larger than other messages.
constexpr std::size_t kMaxReplyBytes = 8U << 20;
constexpr const char* kMetricsPath = "/metrics";

// Falls back to the clock and the process id, as the kernel may have no entropy yet during boot.
std::uint64_t random_seed() {
  std::uint64_t seed = 0;
  if (getrandom(&seed, sizeof seed, GRND_NONBLOCK) != static_cast<ssize_t>(sizeof seed)) {
    seed = static_cast<std::uint64_t>(net::steady_now() * 1e9) ^ static_cast<std::uint64_t>(getpid());
  }
  return seed;
}

// Shares of `max_connections` for each kind of connection, so that no kind can use up the sockets of the
// others. Every worker keeps a connection to the leader open, so users and workers get most of the sockets;
// settings::Settings::peer_connections() are for other controllers.
// The remainder is for the listening sockets and the event loop.
constexpr double kCallShare = 0.12, kSpareShare = 0.03, kClientShare = 0.8;

std::size_t connection_limit(const settings::Settings& settings, double share, double minimum) {
  return static_cast<std::size_t>(std::max(minimum, settings.max_connections * share));
}
net::ServerLimits client_limits(const settings::Settings& settings) {
  net::ServerLimits limits;
  limits.max_body = wire::kMaxBody;
  limits.max_connections = connection_limit(settings, kClientShare, 16);
  limits.spare = connection_limit(settings, kSpareShare, 4);
  // Workers send a heartbeat every report_s, and users send queries about as often. A connection that is idle
  // for several such intervals has been abandoned without being closed, and its socket is needed for others.
  limits.idle_s = std::max(15.0, 4 * settings.heartbeat_interval_s);
  return limits;
}
net::ServerLimits peer_limits(const settings::Settings& settings) {
  net::ServerLimits limits;
  limits.max_body = 2 * wire::kMaxBody;
  limits.max_connections = settings.peer_connections();
  return limits;
}

// The receiver of calls, as reports name it.
const char* name(ports::Target target) {
  switch (target) {
    case ports::Target::state:
      return "state_service";
    case ports::Target::cloud:
      return "cloud";
    case ports::Target::peer:
      return "controller";
    case ports::Target::worker:
      return "worker";
    case ports::Target::cell:
      return "cell";
  }
  return "";
}

}  // namespace

Daemon::Daemon(settings::Settings settings)
    : settings_(std::move(settings)),
      scope_(loop_),
      controller_(settings_, random_seed()),
      client_(scope_, connection_limit(settings_, kCallShare, 16), kMaxReplyBytes),
      client_server_(scope_, settings_.client_listen.host, settings_.client_listen.port,
                     client_limits(settings_), [this](net::Request r) { return serve_client(std::move(r)); }),
      peer_server_(scope_, settings_.peer_listen.host, settings_.peer_listen.port, peer_limits(settings_),
                   [this](net::Request r) { return serve_peer(std::move(r)); }) {}

std::optional<std::string> Daemon::run() {
  if (auto error = client_server_.listen())
    return error;
  if (auto error = peer_server_.listen())
    return error;
  spdlog::info("daemon: listening node={} zone={} clients={} peers={}", settings_.node, settings_.zone,
               settings_.client_listen.text(), settings_.peer_listen.text());
  loop_.refresh();
  update_day_offset();
  controller_.start(loop_.now());
  loop_.before_sleep([this] {
    run_controller();
    return controller_.next_wake() <= loop_.now() ? loop_.now() : controller_.next_wake();
  });
  loop_.run();
  return std::nullopt;
}

// The wall clock may be set or slewed at any time, so the offset is computed again every second.
void Daemon::update_day_offset() {
  constexpr Seconds kUpdateIntervalS = 1;
  if (loop_.now() < day_offset_updated_at_ + kUpdateIntervalS)
    return;
  day_offset_updated_at_ = loop_.refresh();
  const std::chrono::duration<double> day = std::chrono::system_clock::now().time_since_epoch();
  controller_.set_day_offset(day.count() - day_offset_updated_at_);
}

void Daemon::run_controller() {
  if (running_controller_)
    return;
  running_controller_ = true;
  update_day_offset();
  if (controller_.next_wake() <= loop_.now()) {
    const CurrentActivity activity({.kind = "timers", .fencing_token = fencing_token()});
    controller_.tick(loop_.now());
  }
  for (auto actions = controller_.drain(); !actions.empty(); actions = controller_.drain()) {
    for (ports::Action& action : actions) {
      if (auto* call = std::get_if<ports::Call>(&action)) {
        execute_call(std::move(*call));
      } else {
        auto& answer = std::get<ports::Answer>(action);
        auto it = open_requests_.find(answer.request);
        if (it != open_requests_.end())
          it->second->set(std::move(answer));
      }
    }
  }
  running_controller_ = false;
}

net::DetachedTask Daemon::execute_call(ports::Call call) {
  net::Request request{call.method, call.path, ""};
  std::string content_type = "application/cbor";
  settings::Endpoint endpoint;
  switch (call.target) {
    case ports::Target::state:
      endpoint = settings_.state;
      break;
    case ports::Target::cloud:
      endpoint = settings_.cloud;
      break;
    case ports::Target::peer:
      endpoint = settings_.peers[call.peer].endpoint;
      break;
    case ports::Target::cell:
      endpoint = settings_.cells.neighbours[call.cell].nodes[call.peer];
      break;
    case ports::Target::worker: {
      const auto colon = call.address.rfind(':');
      unsigned port = 0;
      if (colon != std::string::npos) {
        std::from_chars(call.address.data() + colon + 1, call.address.data() + call.address.size(), port);
      }
      endpoint = {call.address.substr(0, colon), static_cast<std::uint16_t>(port)};
      break;
    }
  }
  if (call.frame) {
    request.body = peer::encode(*call.frame);
    content_type = "application/msgpack";
  } else if (!call.body.is_null()) {
    request.body = wire::encode_cbor(call.body);
  }
  const std::uint64_t id = call.id;
  const bool to_controller = call.target == ports::Target::peer || call.target == ports::Target::cell;
  const bool to_worker = call.target == ports::Target::worker;
  net::CallResult outcome =
      co_await client_.call(endpoint.host, endpoint.port, std::move(request), std::move(content_type),
                            loop_.now() + call.timeout_s, call.not_after);
  if (scope_.cancelled())
    co_return;
  const CurrentActivity activity({.kind = "reply",
                                  .counterpart = name(call.target),
                                  .method = call.method,
                                  .path = call.path,
                                  .body = outcome.body,
                                  .fencing_token = fencing_token()});
  ports::Reply reply;
  reply.status = outcome.status;
  reply.delivered = outcome.delivered;
  if (outcome.status != 0 && !outcome.body.empty()) {
    if (to_worker) {
      reply.heartbeat = outcome.body;
    } else if (to_controller) {
      reply.frame = decode_frame(outcome.body);
    } else if (auto body = wire::decode_cbor(outcome.body, wire::InvalidText::replace)) {
      reply.body = std::move(*body);
    } else {
      refused_replies_.count(body.error());
      spdlog::warn("daemon: reply refused from={} method={} path={} error=\"{}\" bytes={}", name(call.target),
                   call.method, call.path, body.error().text(), outcome.body.size());
      // This counts as no reply: the request may have been executed.
      if (outcome.status == 200)
        reply.status = 0;
    }
  }
  controller_.on_reply(loop_.now(), id, reply);
}

std::uint64_t Daemon::fencing_token() const {
  return controller_.leader_election().fencing_token();
}

controller::Stats Daemon::stats() const {
  controller::Stats stats = controller_.stats();
  stats.refused_messages.push_back({"frame", refused_frames_});
  stats.refused_messages.push_back({"reply", refused_replies_});
  return stats;
}

std::optional<peer::Frame> Daemon::decode_frame(const std::string& bytes) {
  auto frame = peer::decode(bytes);
  if (!frame)
    refused_frames_.count(wire::RefusalReason::malformed);
  return frame;
}

net::Task<std::optional<ports::Answer>> Daemon::wait_for_answer(std::uint64_t id) {
  net::OneShot<ports::Answer> pending_answer;
  open_requests_.emplace(id, &pending_answer);
  run_controller();
  std::optional<ports::Answer> answer = co_await pending_answer.wait(scope_, loop_.now() + kAnswerTimeoutS);
  open_requests_.erase(id);
  co_return answer;
}

net::Task<net::Response> Daemon::serve_client(net::Request request) {
  net::Response response;
  if (request.target == kMetricsPath && request.method == "GET") {
    response.content_type = "text/plain; version=0.0.4";
    response.body = render_metrics(stats(), client_server_.connections());
    co_return response;
  }
  controller::IncomingRequest incoming;
  incoming.id = ++last_request_;
  incoming.method = std::move(request.method);
  incoming.path = request.target.substr(0, request.target.find('?'));
  incoming.body = std::move(request.body);
  {
    const CurrentActivity activity({.kind = "request",
                                    .counterpart = "client",
                                    .method = incoming.method,
                                    .path = incoming.path,
                                    .body = incoming.body,
                                    .fencing_token = fencing_token()});
    controller_.on_request(loop_.now(), incoming);
  }
  const auto answer = co_await wait_for_answer(incoming.id);
  if (!answer) {
    response.status = 504;
    response.retry_after_s = 1;
    co_return response;
  }
  response.status = answer->status;
  response.retry_after_s = answer->retry_after_s;
  if (!answer->body.is_null())
    response.body = wire::encode_cbor(answer->body);
  co_return response;
}

net::Task<net::Response> Daemon::serve_peer(net::Request request) {
  net::Response response;
  response.content_type = "application/msgpack";
  if (request.target != peer::kPeerPath || request.method != "POST") {
    response.status = request.target != peer::kPeerPath ? 404 : 405;
    co_return response;
  }
  const std::uint64_t id = ++last_request_;
  {
    const CurrentActivity activity({.kind = "frame",
                                    .counterpart = "controller",
                                    .method = request.method,
                                    .path = request.target,
                                    .body = request.body,
                                    .fencing_token = fencing_token()});
    const auto frame = decode_frame(request.body);
    if (!frame) {
      response.status = 400;
      co_return response;
    }
    controller_.on_frame(loop_.now(), id, *frame);
  }
  const auto answer = co_await wait_for_answer(id);
  if (!answer || !answer->frame) {
    response.status = 504;
    co_return response;
  }
  response.body = peer::encode(*answer->frame);
  co_return response;
}

}  // namespace wingtrail::daemon
