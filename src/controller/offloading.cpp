// This cell among others: what its leader hands on, what it takes in, and what the two sides say to each
// other. docs/cells.md has the table of states and messages, docs/safety.md why each rule holds over cells.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/controller.hpp"
#include "controller/job_validation.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kTell = 1.0;          // how often a neighbour is told, and asked, what there is
constexpr Seconds kCallTimeout = 1.5;   // of a question; it is asked again anyway
constexpr Seconds kAnswerWithin = 0.4;  // what takes longer to find out is said the next time
constexpr Seconds kThere = 3.5;         // a neighbour heard of within this time is taken to be there
constexpr Seconds kOnTheWay = 2.0;      // from an offer until what the neighbour tells reckons with it
constexpr Seconds kPlanEvery = 1.0;
constexpr std::size_t kMaxBytes = 40UL * 1024;  // a transaction's values, of the protocol's 64 KiB
constexpr std::size_t kWordsAtOnce = 60;        // with records, within a frame's 64 KiB
constexpr std::size_t kAtOnce = 100;            // handed on in one second: more than a neighbour can record
constexpr std::size_t kLookedAt = 3000;         // of what waits, in one second
constexpr Seconds kToldStrange = 60;
constexpr Seconds kAgain = 0.3;  // after no answer of the state service

using peer::JobVerb;

std::uint8_t raw(JobVerb w) {
  return static_cast<std::uint8_t>(w);
}
JobVerb word_of(wire::Phase phase) {
  return phase == wire::Phase::done ? JobVerb::done : JobVerb::withdrawn;
}
}  // namespace

std::size_t page_bytes(const settings::Settings& settings) {
  return settings.value_bytes() * 3 / 4;
}

// ---------------------------------------------------------------- the home's side

// An older version of this cell's own would start what is away.
bool Controller::may_hand_on() const {
  return peers_.all_have_level(peer::kLevelCells);
}

void Controller::load_away() {
  for (const wire::Item& page : std::exchange(away_pages_, {})) {
    const auto live = [this](const std::string& ref) {
      jobs::Job* job = registry_.find(ref);
      if (job)
        job->placed_remotely = true;
      return job != nullptr;
    };
    if (!remote_placements_.load(page.key, page.value, page.version, live, out_.now()))
      spdlog::error("cells: unreadable remote placement page key={}", page.key);
  }
}

void Controller::tick_cells() {
  if (!settings_.cells.enabled() && remote_placements_.size() == 0)
    return;
  for (std::size_t c = 0; c < cell_views_.size(); ++c) {
    const auto& gone = settings_.cells.decommissioned;
    if (std::find(gone.begin(), gone.end(), settings_.cells.neighbours[c].name) != gone.end()) {
      remote_placements_.abandon_cell(c);
    } else {
      ask_cell(c);
      watch_cell(c);
    }
  }
  if (out_.now() > told_strange_ + kToldStrange) {
    told_strange_ = out_.now();
    std::size_t strange = remote_placements_.size();
    for (std::size_t c = 0; c < cell_views_.size(); ++c)
      strange -= remote_placements_.count_at(c);
    if (strange > 0)
      spdlog::error("cells: jobs held by unknown cells jobs={}", strange);
  }
  if (settings_.cells.enabled() && out_.now() >= planned_at_ + kPlanEvery) {
    planned_at_ = out_.now();
    plan_spill();
  }
  write_away();
}

