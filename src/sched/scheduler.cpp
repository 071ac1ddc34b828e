#include "sched/scheduler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace wingtrail::sched {

namespace {

// Room that is guaranteed to teams has to be there, used or not; a fleet that guarantees none, or whose aims
// name money, is kept as small as its load allows.
bool room_is_guaranteed(const settings::Settings& settings) {
  const auto& all = settings.teams;
  return settings.tunables.spread &&
         std::any_of(all.begin(), all.end(), [](const auto& t) { return t.cpus > 0 || t.gpus > 0; }) &&
         std::none_of(settings.objectives.begin(), settings.objectives.end(),
                      [](const auto& o) { return o.kind == "price" || o.kind == "useful"; });
}

}  // namespace

Scheduler::Scheduler(ports::Outbox& out, const settings::Settings& settings, jobs::Registry& registry,
                     agents::Agents& agents, std::function<std::uint64_t()> token, std::uint64_t seed)
    : out_(out),
      settings_(settings),
      registry_(registry),
      agents_(agents),
      roomy_(room_is_guaranteed(settings)),
      gates_(out, settings, agents, picture_, std::move(token)),
      rng_(seed) {
  registry_.on_placed = [this](const Job& job, Ix zone, int tasks) {
    picture_.placed(job, zone, tasks);
  };
}

void Scheduler::set_catalog(const std::vector<wire::MachineType>& catalog) {
  for (const auto& t : catalog) {
    const Ix ix = registry_.types.add(t.name);
    if (catalog_.size() <= ix)
      catalog_.resize(ix + 1);
    catalog_[ix] = t;
  }
}

void Scheduler::clear() {
  queues_.clear();
  queued_.clear();
  in_queued_.clear();
  reserved_.clear();
  waiting_.clear();
  in_waiting_.clear();
  long_.clear();
  overdue_.clear();
  job_times_.clear();
  picture_.clear();
  speeds_.clear();
  moves_.clear();
  slow_machines_ = 0;
  offered_ = 0;
}

void Scheduler::waits(Job& job) {
  if (in_waiting_.size() <= job.ix)
    in_waiting_.resize(job.ix + 1);
  if (in_waiting_[job.ix])
    return;
  in_waiting_[job.ix] = true;
  waiting_.push_back(job.ix);
  if (is_long(job))
    long_.push_back(job.ix);
}

void Scheduler::arrived(Job& job) {
  if (job.pending.empty() || job.held())
    return;
  waits(job);
  if (!startable(job))
    return;
  if (is_long(job))
    return place_long(job);
  const auto missing = static_cast<std::uint32_t>(job.pending.size());
  if (reserved_[job.ix] < missing)
    reserve(job, missing);
}

void Scheduler::start(Machine& m, Job& job) {
  ++started_;
  job.last_start = out_.now();
  agents_.start(m, job, job.pending.back());
}

void Scheduler::room(Machine& m) {
  if (waiting_.empty() || !agents_.may_start(m))
    return;
  serve(m);
}

void Scheduler::gone(Machine& m) {
  speeds_.forget(m.ix);
  for (const spread::Move& move : moves_.of_machine(m.ix)) {
    give_up(move);
    moves_.finished(move, false);
  }
  if (queues_.size() <= m.ix)
    return;
  for (const Reservation& r : std::exchange(queues_[m.ix], {}))
    cancel_reservation(r.job, r.tasks);
}

void Scheduler::over(const Job& job) {
  picture_.ended(job);
  // How far estimates are off, once corrected by what was seen of the class.
  if (const auto it = job_times_.find(job.ix); it != job_times_.end() && job.spec.estimate_s > 0) {
    constexpr double kLearns = 0.05;
    const double off = std::log(it->second.first / estimate(job));
    estimates_off_ += (std::min(1.0, off * off) - estimates_off_) * kLearns;
  }
  reserved_.erase(job.ix);
  job_times_.erase(job.ix);
}

