#include "daemon/node.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace wingtrail::daemon {
namespace {
constexpr Seconds kGreeting = 1.0;        // how often peers hear of each other
constexpr Seconds kFirstGreetings = 0.1;  // and doubling until then, while a node is new
constexpr Seconds kPeerFresh = 2.5;       // a peer heard of within this time is taken to be there
constexpr Seconds kPeriod = 0.25;
constexpr Seconds kReadsWithin =
    12;  // of a new leader, one answer at least: twice what it waits for one, and more
constexpr Seconds kStatsEvery = 10;
constexpr Seconds kCatalogEvery = 60;
constexpr Seconds kBouncedWindow = 4;
constexpr Seconds kRedirected = 2;  // a worker that was sent here has reported by then
constexpr const char* kCatalogKey = "catalog";

std::vector<std::string> neighbour_names(const settings::Cells& cells) {
  std::vector<std::string> names;
  for (const auto& n : cells.neighbours)
    names.push_back(n.name);
  return names;
}

// What no other process writes its sheets under.
std::string life_name(std::uint64_t seed) {
  std::ostringstream out;
  out << std::hex << seed;
  return out.str();
}
}  // namespace

Node::Node(settings::Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      store_(out_, settings_),
      registry_(settings_),
      election_(out_, store_, settings_,
                {[this] { elected(); },
                 [this] {
                   lost();
                 }}),
      custody_span_(settings_.tunables.custody_leases * settings_.lease_s),
      custodian_(custody_span_, settings_.peers.size()),
      grants_(custody_span_, settings_.lease_s, settings_.peers.size()),
      writes_shared_(settings_.peers.size() + 1),
      requests_shared_(settings_.peers.size() + 1),
      intake_(out_, store_, settings_, life_name(seed)),
      chains_(registry_, {[this](const std::string& ref) -> std::optional<jobs::Chains::End> {
                            const auto it = finals_.find(ref);
                            if (it == finals_.end())
                              return std::nullopt;
                            const wire::Ended& e = it->second;
                            return jobs::Chains::End{e.phase == wire::Phase::done, e.at ? steady(*e.at) : 0};
                          },
                          [this](const jobs::Job& job) {
                            return scheduler_.span(job);
                          }}),
      ledger_(out_, store_, registry_, settings_,
              {[this] { return election_.token(); }, [this] { return election_.authority_until(); },
               [this] { election_.superseded("a write found another leader"); }, lead::kKey}),
      agents_(out_, settings_, registry_, ledger_,
              {[this] { return election_.token(); }, [this] { return election_.authority_until(); },
               [this](Seconds own) { return grants_.lease_end(own); },
               [this] {
                 return settings_.tunables.custody_consent && custody_span_ > 0 && modern();
               }},
              {[this](agents::Machine& m) { scheduler_.room(m); },
               [this](agents::Machine& m) { scheduler_.room(m); },
               [this](agents::Machine& m) { scheduler_.gone(m); },
               [this](agents::Machine& m, const agents::Slot& s) {
                 scheduler_.exited(m, s);
                 if (jobs::Job* job = registry_.at(s.job)) {
                   done_if_complete(*job);
                   registry_.drop_if_over(*job);
                 }
               },
               [this] {
                 election_.superseded("a worker knows a newer leader");
               }}),
      scheduler_(
          out_, settings_, registry_, agents_, [this] { return election_.token(); }, seed),
      fleet_(out_, settings_, registry_, agents_, scheduler_,
             {[this] { return election_.token(); }, [this] { return entitled(); },
              [this] {
                return election_.authority_until();
              }}),
      peers_(settings_.peers.size()),
      stays_(neighbour_names(settings_.cells), page_bytes(settings_)),
      cell_views_(settings_.cells.neighbours.size()) {
  ledger_.set_events({[this](jobs::Job& job) { job_closed(job); },
                      [this](const std::vector<jobs::Ledger::Ended>& ended) { agents_.forget(ended); },
                      [this](jobs::Ix ix) { agents_.enlisted(ix); },
                      [this](jobs::Ix ix) {
                        return agents_.record(ix);
                      }});
  registry_.on_pending = [this](jobs::Job& job) {
    scheduler_.waits(job);
  };
  intake_.sheets_allowed = [this] {
    return all_admit();
  };
  intake_.fixed_parts = [this] {
    return fixed_parts();
  };
  if (settings_.tunables.admission > 0)
    store_.shared([this] { return state_parts(); });
}

void Node::start(Seconds now) {
  out_.set_now(now);
  started_at_ = now;
  election_.start();
  read_catalog();
  read_mark({});
  fetch_catalog();
  if (settings_.tunables.admission > 0)
    read_anew();
  probe_store();
  greet();
  periodic();
  out_.after(kStatsEvery, [this] { tell_stats(); });
}

void Node::reply(Seconds now, std::uint64_t call, const ports::Reply& reply) {
  out_.set_now(now);
  out_.complete(call, reply);
}

void Node::tick(Seconds now) {
  out_.set_now(now);
  out_.run_timers();
}

std::vector<ports::Action> Node::drain() {
  if (election_.leading())
    follow_aborts();
  if (entitled())
    agents_.flush();
  return out_.drain();
}

Stats Node::stats() const {
  Stats s = stats_;
  s.state_calls = store_.requests();
  s.state_refused = store_.refused();
  s.orders = agents_.orders_sent();
  s.hired = fleet_.hired();
  s.returned = fleet_.returned();
  s.commits = ledger_.commits();
  s.live_jobs = registry_.live();
  s.machines = agents_.live().size();
  s.direct_calls = agents_.direct_calls();
  s.deadlines = agents_.checks();
  s.ends_written = ledger_.writes().ends;
  s.roster_written = ledger_.writes().roster;
  s.progress_written = ledger_.writes().progress;
  s.ends = ledger_.backlogs();
  s.leader_token = election_.leader_token();
  s.state_writes = s.ends_written + s.roster_written + s.progress_written;
  s.pages_divided = ledger_.divided();
  s.malformed = ledger_.refused();
  s.held_jobs = registry_.held();
  s.record_pages = ledger_.pages();
  s.tasks_started = scheduler_.started();
  s.machines_examined = scheduler_.machines_examined();
  s.jobs_examined = scheduler_.jobs_examined();
  s.preempted = scheduler_.preempted();
  s.reclaimed = scheduler_.reclaimed();
  s.alarms = agents_.sweeps();
  s.settled_after_s = agents_.cleared_after();
  s.leading = entitled();
  const spread::Picture& picture = scheduler_.picture();
  for (const auto& [key, load] : picture.loads()) {
    s.loads.push_back({registry_.teams[key.first], registry_.classes[key.second], load.held, load.waiting,
                       load.oldest, load.lately.per_s(out_.now()), load.surge(out_.now()),
                       load.served_share(), load.most_in_a_zone()});
  }
  for (jobs::Ix zone = 0; zone < zone_lives_.size(); ++zone)
    s.zone_lives.emplace_back(registry_.zones[zone], zones::name(zone_lives_[zone].last));
  for (jobs::Ix zone = 0; zone < picture.zones().size(); ++zone)
    s.zones.emplace_back(registry_.zones[zone], picture.zones()[zone]);
  for (const auto& [why, cores] : picture.reasons())
    s.reasons.emplace_back(std::string(why), cores);
  for (const auto cause : {spread::Cause::slow, spread::Cause::emptied}) {
    const auto& c = scheduler_.moves().counts(cause);
    s.moves_begun += c.begun;
    s.moves_done += c.done;
    s.moves_failed += c.failed;
    s.moves_lost_s += c.lost_s;
  }
  s.slow_machines = scheduler_.slow_machines();
  const auto& admitted = intake_.counts();
  s.sheets = admitted.sheets;
  s.on_sheets = admitted.on_sheets;
  s.put_off = admitted.put_off;
  s.swept = ledger_.writes().swept;
  s.admissions_waiting = intake_.waiting();
  s.sheets_live = index_.sheets();
  if (settings_.tunables.admission > 0)
    s.state_share = state_parts().writes;
  s.state_asked = store_.asked().writes;
  s.agreed_age_s = election_.entitled() ? 0 : std::min(1e6, writes_shared_.age(out_.now()));
  s.put_off_by.assign(intake_.put_off().begin(), intake_.put_off().end());
  for (std::size_t c = 0; c < cell_views_.size(); ++c) {
    const CellView& v = cell_views_[c];
    s.cells.push_back({settings_.cells.neighbours[c].name, static_cast<double>(stays_.at(c)),
                       std::min(1e6, out_.now() - v.heard), v.digest ? v.digest->takes : 0,
                       v.digest ? v.digest->wait_s : 0});
  }
  return s;
}

// ---------------------------------------------------------------- requests

void Node::request(Seconds now, const Incoming& in) {
  out_.set_now(now);
  route({in.id, false}, in.method, in.path, in.body);
}

void Node::route(const From& from, const std::string& method, const std::string& path,
                 const std::string& body) {
  auto wrong_method = [&](const char* wanted) {
    if (method == wanted)
      return false;
    respond(from, 405);
    return true;
  };
  const std::string jobs_path = wire::kJobsPath;
  if (path == jobs_path) {
    if (wrong_method("POST"))
      return;
    return submit(from, body);
  }
  if (path.starts_with(jobs_path + "/")) {
    std::string ref = path.substr(jobs_path.size() + 1);
    const std::string suffix = wire::kAbortSuffix;
    if (ref.ends_with(suffix)) {
      ref.resize(ref.size() - suffix.size());
      if (wrong_method("POST"))
        return;
      if (!wire::valid_ref(ref))
        return respond(from, 404);
      return abort(from, ref);
    }
    if (wrong_method("GET"))
      return;
    if (!wire::valid_ref(ref))
      return respond(from, 404);
    return status(from, ref);
  }
  if (path == wire::kReportPath && !from.by_peer) {
    if (wrong_method("POST"))
      return;
    return report(from, body);
  }
  if (path == wire::kReadyPath && !from.by_peer) {
    if (wrong_method("GET"))
      return;
    const bool ready =
        !catalog_.empty() && (store_.healthy() || served_peer() || entitled() || everybody_waits());
    return ready ? respond(from, 200, wire::Value::object()) : try_later(from);
  }
  respond(from, 404);
}

void Node::try_later(const From& from, int status, Seconds in) {
  // The protocol knows whole seconds, and nobody comes back later than after 30.
  respond(from, status, nullptr, static_cast<int>(std::clamp(std::ceil(in), 1.0, 30.0)));
}

void Node::respond(const From& from, int status, wire::Value body, std::optional<int> retry_after) {
  ports::Answer a;
  a.request = from.id;
  a.status = status;
  a.retry_after_s = retry_after;
  if (from.by_peer) {
    peer::Frame f = frame();
    f.status = status;
    f.retry_after_s = retry_after.value_or(0);
    if (!body.is_null())
      f.body = wire::encode_cbor(body);
    a.status = 200;
    a.retry_after_s = {};
    a.frame = std::move(f);
  } else {
    a.body = std::move(body);
  }
  out_.answer(std::move(a));
}

// ---------------------------------------------------------------- workers' reports

void Node::report(const From& from, const std::string& bytes) {
  ++stats_.reports;
  if (!entitled()) {
    if (auto kept = answer_in_custody(bytes)) {
      ++stats_.custody_answers;
      return respond(from, 200, std::move(*kept));
    }
    bounced_.push_back(out_.now());
    while (bounced_.size() > 10'000)
      bounced_.pop_front();
    // Only a leader that somebody else is: naming this node would send the worker around in a circle.
    const bool other = !election_.leader().empty() && election_.leader() != settings_.node;
    return respond(from, 421, wire::steward(other ? election_.leader() : ""));
  }
  auto r = wire::parse_report(bytes);
  if (!r) {
    spdlog::warn("a malformed report: {}", r.error());
    return respond(from, 400);
  }
  last_report_ = out_.now();
  auto answer = agents_.report(*r);
  if (!answer)
    return respond(from, 503);
  respond(from, 200, std::move(*answer));
}

// ---------------------------------------------------------------- peers

peer::Frame Node::frame() const {
  peer::Frame f;
  f.node = settings_.node;
  f.token = election_.leader_token();
  f.leader = election_.leader();
  f.store_ok = store_.healthy();
  f.bounced = static_cast<std::uint32_t>(bounced_.size());
  f.level = peer::kLevel;
  f.age_s = out_.now() - started_at_;
  f.held_s = custodian_.held_s(out_.now());
  f.modern_s = all_modern() ? out_.now() - modern_since_ : -1;
  f.span_s = custody_span_;
  f.newest = custodian_.newest();
  f.honest = honest_;
  f.admission = settings_.tunables.admission > 0;
  // Twice what was asked for lately: a loan lasts for seconds, in which a surge may double.
  const auto asked = store_.asked();
  f.wants = 2 * (asked.writes + intake_.backlog() / std::max(1.0, settings_.state_write_rps)) -
            writes_shared_.floor();
  f.wants_requests = 2 * asked.requests - requests_shared_.floor();
  if (f.admission)
    f.tries = intake_.tries().tell(out_.time_of_day());
  if (election_.leading() && loaded_)
    f.ends_behind_s = out_.now() - ends_settled_at_;
  f.answers = entitled() || (election_.leading() && loaded_ && out_.now() < custodian_.until());
  return f;
}

void Node::greet() {
  custodian_.heard(election_.leader_token());
  know_modern();
  keep_mark();
  while (!bounced_.empty() && bounced_.front() < out_.now() - kBouncedWindow)
    bounced_.pop_front();
  for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
    ports::Call call;
    call.target = ports::Target::peer;
    call.peer = static_cast<std::uint32_t>(i);
    call.method = "POST";
    call.path = peer::kPath;
    call.frame = frame();
    call.timeout_s = 0.9;
    out_.call(std::move(call), [this, i, asked = out_.now()](const ports::Reply& r) {
      if (!r.frame)
        return;
      heard(i, *r.frame);
      if (r.frame->grant && r.frame->node == r.frame->leader)
        custodian_.granted(r.frame->token, asked, granted_for(*r.frame));
      if (r.frame->lends >= 0 && r.frame->token >= election_.leader_token())
        writes_shared_.borrowed(r.frame->lends, asked),
            requests_shared_.borrowed(r.frame->lends_requests, asked);
      if (r.frame->consent >= 0)
        custodian_.consented(i, static_cast<std::uint64_t>(r.frame->consent), asked, granted_for(*r.frame));
      if (election_.leading() && r.frame->token >= election_.token())
        grants_.vouched(i, asked, out_.now(),
                        {r.frame->age_s, r.frame->held_s, r.frame->level >= peer::kCustody});
    });
  }
  // Of nodes that begin together the first to ask finds nobody, and agreement must not wait for a second.
  const Seconds first = settings_.tunables.custody_consent ? kFirstGreetings : kGreeting;
  out_.after(std::min(kGreeting, std::max(first, out_.now() - started_at_)), [this] { greet(); });
}

void Node::heard(std::size_t i, const peer::Frame& f) {
  peers_[i].last_ok = out_.now();
  peers_[i].store_ok = f.store_ok;
  peers_[i].bounced = f.bounced;
  peers_[i].level = f.level;
  peers_[i].answers = f.answers;
  peers_[i].modern_since = ports::kNever;
  if (f.modern_s >= 0)
    peers_[i].modern_since = out_.now() - f.modern_s;
  if (f.level >= peer::kConsent)
    peers_[i].span_s = f.span_s;
  peers_[i].admission = f.admission;
  if (!f.tries.empty())
    intake_.tries().heard(f.tries, out_.time_of_day());
  know_modern();
  if (!f.leader.empty())
    election_.heard(f.leader, f.token);
  custodian_.heard(std::max(election_.leader_token(), f.newest));
  honest_ = std::max(honest_, f.honest);
  if (f.answers && f.node == election_.leader()) {
    leader_seen_ = out_.now();
    // A version that does not say how far it has come is taken to have recorded all if it can write.
    if (f.store_ok)
      ends_settled_at_ = std::max(ends_settled_at_, out_.now() - std::max(0.0, f.ends_behind_s));
  }
}

void Node::peer(Seconds now, std::uint64_t id, const peer::Frame& f) {
  out_.set_now(now);
  // Names of nodes say nothing between cells.
  if (!f.cell.empty() && !f.relayed)
    return between(id, f);
  for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
    if (settings_.peers[i].name != f.node)
      continue;
    heard(i, f);
    // Before it has read its jobs, too: it answers nobody itself until then.
    const bool grant = election_.entitled() && modern() && custody_span_ > 0;
    const bool consent = !grant && f.level >= peer::kConsent && may_consent();
    const bool lends = election_.entitled() && f.admission && settings_.tunables.admission > 0;
    if (f.path.empty() && f.cell.empty() && (grant || consent || lends)) {
      // What is agreed on past this node's authority must be reckoned with if a renewal gets through after
      // all.
      if (grant || (consent && election_.leading()))
        grants_.granted(i, out_.now());
      stats_.grants += grant;
      ports::Answer a;
      a.request = id;
      a.frame = frame();
      a.frame->status = 200;
      a.frame->grant = grant;
      a.frame->grant_s = grant_span();
      if (lends) {
        a.frame->lends = writes_shared_.lend(i, f.wants, out_.now());
        a.frame->lends_requests = requests_shared_.lend(i, f.wants_requests, out_.now());
      }
      if (consent)
        a.frame->consent = static_cast<std::int64_t>(custodian_.newest());
      return out_.answer(std::move(a));
    }
  }
  if (!f.cell.empty())
    return between(id, f);
  const From from{id, true};
  if (f.path.empty())
    return respond(from, 200);
  route(from, f.method, f.path, f.body);
}

