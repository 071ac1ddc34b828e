#include "daemon/daemon.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <spdlog/spdlog.h>
#include <sys/random.h>
#include <unistd.h>

#include <charconv>
#include <chrono>
#include <cmath>

namespace wingtrail::daemon {

using ports::Seconds;
namespace {

constexpr Seconds kAnswerWithin = 8;  // longer than any chain of calls behind an answer takes
constexpr std::size_t kMaxAnswer =
    8u << 20;  // pages and watches of the state service have no size limit of 64 KiB
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
      client_(scope_, share(settings_, kCallShare, 16), kMaxAnswer),
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
  controller_.reply(loop_.now(), id, reply);
}

net::Task<net::Response> Daemon::serve_client(net::Request request) {
  net::Response response;
  if (request.target == kMetricsPath && request.method == "GET") {
    response.content_type = "text/plain; version=0.0.4";
    response.body = metrics();
    co_return response;
  }
  controller::IncomingRequest in;
  in.id = ++last_request_;
  in.method = std::move(request.method);
  in.path = request.target.substr(0, request.target.find('?'));
  in.body = std::move(request.body);
  net::OneShot<ports::Answer> slot;
  open_requests_.emplace(in.id, &slot);
  const std::uint64_t id = in.id;
  controller_.request(loop_.now(), in);
  run_controller();
  auto answer = co_await slot.wait(scope_, loop_.now() + kAnswerWithin);
  open_requests_.erase(id);
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
  net::OneShot<ports::Answer> slot;
  open_requests_.emplace(id, &slot);
  controller_.peer(loop_.now(), id, *frame);
  run_controller();
  auto answer = co_await slot.wait(scope_, loop_.now() + kAnswerWithin);
  open_requests_.erase(id);
  if (!answer || !answer->frame) {
    response.status = 504;
    co_return response;
  }
  response.body = peer::encode(*answer->frame);
  co_return response;
}

std::string Daemon::metrics() const {
  const controller::Stats s = controller_.stats();
  prometheus::Registry registry;
  auto gauge = [&](const char* name, const char* help, double value) {
    prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value);
  };
  auto total = [&](const char* name, const char* help, std::uint64_t value) {
    prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({}).Increment(
        static_cast<double>(value));
  };
  gauge("wingtrail_leading", "1 if this node may give orders", s.leading ? 1 : 0);
  gauge("wingtrail_live_jobs", "jobs that are not over, as the leader knows them",
        static_cast<double>(s.live_jobs));
  gauge("wingtrail_user_connections", "open connections of users and workers",
        static_cast<double>(client_server_.connections()));
  total("wingtrail_submissions_total", "submissions that came in", s.submitted);
  total("wingtrail_admitted_total", "jobs this node accepted", s.admitted);
  total("wingtrail_refused_total", "submissions refused for good", s.refused);
  total("wingtrail_reports_total", "worker reports that came in", s.reports);
  total("wingtrail_forwarded_total", "requests handed on to peers", s.forwarded);
  total("wingtrail_jobs_done_total", "jobs completed while this node led", s.completed);
  total("wingtrail_jobs_cancelled_total", "jobs cancelled while this node led", s.cancelled);
  total("wingtrail_state_calls_total", "requests to the state service", s.state_calls);
  total("wingtrail_state_held_back_total", "requests to the state service held back by the budget",
        s.state_refused);
  gauge("wingtrail_machines", "machines that are not gone, as the leader knows them",
        static_cast<double>(s.machines));
  gauge("wingtrail_record_pages", "values that hold roster and progress",
        static_cast<double>(s.record_pages));
  gauge("wingtrail_settled_after_seconds",
        "from the take-over until every machine was accounted for; 0: not yet", s.settled_after_s);
  total("wingtrail_direct_calls_total", "calls to workers, beside answers to their reports", s.direct_calls);
  total("wingtrail_deadlines_total", "deadlines of machines looked at", s.deadlines);
  total("wingtrail_state_writes_total", "puts and deletes sent as leader", s.state_writes);
  total("wingtrail_writes_of_ends_total", "of these, for jobs that are over", s.ends_written);
  total("wingtrail_writes_of_roster_total", "of these, pages of machines", s.roster_written);
  total("wingtrail_writes_of_progress_total", "of these, pages of completed tasks", s.progress_written);
  total("wingtrail_pages_divided_total", "pages found larger than may be written", s.pages_divided);
  total("wingtrail_writes_malformed_total", "transactions that the state service called malformed",
        s.malformed);
  gauge("wingtrail_held_jobs", "live jobs that wait for others", static_cast<double>(s.held_jobs));
  total("wingtrail_chains_ready_total", "jobs whose needs were met", s.chains_ready);
  total("wingtrail_orphaned_total", "jobs cancelled with one that they need", s.orphaned);
  total("wingtrail_tasks_started_total", "tasks placed on machines", s.tasks_started);
  total("wingtrail_tasks_preempted_total", "tasks stopped for work of higher priority", s.preempted);
  total("wingtrail_tasks_reclaimed_total", "tasks stopped for another team's guarantee", s.reclaimed);
  total("wingtrail_machines_examined_total", "machines looked at to place tasks", s.machines_examined);
  total("wingtrail_jobs_examined_total", "jobs looked at to place tasks", s.jobs_examined);
  total("wingtrail_custody_answers_total", "workers' reports answered without the right to give orders",
        s.custody_answers);
  total("wingtrail_grants_total", "grants of custody given as leader", s.grants);
  total("wingtrail_aborts_put_off_total", "cancellations put off because a task is out of reach",
        s.aborts_put_off);
  total("wingtrail_sheets_total", "sheets of jobs admitted together that this node sent", s.sheets);
  total("wingtrail_admitted_on_sheets_total", "jobs this node accepted on them", s.on_sheets);
  total("wingtrail_sheets_swept_total", "sheets deleted because all their jobs were over", s.swept);
  gauge("wingtrail_sheets", "sheets that this node knows of", static_cast<double>(s.sheets_live));
  gauge("wingtrail_admissions_waiting", "submissions that wait for their turn at this node",
        static_cast<double>(s.admissions_waiting));
  gauge("wingtrail_state_share", "of the state service's budget, what this node may use now", s.state_share);
  gauge("wingtrail_state_asked", "of the state service's budget, what this node asks for lately",
        s.state_asked);
  gauge("wingtrail_agreed_age_seconds", "since the leader last said what this node may use; 0 at the leader",
        s.agreed_age_s);
  total("wingtrail_alarms_total", "times that every machine was asked whether it lives", s.alarms);
  total("wingtrail_orders_total", "orders sent to workers", s.orders);
  total("wingtrail_commits_total", "transactions committed as leader", s.commits);
  total("wingtrail_machines_hired_total", "machines rented", s.hired);
  total("wingtrail_machines_returned_total", "machines returned", s.returned);
  const auto by = [&](const char* name, const char* help) -> prometheus::Family<prometheus::Gauge>& {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
  };
  auto& held = by("wingtrail_class_cores", "cores in use, by team and class");
  auto& waiting = by("wingtrail_class_waiting_cores", "cores that wait, by team and class");
  auto& oldest = by("wingtrail_class_longest_wait_seconds", "the longest wait of a job with tasks to start");
  auto& offered = by("wingtrail_class_offered_cores", "core-seconds of arrays that come in a second");
  auto& surge = by("wingtrail_class_surge", "that, in terms of the usual");
  auto& served =
      by("wingtrail_class_served_share", "jobs that got their work done, of those that should have");
  auto& in_a_zone =
      by("wingtrail_class_most_in_one_zone", "the largest share of it that the loss of one zone takes");
  for (const controller::Stats::ClassLoad& l : s.loads) {
    const prometheus::Labels labels{{"team", l.team}, {"class", l.job_class}};
    held.Add(labels).Set(l.held);
    waiting.Add(labels).Set(l.waiting);
    oldest.Add(labels).Set(l.oldest_s);
    offered.Add(labels).Set(l.offered);
    surge.Add(labels).Set(l.surge);
    served.Add(labels).Set(l.served_share);
    in_a_zone.Add(labels).Set(l.most_in_a_zone);
  }
  gauge("wingtrail_leader_token", "of the newest leadership that this node knows of",
        static_cast<double>(s.leader_token));
  auto& ends_waiting = by("wingtrail_ends_waiting", "ends that are decided and not recorded, by kind");
  auto& ends_oldest = by("wingtrail_ends_oldest_seconds", "since the oldest of them was decided");
  auto& ends_recorded = by("wingtrail_ends_recorded", "ends recorded while this node led");
  auto& ends_no_room = by("wingtrail_ends_no_room", "transactions that had no room for some of them");
  for (std::size_t kind = 0; kind < s.ends.size(); ++kind) {
    const prometheus::Labels labels{{"kind", jobs::name(static_cast<jobs::RecordKind>(kind))}};
    ends_waiting.Add(labels).Set(static_cast<double>(s.ends[kind].waiting));
    ends_oldest.Add(labels).Set(s.ends[kind].oldest_s);
    ends_recorded.Add(labels).Set(static_cast<double>(s.ends[kind].recorded));
    ends_no_room.Add(labels).Set(static_cast<double>(s.ends[kind].deferred));
  }
  auto& questions = by("wingtrail_questions_put_off", "questions answered with \"come back later\", by why");
  for (std::size_t why = 0; why < s.questions_put_off.size(); ++why) {
    questions.Add({{"why", controller::name(static_cast<controller::DeferralReason>(why))}})
        .Set(static_cast<double>(s.questions_put_off[why]));
  }
  auto& put_off = by("wingtrail_put_off", "submissions that were put off since the process began");
  for (const auto& [who, count] : s.put_off_by)
    put_off.Add({{"team", who.first}, {"class", who.second}}).Set(static_cast<double>(count));
  auto& zones = by("wingtrail_zone_cores", "cores in use, by zone");
  for (const auto& [zone, cores] : s.zones)
    zones.Add({{"zone", zone}}).Set(cores);
  auto& lives = by("wingtrail_zone_state", "1 for the state that each zone is in");
  for (const auto& [zone, life] : s.zone_lives)
    lives.Add({{"zone", zone}, {"state", life}}).Set(1);
  total("wingtrail_zones_lost_total", "zones whose leases ran out while they were out of reach",
        s.zones_lost);
  total("wingtrail_zones_back_total", "zones that came back", s.zones_back);
  auto& reasons = by("wingtrail_waiting_for_cores", "cores that wait, by what holds them back");
  for (const auto& [why, cores] : s.reasons)
    reasons.Add({{"why", why}}).Set(cores);
  if (!s.cells.empty()) {
    auto& away = by("wingtrail_cell_jobs_away", "jobs of this cell that a neighbour holds, or may hold");
    auto& heard = by("wingtrail_cell_heard_seconds", "since this node, leading, heard of the neighbour");
    auto& takes = by("wingtrail_cell_takes_cores", "cores of work that the neighbour last said it takes");
    auto& wait = by("wingtrail_cell_wait_seconds", "until such work would begin there");
    for (const controller::Stats::CellLoad& c : s.cells) {
      const prometheus::Labels labels{{"cell", c.name}};
      away.Add(labels).Set(c.away);
      heard.Add(labels).Set(c.heard_s);
      takes.Add(labels).Set(c.takes);
      wait.Add(labels).Set(c.wait_s);
    }
    total("wingtrail_cells_handed_on_total", "jobs handed on to other cells", s.handed_on);
    total("wingtrail_cells_handed_back_total", "of these, home again", s.handed_back);
    total("wingtrail_cells_done_away_total", "of these, done elsewhere", s.done_away);
    total("wingtrail_cells_guests_taken_total", "jobs of other cells that were taken", s.guests_taken);
    total("wingtrail_cells_guests_refused_total", "jobs of other cells that were not", s.guests_refused);
    total("wingtrail_cells_guests_over_total", "jobs of other cells that ended here", s.guests_ended);
    total("wingtrail_cells_fences_total", "jobs recorded as never to run here", s.fences);
  }
  gauge("wingtrail_slow_machines", "machines whose tasks take much longer than others of their jobs",
        static_cast<double>(s.slow_machines));
  total("wingtrail_moves_total", "moves of running tasks that were begun", s.moves_begun);
  total("wingtrail_moves_failed_total", "of these, given up", s.moves_failed);
  gauge("wingtrail_moves_lost_seconds", "run time that moves threw away", s.moves_lost_s);
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

}  // namespace wingtrail::daemon