void Controller::ask_cell(std::size_t c) {
  CellView& v = cell_views_[c];
  if (v.busy)
    return;
  peer::CellMessage say;
  say.jobs = remote_placements_.next_questions(c, kWordsAtOnce, out_.now());
  for (peer::JobMessage& w : say.jobs) {
    const jobs::Job* job = registry_.find(w.ref);
    if (w.verb() != JobVerb::offer || !job)
      continue;
    // What it needs is done, and that is for this cell to know.
    wire::JobSpec spec = job->spec;
    spec.depends_on.clear();
    w.record =
        wire::encode_cbor(wire::job_record(spec, out_.time_of_day() - (out_.now() - job->submitted_at)));
  }
  const bool tell = out_.now() >= v.told_at + kTell;
  if (say.jobs.empty() && !tell)
    return;
  if (tell) {
    say.digest.push_back(digest(c));
    v.told_at = out_.now();
  }
  ports::Call call;
  call.target = ports::Target::cell;
  call.cell = static_cast<std::uint32_t>(c);
  call.peer = static_cast<std::uint32_t>(v.asks);
  call.method = "POST";
  call.path = peer::kPeerPath;
  call.frame = cell_frame(settings_.cells.name, peer::encode(say));
  call.timeout_s = kCallTimeout;
  call.not_after = election_.lease_expires_at();
  v.busy = true;
  out_.call(std::move(call), [this, c, term = term_](const ports::Reply& r) {
    CellView& view = cell_views_[c];
    view.busy = false;
    const bool answered = r.frame && r.frame->status == 200;
    if (!answered)
      view.asks = (view.asks + 1) % settings_.cells.neighbours[c].nodes.size();
    if (answered && term == term_ && is_active_leader())
      cell_said(c, *r.frame);
  });
}

// A digest that was held up on its way says what was.
void Controller::told_by(CellView& v, const peer::CapacityDigest& digest) {
  if (v.digest && digest.leadership < v.digest->leadership)
    return;
  v.digest = digest;
  v.heard = out_.now();
}

peer::Frame Controller::cell_frame(const std::string& cell, std::string between) const {
  peer::Frame f = frame();
  f.cell = cell;
  f.cell_message = std::move(between);
  f.deferred_attempts.clear();  // they are this cell's own
  return f;
}

void Controller::cell_said(std::size_t c, const peer::Frame& f) {
  const auto said = peer::decode_cell_message(f.cell_message);
  if (!said || f.cell != settings_.cells.neighbours[c].name)
    return;
  CellView& v = cell_views_[c];
  if (!said->digest.empty()) {
    told_by(v, said->digest.front());
    while (!v.offered.empty() && v.offered.front().first < out_.now() - kOnTheWay)
      v.offered.pop_front();
  }
  for (const peer::JobMessage& w : said->jobs)
    heard_of_job(c, w);
}

void Controller::heard_of_job(std::size_t c, const peer::JobMessage& said) {
  const cells::RemotePlacements::Event event = remote_placements_.on_reply(c, said, out_.now());
  jobs::Job* job = registry_.find(said.ref);
  if (!job || event == cells::RemotePlacements::Event::none)
    return;
  if (event == cells::RemotePlacements::Event::done) {
    // The other cell has recorded it; it is told once it is recorded here.
    ++stats_.done_away;
    return state_writer_.record_final_state(*job, wire::Phase::done, {});
  }
  job->placed_remotely = false;  // cancellation_ records its final state
  cancellation_.cancel(*job);
}

void Controller::watch_cell(std::size_t c) {
  CellView& v = cell_views_[c];
  const bool there = out_.now() < v.heard + kThere;
  if (there == v.there)
    return;
  v.there = there;
  const std::string& name = settings_.cells.neighbours[c].name;
  if (there)
    spdlog::info("cells: reachable cell={} accepts_cores={:.0f} wait_s={:.0f}", name, v.digest->accepts_cores,
                 v.digest->wait_s);
  else
    spdlog::warn("cells: unreachable cell={} jobs_held={}", name, remote_placements_.count_at(c));
}

// Whole arrays of this cell's own of which nothing has started, and nothing could have been by an earlier
// leader: whatever is placed, in doubt or done keeps a job here.
bool Controller::may_go(const jobs::Job& job) const {
  return job.is_open() && !job.is_held() && !job.is_service() && job.origin_cell.empty() &&
         job.placed_tasks == 0 && job.done_tasks == 0 && job.zone == jobs::kNoIndex &&
         scheduler_.filters().reconciled().admits(job);
}

// Nothing of it is begun here before the next plan.
void Controller::hold_for_spill(jobs::Job& job) {
  job.selected_for_offload = true;
  going_.push_back(job.index);
}