std::optional<std::size_t> Node::leader_peer() const {
  for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
    if (settings_.peers[i].name == election_.leader() && out_.now() - peers_[i].last_ok < kPeerFresh)
      return i;
  }
  return std::nullopt;
}

std::optional<std::size_t> Node::served_peer(std::uint32_t level) const {
  auto served = [this, level](std::size_t i) {
    return out_.now() - peers_[i].last_ok < kPeerFresh && peers_[i].store_ok &&
           peers_[i].level.value_or(0) >= level;
  };
  if (auto leader = leader_peer(); leader && served(*leader))
    return leader;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    if (served(i))
      return i;
  }
  return std::nullopt;
}

// `then` hears the peer's verdict; status 0: it gave none. 503 and 429: it put the question off.
void Node::ask_peer(std::size_t peer, std::string method, std::string path, std::string body, Seconds timeout,
                    std::function<void(int, const wire::Value&)> then) {
  ++stats_.forwarded;
  ports::Call call;
  call.target = ports::Target::peer;
  call.peer = static_cast<std::uint32_t>(peer);
  call.method = "POST";
  call.path = peer::kPath;
  call.frame = frame();
  call.frame->method = std::move(method);
  call.frame->path = std::move(path);
  call.frame->body = std::move(body);
  call.timeout_s = timeout;
  out_.call(std::move(call), [this, peer, then = std::move(then), asked = out_.now()](const ports::Reply& r) {
    if (!r.frame || r.frame->status == 0) {
      // It is not waited for again before it is heard of. One that was heard of meanwhile only takes long
      // over this: a cancellation, say, that waits for its tasks. Taken for dead, it cost every question of a
      // second a fresh read, and those the budget (a flood of cub-meterlink-fleet: 20,450 answers of 429).
      if (peers_[peer].last_ok <= asked)
        peers_[peer].last_ok = -1e9;
      return then(0, nullptr);
    }
    heard(peer, *r.frame);
    const int st = r.frame->status;
    if (st == 503 || st == 429)
      return then(st, nullptr);
    auto decoded =
        r.frame->body.empty() ? std::optional<wire::Value>(nullptr) : wire::decode_cbor(r.frame->body);
    if (!decoded)
      return then(0, nullptr);
    then(st, *decoded);
  });
}

