// Moving running work: from slow machines, and from machines that are emptied. See spread/moves.hpp.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "sched/scheduler.hpp"

namespace wingtrail::sched {
namespace {
constexpr double kEps = 1e-6;
}

// What a task of the job takes on a sound machine: by its others, once enough of them have ended to tell,
// since the first to end are the shortest; by its estimate before that, which is less sure.
std::optional<Scheduler::Usual> Scheduler::usual(const Job& job) const {
  constexpr int kEnough = 5;
  constexpr double kMostOf = 0.5;
  if (!roomy_)
    return std::nullopt;
  const auto it = job_times_.find(job.ix);
  if (it != job_times_.end() && it->second.second >= std::max<double>(kEnough, kMostOf * job.spec.tasks))
    return Usual{it->second.first, 0};
  // Owners whose estimates are mostly far off make sound machines look slow (cub-meterlink-fleet: 58 in a
  // calm day).
  constexpr double kSureEnough = 0.35;
  if (job.spec.estimate_s <= 0 || estimates_off_ > kSureEnough * kSureEnough)
    return std::nullopt;
  return Usual{estimate(job), std::sqrt(estimates_off_)};
}

// Once a second, what runs on each machine is held against its job's other tasks.
void Scheduler::watch_speeds() {
  constexpr double kTells = 0.7;  // of the usual time: what has run for less says nothing
  const Seconds now = out_.now();
  slow_machines_ = 0;
  for (const Ix ix : agents_.live()) {
    Machine& m = agents_.at(ix);
    speeds_.look(ix);
    for (const Slot& s : m.slots) {
      const Job* job = registry_.at(s.job);
      if (!job || job->service() || s.adopted || s.phase != Slot::Phase::running || s.running_since <= 0)
        continue;
      const auto mean = usual(*job);
      // Silence looks like a long run.
      if (mean && agents_.silence(m) < settings_.report_s && now - s.running_since > kTells * mean->run_s)
        speeds_.runs(ix, s.job, std::log((now - s.running_since) / mean->run_s), mean->unsure);
    }
    const double factor = speeds_.factor(ix);
    if (factor > 1 && m.slow <= 1)
      spdlog::info("{}: slow, its tasks take {:.1f} times as long as others of their jobs", m.host, factor);
    if (factor <= 1 && m.slow > 1)
      spdlog::info("{}: no longer slow", m.host);
    m.slow = factor;
    slow_machines_ += factor > 1;
  }
}

// A sound machine with room for one of the job's tasks, best one that has its image.
Machine* Scheduler::target(const Job& job, const Machine& from) {
  for (const bool cached : {true, false}) {
    for (const Index::Pool& p : agents_.index().pools()) {
      if ((p.short_only && is_long(job)) || !gates::allowed(job, p.type, p.zone, p.spot))
        continue;
      if (!zone_bears_move(p.zone, job, from))
        continue;
      if (job.spec.one_zone && p.zone != from.zone)
        continue;
      const Index::Group* group = cached ? p.with(job.image) : &p.all;
      if (!group)
        continue;
      auto it = group->room.lower_bound({job.spec.need.cpus - kEps, 0});
      for (int n = 0; it != group->room.end() && n < settings_.tunables.steal_sample; ++it, ++n) {
        Machine& m = agents_.at(it->second);
        ++machines_examined_;
        const bool failed =
            std::find(job.failed_on.begin(), job.failed_on.end(), m.ix) != job.failed_on.end();
        if (m.ix != from.ix && m.slow <= 1 && !failed && agents_.may_start(m) && m.fits(job.spec.need))
          return &m;
      }
    }
    if (job.service())
      return nullptr;  // a replica would be down for the whole fetch
  }
  return nullptr;
}

bool Scheduler::move(Machine& from, Slot& slot, spread::Cause cause) {
  Job* job = registry_.at(slot.job);
  // Only what is proved to run there, alone of its kind: a gang would have to move as a whole.
  if (!job || !job->open() || job->held() || job->gang() || slot.stop || slot.phase != Slot::Phase::running)
    return false;
  const auto machines = static_cast<double>(agents_.live().size());
  const auto at_once = static_cast<std::size_t>(std::max(2.0, settings_.tunables.moves * machines));
  if (!moves_.may_begin(job->ix, slot.task, at_once, out_.now()))
    return false;
  Machine* to = target(*job, from);
  if (!to)
    return false;
  const bool saves = job->spec.checkpoint_s > 0;
  spread::Move m;
  m.job = job->ix, m.task = slot.task, m.to = to->ix;
  m.cause = cause;
  m.since = out_.now();
  m.need = job->spec.need;
  m.lost_s = saves || job->service() ? 0 : out_.now() - slot.running_since;
  agents_.keep(*to, job->spec.need, 1);
  moves_.begin(m);
  agents_.stop(from, slot, saves ? job->spec.save_s + 1 : 0);
  return true;
}

// Its task is gone from where it was: the place that was kept becomes its own, if everything still allows
// that.
bool Scheduler::land(const spread::Move& move) {
  give_up(move);
  Job* job = registry_.at(move.job);
  Machine& to = agents_.at(move.to);
  if (!job || move.task >= job->tasks.size() || job->tasks[move.task].state != jobs::TaskState::pending)
    return false;
  if (!can_start(to, *job))
    return false;
  ++started_;
  job->last_start = out_.now();
  agents_.start(to, *job, move.task);
  return true;
}

void Scheduler::give_up(const spread::Move& move) {
  agents_.keep(agents_.at(move.to), move.need, -1);
}

// What has long to run on a slow machine begins anew elsewhere, if that ends it clearly sooner.
void Scheduler::plan_moves() {
  for (const spread::Move& move : moves_.expired(out_.now())) {
    give_up(move);
    moves_.finished(move, false);
  }
  // While something is out of reach or not accounted for, nothing that runs is touched.
  if (slow_machines_ == 0 || !agents_.clear() || agents_.zones().restless(out_.now()))
    return;
  for (Ix zone = 0; zone < registry_.zones.size(); ++zone) {
    if (agents_.zones().quiet(zone, out_.now()))
      return;
  }
  constexpr Seconds kOnTheWay = 2;
  constexpr double kClearly = 0.25;
  for (const Ix ix : agents_.live()) {
    Machine& m = agents_.at(ix);
    if (m.slow <= 1 || m.unreachable || agents_.silence(m) > settings_.report_s)
      continue;
    for (Slot& s : m.slots) {
      const Job* job = registry_.at(s.job);
      if (!job || job->service() || s.running_since <= 0 || !s.counted || s.stop)
        continue;
      const auto usually = usual(*job);
      const double run = usually ? usually->run_s : estimate(*job);
      const Seconds fetch = fetch_s(m.type, *job);
      const Seconds left = run * m.slow - (out_.now() - s.running_since);
      if (left > run * (1 + kClearly) + fetch + kOnTheWay)
        move(m, s, spread::Cause::slow);
    }
  }
}

}  // namespace wingtrail::sched