void Controller::plan_spill() {
  const auto core_s = [this](const jobs::Job& job) {
    return static_cast<double>(job.pending_tasks.size()) * job.spec.task_resources.cpus *
           std::max(1.0, scheduler_.estimated_run_time(job));
  };
  for (const jobs::JobIndex ix : std::exchange(going_, {})) {
    if (jobs::Job* job = registry_.job_at(ix))
      job->selected_for_offload = false;
  }
  spills_ = false;
  // What there is and what waits, as the picture and the gates know it.
  cells::LocalCapacity here;
  room_ = {};
  std::vector<jobs::Job*> waiting;
  double guests_s = 0, own_s = 0;
  for (const jobs::JobIndex ix : scheduler_.waiting_jobs()) {
    jobs::Job* job = registry_.job_at(ix);
    if (!job || !job->is_open() || job->is_held() || job->pending_tasks.empty())
      continue;
    const double cores = static_cast<double>(job->pending_tasks.size()) * job->spec.task_resources.cpus;
    (job->origin_cell.empty() ? room_.own_waiting : room_.guests_waiting) += cores;
    (job->origin_cell.empty() ? own_s : guests_s) += core_s(*job);
    if (job->origin_cell.empty() && !job->is_service())
      waiting.push_back(job);
  }
  for (const auto& p : workers_.placement_index().pools()) {
    for (const auto& [free, ix] : p.all_machines.by_free_cores)
      room_.free += free;
  }
  room_.rentable = autoscaler_.rentable_cores();
  // Without delegated renewal a cancellation is recorded before its tasks are gone, and its home may start
  // them at once.
  room_.draining = settings_.cells.drain || !delegation_support_.enabled();
  room_.overloaded = overload_.is_overloaded();
  here.draining = settings_.cells.drain;
  here.boot_s = room_.rentable > 0 ? autoscaler_.typical_boot_s() : ports::kNever;
  here.cores = room_.free;
  std::vector<double> arrays(settings_.teams.size());
  for (const auto& [key, load] : scheduler_.load().loads()) {
    if (load.service)
      continue;
    here.cores += load.cores_in_use;
    if (key.first < arrays.size())
      arrays[key.first] += load.cores_in_use;
  }
  room_.cores = here.cores;
  for (std::size_t t = 0; t < settings_.teams.size(); ++t) {
    const settings::Team& team = settings_.teams[t];
    const double left = team.cpus_max - workers_.team_usage(jobs::TeamIndex(t)).cpus;
    if (team.cpus_max > 0)
      here.teams[team.name] = arrays[t] + std::max(0.0, left);
  }
  room_known_ = true;
  // What is free begins at once; more takes a boot, or until what waits has been worked off.
  const bool at_once = room_.free > room_.own_waiting + room_.guests_waiting;
  guest_wait_s_ = at_once              ? 0
                  : room_.rentable > 0 ? here.boot_s
                                       : (own_s + guests_s) / std::max(1.0, here.cores);

  std::vector<cells::NeighbourCapacity> there;
  std::size_t away = remote_placements_.size();
  for (std::size_t c = 0; c < cell_views_.size(); ++c) {
    const CellView& v = cell_views_[c];
    cells::NeighbourCapacity t;
    t.age_s = out_.now() - v.heard;
    t.reachable = v.digest && t.age_s < kThere && !v.digest->draining;
    if (v.digest) {
      t.accepts_cores = v.digest->accepts_cores;
      t.wait_s = v.digest->wait_s;
      t.teams = v.digest->team_cores;
      for (const auto& [at, offered] : v.offered)
        t.accepts_cores -= offered;
      // What is held there and cannot begin, while it would here, comes back.
      if (t.reachable && !here.draining && at_once && v.digest->wait_s > 2 * kThere) {
        for (const std::string& ref : remote_placements_.idle_jobs(c, kAtOnce / 10))
          remote_placements_.recall(ref, false, out_.now());
      }
    }
    there.push_back(std::move(t));
  }
  if (!may_hand_on() || waiting.empty() || std::none_of(there.begin(), there.end(), [&here](const auto& t) {
        return t.reachable && (here.draining || t.accepts_cores > 0);
      }))
    return;
  std::sort(waiting.begin(), waiting.end(),
            [this](const jobs::Job* a, const jobs::Job* b) { return scheduler_.precedes(*a, *b); });
  if (waiting.size() > kLookedAt)
    waiting.resize(kLookedAt);
  std::vector<cells::WaitingJob> list;
  for (const jobs::Job* job : waiting) {
    cells::WaitingJob w;
    w.team = job->spec.team;
    w.cores = static_cast<double>(job->pending_tasks.size()) * job->spec.task_resources.cpus;
    w.core_seconds = core_s(*job);
    w.fetch_s = std::max(0.0, scheduler_.expected_duration(*job) - scheduler_.estimated_run_time(*job));
    if (may_go(*job)) {
      for (std::size_t c = 0; c < cell_views_.size(); ++c) {
        const CellView& v = cell_views_[c];
        const bool been = (job->visited_cells >> std::min<std::size_t>(c, 63) & 1U) != 0;
        const auto has = [&v](const std::string& type) {
          return v.digest->zones_by_type.contains(type);
        };
        const auto& types = job->spec.types;
        w.may_offload.push_back(!been && v.digest &&
                                (types.empty() || std::any_of(types.begin(), types.end(), has)));
      }
    }
    list.push_back(std::move(w));
  }
  const std::size_t most =
      here.draining ? away + kAtOnce : static_cast<std::size_t>(settings_.cells.max_remote_jobs);
  std::vector<std::size_t> went(cell_views_.size());
  const cells::OffloadPlan plan =
      cells::plan_offloads(here, list, std::move(there), std::min(kAtOnce, most - std::min(most, away)));
  for (const std::size_t i : plan.soon)
    hold_for_spill(*waiting[i]);
  spills_ = plan.would_offload;
  for (const cells::Offload& s : plan.offloads) {
    jobs::Job& job = *waiting[s.waiting];
    job.placed_remotely = true;
    job.visited_cells |= std::uint64_t{1} << std::min<std::size_t>(s.cell, 63);
    remote_placements_.offload(job.spec.ref, s.cell);
    cell_views_[s.cell].offered.emplace_back(out_.now(), list[s.waiting].cores);
    ++went[s.cell];
    ++stats_.handed_on;
  }
  for (std::size_t c = 0; c < went.size(); ++c) {
    if (went[c] > 0)
      spdlog::info("cells: offloaded jobs={} cell={} cores_waiting={:.0f} cores={:.0f}", went[c],
                   settings_.cells.neighbours[c].name, room_.own_waiting, here.cores);
  }
}