// As far as it can be seen, no node is served by the state service. Being taken out of service would only add
// the load balancer's pause to the outage; until it is over, users are told at once to come back.
bool Node::everybody_waits() const {
  bool any = false;
  for (const PeerView& p : peers_) {
    if (out_.now() - p.last_ok >= kPeerFresh)
      continue;
    if (p.store_ok)
      return false;
    any = true;
  }
  return any;
}

void Node::hand_on(const From& from, std::optional<std::size_t> peer, std::string method, std::string path,
                   std::string body, Seconds timeout, const std::function<void(int)>& otherwise) {
  if (!peer)
    return otherwise(0);
  ask_peer(*peer, std::move(method), std::move(path), std::move(body), timeout,
           [this, from, otherwise](int status, const wire::Value& answer) {
             if (status == 0 || status == 503 || status == 429)
               return otherwise(status);
             respond(from, status, answer);
           });
}

// ---------------------------------------------------------------- duties

void Node::fetch_catalog() {
  ports::Call call;
  call.target = ports::Target::cloud;
  call.method = "GET";
  call.path = wire::kCatalogPath;
  call.timeout_s = 3;
  out_.call(std::move(call), [this](const ports::Reply& r) {
    if (r.status == 200) {
      use_catalog(r.body);
      if (entitled())
        keep_catalog();
    }
    out_.after(catalog_.empty() ? 0.5 : kCatalogEvery, [this] { fetch_catalog(); });
  });
}