void Scheduler::exited(Machine& m, const Slot& slot) {
  Job* job = registry_.at(slot.job);
  if (!job)
    return;
  const Seconds now = out_.now();
  if (slot.cause == wire::Cause::done) {
    m.failed_jobs.clear();
    if (m.health != agents::Health::good)
      agents_.changed(m);
    m.health = agents::Health::good;
    job->ever_ok = true;
    const double took = now - slot.running_since;
    if (slot.running_since <= 0 || took < 0.5)
      return;  // it was seen only at its end
    if (roomy_ && slot.adopted)
      return;  // an earlier leader saw it start
    if (const auto mean = usual(*job))
      speeds_.ended(m.ix, job->ix, std::log(took / mean->run_s), mean->unsure);
    auto& [mean, n] = job_times_[job->ix];
    if (n >= 3) {
      const double ratio = std::clamp(took / mean, 0.2, 10.0);
      m.slowness += (ratio - m.slowness) * 0.15;
      ++m.slow_samples;
    }
    mean = (mean * n + took) / (n + 1);
    ++n;
    if (classes_.size() <= job->job_class)
      classes_.resize(job->job_class + 1);
    ClassStats& c = classes_[job->job_class];
    if (job->spec.estimate_s > 0) {
      const double ratio = std::clamp(took / job->spec.estimate_s, 0.1, 10.0);
      const double weight = std::max(0.01, 1.0 / (++c.samples + 4));
      c.ratio += (ratio - c.ratio) * weight;
    }
    return;
  }
  if (slot.cause == wire::Cause::error) {
    ++job->errors;
    if (std::find(job->failed_on.begin(), job->failed_on.end(), m.ix) == job->failed_on.end()) {
      job->failed_on.push_back(m.ix);
    }
    // A job that failed on three machines and succeeded on none is at fault itself: it backs off, and its
    // machines are not blamed.
    if (!job->ever_ok && job->failed_on.size() >= 3) {
      job->not_before = now + std::min(60.0, std::pow(2.0, std::min(job->errors, 6U)));
      for (const Ix ix : job->failed_on)
        std::erase(agents_.at(ix).failed_jobs, job->ix);
      job->failed_on.clear();
    } else {
      if (std::find(m.failed_jobs.begin(), m.failed_jobs.end(), job->ix) == m.failed_jobs.end()) {
        m.failed_jobs.push_back(job->ix);
      }
      // One failure may be the job's; until more is known the machine gets nothing new.
      agents_.doubt_until(m, now + 15);
      if (m.failed_jobs.size() >= 2 || (job->ever_ok && job->errors >= 1)) {
        if (m.health != agents::Health::bad)
          spdlog::warn("{}: suspected to be faulty", m.host);
        m.health = agents::Health::bad;
      }
    }
  } else if (slot.cause == wire::Cause::no_room || slot.cause == wire::Cause::unknown ||
             slot.cause == wire::Cause::busy) {
    // Refused: the machine holds something unknown here, or the job's description is not there yet.
    job->not_before = now + 0.5;
  }
  agents_.changed(m);
  if (const auto move = moves_.gone(job->ix, slot.task))
    moves_.finished(*move, land(*move));
  arrived(*job);
}

void Scheduler::pass() {
  vain_.fill(0);
  restless_ = agents_.zones().restless(out_.now());
  const bool second = out_.now() - last_second_ >= 1;
  if (second) {
    agents_.watch_spot(std::min(2.0, out_.now() - last_second_));
    last_second_ = out_.now();
    partition();
  }
  std::erase_if(waiting_, [this](Ix ix) {
    const Job* job = registry_.at(ix);
    const bool over = !job || !job->open() || job->pending.empty();
    if (over)
      in_waiting_[ix] = false;
    return over;
  });
  if (settings_.cells.on()) {
    gates_.cells().look();
    for (const Ix ix : waiting_) {
      const Job& job = *registry_.at(ix);
      if (job.guest.empty() && gates_.open(job))
        gates_.cells().own_waits(job.team);
    }
  }
  long_.clear();
  overdue_.clear();
  std::vector<Job*> short_jobs;
  for (const Ix ix : waiting_) {
    Job* job = registry_.at(ix);
    ++jobs_examined_;
    if (must_begin(*job))
      overdue_.push_back(ix);
    if (is_long(*job)) {
      long_.push_back(ix);
    } else if (startable(*job)) {
      short_jobs.push_back(job);
    }
  }
  begin_overdue();
  std::sort(long_.begin(), long_.end(),
            [this](Ix a, Ix b) { return before(*registry_.at(a), *registry_.at(b)); });
  for (const Ix ix : std::vector<Ix>(long_)) {
    Job* job = registry_.at(ix);
    if (job && startable(*job))
      place_long(*job);
  }
  std::sort(short_jobs.begin(), short_jobs.end(),
            [this](const Job* a, const Job* b) { return before(*a, *b); });
  for (Job* job : short_jobs) {
    place_short(*job);
    const auto missing = static_cast<std::uint32_t>(job->pending.size());
    if (missing > 0 && reserved_[job->ix] < missing)
      reserve(*job, missing - reserved_[job->ix]);
  }
  if (second && !waiting_.empty())
    reclaim_guarantees();
  if (second)
    look_at_waiting();
  if (second && roomy_)
    watch_speeds(), plan_moves();
}

// Of every job that waits, why.
void Scheduler::look_at_waiting() {
  picture_.look();
  for (const Ix ix : waiting_) {
    const Job* job = registry_.at(ix);
    if (!job || !job->open() || job->pending.empty())
      continue;
    bool late = true;
    each_due(*job, [&](Seconds at) { late &= out_.now() > at; });
    picture_.waits(*job, gates_.reason(*job), out_.now() - job->since, late && !job->service());
  }
}

}  // namespace wingtrail::sched