void Controller::write_away() {
  if (remote_placements_.writing())
    return;
  for (const std::string& key : remote_placements_.pages_to_read()) {
    if (!looking_at_.insert(key).second)
      continue;
    store_.get(key, store::RequestPriority::user, [this, key, term = term_](const store::Reply& r) {
      looking_at_.erase(key);
      if (term != term_)
        return;
      const auto item = r.status == 200 ? wire::parse_item(r.body) : wire::malformed("");
      if (item)
        remote_placements_.on_page_read(key, item->version);
      if (r.status == 404)
        remote_placements_.on_page_read(key, 0);
    });
  }
  const std::size_t fit = kMaxBytes / std::max<std::size_t>(1, page_bytes(settings_));
  const auto pages = remote_placements_.next_write(
      std::clamp<std::size_t>(fit, 1, static_cast<std::size_t>(settings_.max_transaction_changes)));
  if (pages.empty())
    return;
  wire::Transaction txn;
  txn.require(leadership::kLeaderKey, election_.fencing_token());
  for (const auto& page : pages) {
    txn.require(page.key, page.version);
    page.refs.empty() ? txn.erase(page.key) : txn.put(page.key, page.value());
  }
  store_.transact(std::move(txn), store::RequestPriority::user, election_.lease_expires_at(),
                  [this, term = term_](const store::Reply& r) {
                    if (term != term_)
                      return;
                    if (r.status == 200) {
                      home_again(remote_placements_.on_written(wire::revision(r.body).value_or(0)));
                      return;
                    }
                    if (r.status == 400) {
                      spdlog::error("cells: remote placement page refused as malformed");
                      return home_again(remote_placements_.on_write_refused());
                    }
                    const auto failed =
                        r.status == 409 ? wire::failed_keys(r.body) : std::vector<std::string>{};
                    // Certainly not applied: held back here, refused, or compared in vain.
                    remote_placements_.on_write_failed(r.delivered && r.status != 429 && r.status != 503);
                    if (std::find(failed.begin(), failed.end(), leadership::kLeaderKey) != failed.end())
                      election_.on_superseded("a write of what is away found another leader");
                  });
}