void Node::use_catalog(const wire::Value& raw) {
  auto catalog = wire::parse_catalog(raw);
  if (!catalog)
    return spdlog::error("catalog: {}", catalog.error());
  catalog_ = std::move(*catalog);
  catalog_raw_ = raw;
  agents_.set_catalog(catalog_);
  scheduler_.set_catalog(catalog_);
  fleet_.set_catalog(catalog_);
}

// A node that comes back while the cloud is slow or down can decide at once with the catalog kept by a
// leader.
void Node::read_catalog() {
  store_.get(kCatalogKey, store::Urgency::user, [this](const store::Reply& r) {
    auto item = r.status == 200 ? wire::parse_item(r.body) : wire::Result<wire::Item>::fail("");
    if (item && catalog_.empty())
      use_catalog(item->value);
  });
}

void Node::keep_catalog() {
  if (catalog_raw_.is_null() || catalog_raw_.dump().size() > settings_.value_bytes())
    return;
  wire::Txn txn;
  txn.require(lead::kKey, election_.token()).put(kCatalogKey, catalog_raw_);
  store_.txn(std::move(txn), store::Urgency::background, election_.authority_until(),
             [](const store::Reply&) {});
}

// A follower asks the state service little; this tells it, and through it its peers, whether it is served.
void Node::probe_store() {
  if (!election_.leading())
    store_.get(lead::kKey, store::Urgency::lease, [](const store::Reply&) {});
  out_.after(kGreeting, [this] { probe_store(); });
}

