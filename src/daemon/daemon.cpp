#include "daemon/daemon.hpp"

#include <spdlog/spdlog.h>
#include <sys/random.h>
#include <unistd.h>

#include <charconv>
#include <chrono>
#include <cmath>

#include "daemon/metrics_exporter.hpp"

namespace wingtrail::daemon {

using ports::Seconds;
namespace {

constexpr Seconds kAnswerTimeout = 8;  // longer than any chain of calls behind an answer takes
// Pages and watches of the state service may be larger than the bodies of other messages.
constexpr std::size_t kMaxAnswerBytes = 8U << 20;
constexpr const char* kMetricsPath = "/metrics";

std::uint64_t random_seed() {
  std::uint64_t seed = 0;
  if (getrandom(&seed, sizeof seed, GRND_NONBLOCK) != static_cast<ssize_t>(sizeof seed)) {
    seed = static_cast<std::uint64_t>(net::steady_now() * 1e9) ^ static_cast<std::uint64_t>(getpid());
  }
  return seed;
}

// A part of the sockets for each use, so that no one use can starve the others. Workers hold one each at the
// leader, so users and workers get most of them; what is left over is for the listeners and the loop.
constexpr double kCallShare = 0.12, kPeerShare = 0.03, kSpareShare = 0.03, kClientShare = 0.8;

std::size_t share(const settings::Settings& s, double part, double least) {
  return static_cast<std::size_t>(std::max(least, s.max_connections * part));
}
net::ServerLimits client_limits(const settings::Settings& s) {
  net::ServerLimits l;
  l.max_body = wire::kMaxBody;
  l.max_connections = share(s, kClientShare, 16);
  l.spare = share(s, kSpareShare, 4);
  // Workers report every report_s and users ask about as often: one that is silent for several times that has
  // gone without a word, and its socket is needed.
  l.idle_s = std::max(15.0, 4 * s.heartbeat_interval_s);
  return l;
}
net::ServerLimits peer_limits(const settings::Settings& s) {
  net::ServerLimits l;
  l.max_body = 2 * wire::kMaxBody;
  l.max_connections = share(s, kPeerShare, 8);
  return l;
}

}  // namespace

Daemon::Daemon(settings::Settings settings)
    : settings_(std::move(settings)),
      scope_(loop_),
      controller_(settings_, random_seed()),
      client_(scope_, share(settings_, kCallShare, 16), kMaxAnswerBytes),
      client_server_(scope_, settings_.client_listen.host, settings_.client_listen.port,
                     client_limits(settings_), [this](net::Request r) { return serve_client(std::move(r)); }),
      peer_server_(scope_, settings_.peer_listen.host, settings_.peer_listen.port, peer_limits(settings_),
                   [this](net::Request r) { return serve_peer(std::move(r)); }) {}

std::optional<std::string> Daemon::run() {
  if (auto why = client_server_.listen())
    return why;
  if (auto why = peer_server_.listen())
    return why;
  spdlog::info("{} in {}: serving users and workers on {}, peers on {}", settings_.node, settings_.zone,
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

// The time of day is set and slewed from outside, so it is looked at again and again.
void Daemon::update_day_offset() {
  constexpr Seconds kEvery = 1;
  if (loop_.now() < day_offset_updated_at_ + kEvery)
    return;
  day_offset_updated_at_ = loop_.refresh();
  const std::chrono::duration<double> day = std::chrono::system_clock::now().time_since_epoch();
  controller_.set_day_offset(day.count() - day_offset_updated_at_);
}

// Ticks the node if it is time, and carries out what it decided.
void Daemon::run_controller() {
  if (running_controller_)
    return;
  running_controller_ = true;
  update_day_offset();
  if (controller_.next_wake() <= loop_.now())
    controller_.tick(loop_.now());
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
  settings::Endpoint to;
  switch (call.target) {
    case ports::Target::state:
      to = settings_.state;
      break;
    case ports::Target::cloud:
      to = settings_.cloud;
      break;
    case ports::Target::peer:
      to = settings_.peers[call.peer].endpoint;
      break;
    case ports::Target::cell:
      to = settings_.cells.neighbours[call.cell].nodes[call.peer];
      break;
    case ports::Target::worker: {
      const auto colon = call.address.rfind(':');
      unsigned port = 0;
      if (colon != std::string::npos) {
        std::from_chars(call.address.data() + colon + 1, call.address.data() + call.address.size(), port);
      }
      to = {call.address.substr(0, colon), static_cast<std::uint16_t>(port)};
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
  const bool by_peer = call.target == ports::Target::peer || call.target == ports::Target::cell,
             by_worker = call.target == ports::Target::worker;
  net::CallResult outcome =
      co_await client_.call(to.host, to.port, std::move(request), std::move(content_type),
                            loop_.now() + call.timeout_s, call.not_after);
  if (scope_.cancelled())
    co_return;
  ports::Reply reply;
  reply.status = outcome.status;
  reply.delivered = outcome.delivered;
  if (outcome.status != 0 && !outcome.body.empty()) {
    if (by_worker) {
      reply.heartbeat = std::move(outcome.body);
    } else if (by_peer) {
      reply.frame = peer::decode(outcome.body);
    } else if (auto body = wire::decode_cbor(outcome.body)) {
      reply.body = std::move(*body);
    } else if (outcome.status == 200) {
      // An answer that cannot be read is none; what was asked for may have been done.
      spdlog::warn("{} {}: an answer that is not CBOR", call.method, call.path);
      reply.status = 0;
    }
  }
  controller_.on_reply(loop_.now(), id, reply);
}

net::Task<std::optional<ports::Answer>> Daemon::wait_for_answer(std::uint64_t id) {
  net::OneShot<ports::Answer> pending_answer;
  open_requests_.emplace(id, &pending_answer);
  run_controller();
  std::optional<ports::Answer> answer = co_await pending_answer.wait(scope_, loop_.now() + kAnswerTimeout);
  open_requests_.erase(id);
  co_return answer;
}

net::Task<net::Response> Daemon::serve_client(net::Request request) {
  net::Response response;
  if (request.target == kMetricsPath && request.method == "GET") {
    response.content_type = "text/plain; version=0.0.4";
    response.body = render_metrics(controller_.stats(), client_server_.connections());
    co_return response;
  }
  controller::IncomingRequest in;
  in.id = ++last_request_;
  in.method = std::move(request.method);
  in.path = request.target.substr(0, request.target.find('?'));
  in.body = std::move(request.body);
  controller_.on_request(loop_.now(), in);
  const auto answer = co_await wait_for_answer(in.id);
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
  auto frame = peer::decode(request.body);
  if (!frame) {
    response.status = 400;
    co_return response;
  }
  const std::uint64_t id = ++last_request_;
  controller_.on_frame(loop_.now(), id, *frame);
  const auto answer = co_await wait_for_answer(id);
  if (!answer || !answer->frame) {
    response.status = 504;
    co_return response;
  }
  response.body = peer::encode(*answer->frame);
  co_return response;
}

}  // namespace wingtrail::daemon