void Controller::home_again(const std::vector<std::string>& refs) {
  for (const std::string& ref : refs) {
    jobs::Job* job = registry_.find(ref);
    if (!job || !job->is_open())
      continue;
    ++stats_.handed_back;
    job->placed_remotely = false;
    if (!job->is_held())
      scheduler_.on_job_ready(*job);
  }
}

// ---------------------------------------------------------------- the taker's side

peer::CapacityDigest Controller::digest(std::size_t to) {
  peer::CapacityDigest d;
  // Each neighbour may come at the same time: a part each of what there is.
  const auto near = std::count_if(cell_views_.begin(), cell_views_.end(),
                                  [this](const CellView& v) { return out_.now() < v.heard + kThere; });
  d.accepts_cores =
      cells::acceptable_guest_cores(room_) / static_cast<double>(std::max<std::ptrdiff_t>(1, near));
  CellView& view = cell_views_[to];
  if (d.accepts_cores >= view.promised || out_.now() >= view.promised_at + kOnTheWay)
    view.promised = d.accepts_cores, view.promised_at = out_.now();
  d.wait_s = guest_wait_s_;
  d.draining = settings_.cells.drain;
  d.leadership = election_.fencing_token();
  for (std::size_t t = 0; t < settings_.teams.size(); ++t) {
    const settings::Team& team = settings_.teams[t];
    d.team_cores[team.name] =
        team.cpus_max > 0 ? team.cpus_max - workers_.team_usage(jobs::TeamIndex(t)).cpus : 1e9;
  }
  for (const auto& t : catalog_.types())
    d.zones_by_type[t.name] = t.zones;
  return d;
}

// A question of another cell under way: what can be said of each job.
struct Controller::Answering {
  std::uint64_t id = 0;
  peer::CellMessage say;
  bool told = false;
};

void Controller::between(std::uint64_t id, const peer::Frame& f) {
  const auto answer = [this, id](int status, const peer::CellMessage& say) {
    ports::Answer a;
    a.request = id;
    a.frame = cell_frame(settings_.cells.name, peer::encode(say));
    a.frame->status = status;
    out_.answer(std::move(a));
  };
  const auto& known = settings_.cells.neighbours;
  const auto from = std::find_if(known.begin(), known.end(),
                                 [&f](const settings::Neighbour& n) { return n.name == f.cell; });
  const auto asked = peer::decode_cell_message(f.cell_message);
  if (from == known.end() || !asked)
    return answer(from == known.end() ? 404 : 400, {});
  if (!is_active_leader()) {
    // Only the leader knows, takes and ends; it is asked on the neighbour's behalf, once.
    const auto leader = f.relayed ? std::nullopt : peer_calls_.reachable_leader();
    if (!leader)
      return answer(503, {});
    ports::Call call;
    call.target = ports::Target::peer;
    call.peer = static_cast<std::uint32_t>(*leader);
    call.method = "POST";
    call.path = peer::kPeerPath;
    call.frame = cell_frame(f.cell, f.cell_message);
    call.frame->relayed = true;
    call.timeout_s = kCallTimeout - 0.3;
    return out_.call(std::move(call), [this, answer, leader](const ports::Reply& r) {
      if (!r.frame || r.frame->status != 200)
        return answer(503, {});
      heard(*leader, *r.frame);
      const auto said = peer::decode_cell_message(r.frame->cell_message);
      said ? answer(200, *said) : answer(503, {});
    });
  }
  auto a = std::make_shared<Answering>();
  a->id = id;
  a->say.jobs = asked->jobs;
  if (!asked->digest.empty()) {
    const auto c = static_cast<std::size_t>(from - known.begin());
    told_by(cell_views_[c], asked->digest.front());
    a->say.digest.push_back(digest(c));
  }
  bool all = true;
  for (std::size_t i = 0; i < a->say.jobs.size(); ++i) {
    answer_word(a, i, f.cell);
    a->say.jobs[i].record.clear();
    all &= a->say.jobs[i].verb() != JobVerb::none;
  }
  const auto tell = [a, answer] {
    if (!std::exchange(a->told, true))
      answer(200, a->say);
  };
  if (all)
    return tell();
  out_.after(kAnswerWithin, tell);
}