void Node::periodic() {
  // The state service went away while a new leader was reading: it knows no machine, so it may not answer for
  // any, and stands in the way of those that could.
  if (election_.leading() && !loaded_ &&
      (out_.now() > election_.authority_until() + settings_.tunables.leader_lease_s ||
       out_.now() > read_at_ + kReadsWithin))
    election_.resign(0, "nothing could be read");
  if (election_.leading() && loaded_) {
    agents_.tick();
    if (entitled()) {
      chains_.spread_urgency();
      follow_chains();
      settle_ends();
      tell_late_ends();
      watch_zones();
      fleet_.tick();
      scheduler_.pass();
      tick_cells();
      check_reach();
    }
  }
  tell_admission();
  out_.after(kPeriod, [this] { periodic(); });
}

// One line for each change of a zone that people should know of.
void Node::watch_zones() {
  using zones::Life;
  const zones::Zones& zones = agents_.zones();
  zone_lives_.resize(registry_.zones.size());
  for (jobs::Ix zone = 0; zone < zone_lives_.size(); ++zone) {
    auto& [last, since, looked_at, loss] = zone_lives_[zone];
    const Life now = zones.life(zone, out_.now());
    // The leases of a zone end together, so what they take is looked at before.
    if (now == Life::cut && out_.now() >= looked_at + 1) {
      loss = scheduler_.loss_of(zone);
      looked_at = out_.now();
    }
    if (now == last || now == Life::quiet)
      continue;
    const std::string& name = registry_.zones[zone];
    const double finds = loss.elsewhere > 0 ? std::min(1.0, loss.room / loss.elsewhere) : 1.0;
    if (now == Life::cut)
      spdlog::info("zone {}: out of reach; {:.0f} cores in use there, {} services", name, loss.cores,
                   loss.services);
    if (now == Life::lost) {
      ++stats_.zones_lost;
      spdlog::warn(
          "zone {}: lost after {:.0f} s; {} services short of replicas, {} with none; {:.0f} of {:.0f} cores "
          "may run "
          "elsewhere, room for {:.0f} % of them at once",
          name, out_.now() - zones.heard_at(zone), loss.services, loss.none_left, loss.elsewhere, loss.cores,
          100 * finds);
    }
    if (now == Life::returning) {
      ++stats_.zones_back;
      spdlog::info("zone {}: back after {:.0f} s, for the {}. time without rest", name, out_.now() - since,
                   zones.flaps(zone));
    }
    if (now == Life::sound)
      spdlog::info("zone {}: sound", name);
    last = now;
    since = out_.now();
  }
}