// Says at once what is known; what has to be found out first is filled in if that is soon enough.
void Controller::answer_word(const std::shared_ptr<Answering>& a, std::size_t i, const std::string& from) {
  peer::JobMessage& w = a->say.jobs[i];
  const JobVerb asked = w.verb();
  const auto say = [&w](JobVerb word) {
    w.verb_code = raw(word);
  };
  if (const wire::FinalState* state = final_states_.find(w.ref))
    return say(word_of(state->phase));
  if (!wire::valid_ref(w.ref) || fenced_.contains(w.ref))
    return say(JobVerb::none);
  if (asked == JobVerb::offer)
    return offered_guest(a, i, from);
  if (asked == JobVerb::recall || asked == JobVerb::cancel)
    return end_guest(a, i, from);
  if (asked != JobVerb::state)
    return say(JobVerb::none);
  if (const jobs::Job* job = registry_.find(w.ref)) {
    if (job->origin_cell != from)
      return say(JobVerb::withdrawn);  // a namesake of this cell's own
    // Its end is being recorded: what is live here would be an older answer soon.
    if (!job->is_open() || job->final_state_sent)
      return say(JobVerb::none);
    w.done_tasks = job->done_tasks;
    w.running_tasks = job->running_tasks;
    return say(job->cancelling ? JobVerb::ending : JobVerb::held);
  }
  say(JobVerb::none);
  lookup_.look_up(w.ref, store::RequestPriority::user, LookupDetail::live_record,
                  [this, a, i](const LookupResult& result) {
                    if (result.live && is_active_leader())
                      on_live_job_read(*result.live);
                    if (a->told)
                      return;
                    if (result.outcome == LookupOutcome::absent)
                      a->say.jobs[i].verb_code = raw(JobVerb::unknown);
                    if (result.outcome == LookupOutcome::found && !result.live)
                      a->say.jobs[i].verb_code = raw(word_of(*result.phase));
                  });
}

void Controller::offered_guest(const std::shared_ptr<Answering>& a, std::size_t i, const std::string& from) {
  peer::JobMessage& w = a->say.jobs[i];
  const auto say = [&w](JobVerb word) {
    w.verb_code = raw(word);
  };
  if (const jobs::Job* job = registry_.find(w.ref)) {
    if (job->origin_cell != from)
      return say(JobVerb::withdrawn);
    if (!job->is_open() || job->final_state_sent || job->cancelling)
      return say(JobVerb::none);
    return say(JobVerb::held);
  }
  const auto record = wire::decode_cbor(w.record);
  auto spec = record ? wire::parse_job(*record) : wire::malformed("not CBOR");
  if (!spec || spec->ref != w.ref)
    return say(JobVerb::never);
  if (catalog_.types().empty() || !room_known_)
    return say(JobVerb::none);
  if (why_unrunnable(*spec, settings_, catalog_.types()))
    return say(JobVerb::never);
  const double cores = spec->tasks * spec->task_resources.cpus;
  // A cell that is being emptied hands on what will have to wait here, too.
  const auto& known = settings_.cells.neighbours;
  const auto home = std::find_if(known.begin(), known.end(), [&](const auto& n) { return n.name == from; });
  CellView& view = cell_views_[static_cast<std::size_t>(home - known.begin())];
  const bool emptied = view.digest && view.digest->draining && !room_.draining && !room_.overloaded;
  // What was told a moment ago holds: a refusal costs a fence, and the job can't come here again.
  const bool promised = view.promised > 0 && out_.now() < view.promised_at + kOnTheWay;
  view.promised -= cores;
  if (!emptied && !promised && cells::acceptable_guest_cores(room_) <= 0) {
    // One that an earlier leader took says so when it is asked for.
    ++stats_.guests_refused;
    return say(JobVerb::refused);
  }
  wire::Value kept = wire::job_record(*spec, wire::submitted_at(*record).value_or(out_.time_of_day()));
  kept[jobs::kOriginCellField] = from;
  if (kept.dump().size() > settings_.value_bytes())
    return say(JobVerb::never);
  room_.guests_waiting += cores;  // until they are counted again
  say(JobVerb::none);
  wire::JobSpec turn = *spec;
  turn.job_class = "from " + from;  // they wait in a line of their own
  creation_queue_.enqueue(turn, kept,
                          [this, a, i, kept, ref = w.ref](const admission::CreationQueue::Result& r) {
                            using Outcome = admission::CreationQueue::Outcome;
                            if (r.outcome == Outcome::created) {
                              ++stats_.guests_taken;
                              if (is_active_leader())
                                on_job_read(kept, r.revision, r.batch_key);
                              if (!a->told)
                                a->say.jobs[i].verb_code = raw(JobVerb::held);
                            } else if (r.outcome == Outcome::exists) {
                              // Live since another try of the same offer, or over; it is said when it is
                              // asked about next.
                              lookup_.look_up(ref, store::RequestPriority::user, LookupDetail::live_record,
                                              [this](const LookupResult& result) {
                                                if (result.live && is_active_leader())
                                                  on_live_job_read(*result.live);
                                              });
                            }
                          });
}