void Node::tell_stats() {
  const Stats s = stats();
  spdlog::debug(
      "so far: {} reports, {} direct calls, {} orders, {} deadlines, {} tasks started, {} preempted, {} "
      "reclaimed, {} machines and {} jobs "
      "examined, {} state calls ({} held back), {} writes ({} ends, {} roster, {} progress), {} handed on; "
      "now {} "
      "jobs ({} wait for others), {} machines, {} pages",
      s.reports, s.direct_calls, s.orders, s.deadlines, s.tasks_started, s.preempted, s.reclaimed,
      s.machines_examined, s.jobs_examined, s.state_calls, s.state_refused, s.state_writes, s.ends_written,
      s.roster_written, s.progress_written, s.forwarded, s.live_jobs, s.held_jobs, s.machines,
      s.record_pages);
  for (const Stats::ClassLoad& l : s.loads) {
    spdlog::debug(
        "{} of {}: {:.0f} cores in use, {:.0f} wait, the longest for {:.0f} s; offered {:.0f}, {:.1f} times "
        "the usual; "
        "{:.3f} served",
        l.job_class, l.team, l.held, l.waiting, l.oldest_s, l.offered, l.surge, l.served_share);
  }
  for (const auto& [why, cores] : s.reasons)
    spdlog::debug("{:.0f} cores wait for {}", cores, why);
  out_.after(kStatsEvery, [this] { tell_stats(); });
}

// A leader that workers cannot reach lets their leases run out. If peers turn reports away that never come
// here, one of them should lead.
void Node::check_reach() {
  bool elsewhere = false;
  for (const PeerView& p : peers_)
    elsewhere |= out_.now() - p.last_ok < kPeerFresh && p.bounced > 0;
  const Seconds since = out_.now() - std::max(last_report_, reach_since_);
  if (!elsewhere || since < 2 * settings_.report_s + 1) {
    unreached_since_ = 0;
    return;
  }
  // The first report of a new machine may go to a peer when no other machine is up; it comes here a moment
  // later.
  if (unreached_since_ == 0)
    unreached_since_ = out_.now();
  if (out_.now() - unreached_since_ < kRedirected)
    return;
  unreached_since_ = 0;
  election_.resign(5 * settings_.report_s, "workers reach other nodes but not this one");
}

}  // namespace wingtrail::daemon