// It is to come back to its home, or to end. What has begun here stays, unless it is to end.
void Controller::end_guest(const std::shared_ptr<Answering>& a, std::size_t i, const std::string& from) {
  peer::JobMessage& w = a->say.jobs[i];
  const bool cancels = w.verb() == JobVerb::cancel;
  const auto say = [&w](JobVerb word) {
    w.verb_code = raw(word);
  };
  if (jobs::Job* job = registry_.find(w.ref)) {
    if (job->origin_cell != from)
      return say(JobVerb::withdrawn);
    if (!job->is_open())
      return say(JobVerb::none);
    const bool begun =
        job->placed_tasks > 0 || job->done_tasks > 0 || !scheduler_.filters().reconciled().admits(*job);
    if (!cancels && begun && !job->cancelling) {
      w.done_tasks = job->done_tasks;
      w.running_tasks = job->running_tasks;
      return say(JobVerb::held);
    }
    cancellation_.cancel(*job);
    return say(JobVerb::ending);
  }
  say(JobVerb::none);
  lookup_.look_up(w.ref, store::RequestPriority::user, LookupDetail::live_record,
                  [this, ref = w.ref](const LookupResult& result) {
                    if (!is_active_leader())
                      return;
                    if (result.live)
                      on_live_job_read(*result.live);
                    if (result.outcome == LookupOutcome::absent)
                      fence(ref);
                  });
}

// Neither live nor over here, so far. An offer that is on its way, or was sent twice, may yet be taken, and
// the home wants to start the job: it gets a final state, beside which it can never be created. Until that is
// certain nothing is known of the job here: a creation on a sheet does not exclude the final state.
void Controller::fence(const std::string& ref) {
  if (registry_.find(ref) || final_states_.contains(ref) || !fenced_.insert(ref).second)
    return;
  ++stats_.fences;
  write_fence(ref);
}

void Controller::write_fence(const std::string& ref) {
  wire::Transaction txn;
  txn.require(leadership::kLeaderKey, election_.fencing_token());
  txn.require(jobs::kLiveJobPrefix + ref, 0).require(jobs::kFinalStatePrefix + ref, 0);
  const wire::FinalState ended{wire::Phase::cancelled, 0, out_.time_of_day()};
  txn.put(jobs::kFinalStatePrefix + ref, wire::final_state_record(ended));
  store_.transact(std::move(txn), store::RequestPriority::user, election_.lease_expires_at(),
                  [this, ref, ended, term = term_](const store::Reply& r) {
                    if (term != term_)
                      return;
                    // Without an answer it may have been applied, or be applied late, beside a creation that
                    // came after it: so it is written again until that is known.
                    if (r.status == 0 && r.delivered) {
                      return out_.after(kAgain, [this, ref, term] {
                        if (term == term_)
                          write_fence(ref);
                      });
                    }
                    fenced_.erase(ref);
                    if (r.status == 200)
                      on_final_state(ref, ended);
                  });
}

}  // namespace wingtrail::controller
