// The faults that meet each other, as the operators list them: called by tests, or at random.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "simulation/components.hpp"

namespace wingtrail::simulation {

// ---------------------------------------------------------------- machines and their reports

std::size_t SimulatedCluster::fail_machines(MachineFault what, std::size_t n, double for_s,
                                            const std::string& ref) {
  fault_lasts(for_s);
  std::vector<WorkerMachine*> up;
  for (auto& [name, h] : machines_) {
    if (!h->gone && !h->dead && h->up)
      up.push_back(h.get());
  }
  if (ref.empty()) {
    for (std::size_t k = up.size(); k > 1; --k)
      std::swap(up[k - 1], up[pick(k)]);
  } else {
    const auto has = [&ref](const WorkerMachine* h) {
      return std::any_of(h->tasks.begin(), h->tasks.end(), [&ref](const TaskOn& x) {
        return x.job && x.job->spec.ref == ref && x.phase != "exited";
      });
    };
    std::stable_partition(up.begin(), up.end(), has);
  }
  up.resize(std::min(n, up.size()));
  for (WorkerMachine* h : up) {
    const double until = t_ + for_s * between(0.95, 1.05);
    spdlog::debug("{:.3f} {}: ails ({}) until {:.1f}", t_, h->name, static_cast<int>(what), until);
    if (what == MachineFault::hung)
      h->hung_until = until;
    if (what == MachineFault::deaf)
      h->deaf_until = until;
    if (what == MachineFault::mute)
      h->mute_until = until;
    if (what != MachineFault::unreachable)
      continue;
    for (std::size_t k = 0; k < plan_.nodes; ++k)
      cut(node_name(k), h->name, for_s, false);
  }
  return up.size();
}

void SimulatedCluster::late_reports(double share, double for_s, CopyArrives when) {
  fault_lasts(for_s);
  late_report_share_ = share;
  late_reports_until_ = t_ + for_s;
  copies_arrive_ = when;
}

void SimulatedCluster::late_commands(double share, double for_s) {
  fault_lasts(for_s + 16);
  late_command_share_ = share;
  late_commands_until_ = t_ + for_s;
}

// To every node, the new leader among them: as it begins, and once it has acted.
void SimulatedCluster::release_reports(std::size_t) {
  fault_lasts(5);
  for (controller::IncomingRequest& in : std::exchange(kept_reports_, {})) {
    if (copies_arrive_ == CopyArrives::at_election) {
      // Before the first answer of any worker; a worker's copies in no particular order.
      later(between(0, 0.0005), [this, in] {
        ++run_report_.kept_reports;
        for (std::size_t i = 0; i < plan_.nodes; ++i)
          deliver(i, in, [](const ports::Answer&) {});
      });
      continue;
    }
    later(odds(0.3) ? between(0, 0.2) : between(0.2, 5), [this, in] {
      ++run_report_.kept_reports;
      for (std::size_t i = 0; i < plan_.nodes; ++i)
        deliver(i, in, [](const ports::Answer&) {});
    });
  }
}

void SimulatedCluster::quick_boots(double for_s) {
  quick_boots_until_ = t_ + for_s;
}

void SimulatedCluster::slow_links(double for_s) {
  fault_lasts(for_s);
  slow_links_until_ = t_ + for_s;
}

// ---------------------------------------------------------------- users

void SimulatedCluster::cancel(const std::string& ref) {
  UserJob& job = *jobs_.at(ref);
  job.want_abort = true;
  abort(job);
}

void SimulatedCluster::cancel_now(std::size_t n, double hang_s) {
  std::set<UserJob*> running;
  for (const auto& [name, h] : machines_) {
    if (h->gone || h->dead)
      continue;
    for (const TaskOn& x : h->tasks) {
      if (x.on() && x.job->accepted && !x.job->want_abort && !x.job->over())
        running.insert(x.job);
    }
  }
  std::vector<UserJob*> some(running.begin(), running.end());
  std::sort(some.begin(), some.end(), [](const UserJob* a, const UserJob* b) {
    const auto rank = [](const UserJob* j) {
      return j->spec.shape == wire::Shape::service ? 0.0 : j->run_s;  // arrays with long to go first
    };
    return rank(a) != rank(b) ? rank(a) > rank(b) : a->spec.ref < b->spec.ref;
  });
  some.resize(std::min(n, some.size()));
  std::size_t hung = 0;
  for (UserJob* job : some) {
    ++run_report_.called_off;
    later(between(0, 0.2), [this, job] {
      job->want_abort = true;
      abort(*job);
    });
    if (hang_s > 0 && hung < 8)
      hung += fail_machines(MachineFault::hung, 1, hang_s, job->spec.ref);
  }
}

void SimulatedCluster::cancel_at_end(double share, double for_s) {
  cancel_at_end_share_ = share;
  cancel_at_end_until_ = t_ + for_s;
}

void SimulatedCluster::close_looks(double for_s) {
  looks_until_ = t_ + for_s;
}

// At all nodes, again and again within milliseconds; the submission too; some call the job off at once.
void SimulatedCluster::look_closely(UserJob& job) {
  for (std::size_t round = 0; round < 4; ++round) {
    for (std::size_t i = 0; i < plan_.nodes; ++i) {
      ++run_report_.looks;
      later(static_cast<double>(round) * between(0.001, 0.02) + between(0, 0.003),
            [this, i, &job] { ask(job, i, "a close look"); });
    }
  }
  for (std::size_t i = 0; i < plan_.nodes; ++i) {
    later(between(0, 0.02), [this, i, &job] { submit_at(job, t_ - 100, i); });
  }
  if (job.want_abort || job.told_done || job.spec.shape == wire::Shape::service || !odds(0.2))
    return;
  later(between(0, 0.03), [this, &job] {
    job.want_abort = true;
    abort(job);
  });
}

void SimulatedCluster::odd_requests(double for_s) {
  odd_until_ = t_ + for_s;
  odd_request();
}

void SimulatedCluster::odd_request() {
  if (t_ > odd_until_)
    return;
  later(between(0.1, 1), [this] { odd_request(); });
  const std::size_t i = pick(plan_.nodes);
  std::vector<UserJob*> open, done;
  for (auto& [ref, job] : jobs_) {
    if (job->accepted && !job->told_done && job->told_cancelled < 0)
      open.push_back(job.get());
    if (job->told_done)
      done.push_back(job.get());
  }
  const auto kind = pick(4);
  if (kind == 0 && !open.empty()) {
    ++run_report_.odd_answers;
    return submit_at(*open[pick(open.size())], t_ - 100, i);
  }
  if (kind == 1 && !done.empty()) {
    ++run_report_.odd_answers;
    return abort_at(*done[pick(done.size())], i);
  }
  if (jobs_.empty() || kind < 2)
    return;
  // Of one that can't run, or lacks a field, no node may take charge, and none may know it later.
  wire::JobSpec s = jobs_.begin()->second->spec;
  s.ref = "req-6" + std::to_string(1'000'000 + ++odd_made_);
  s.depends_on.clear();
  Value body = wire::job_value(s);
  if (kind == 2) {
    const auto what = pick(4);
    if (what == 0)
      body["cores"] = 1000.0;
    if (what == 1)
      body["owner"] = "nobody";
    if (what == 2)
      body["flavours"] = {"no-such"};
    if (what == 3)
      body["hall"] = "nowhere";
  } else {
    static constexpr const char* kNeeded[] = {
        "jobclass", "owner",     "shape", "urgency",   "shards",         "cores",        "memGb",  "bundle",
        "sizeGb",   "samePlace", "apart", "expectedS", "snapshotEveryS", "accelerators", "standby"};
    body.erase(kNeeded[pick(std::size(kNeeded))]);
  }
  controller::IncomingRequest in;
  in.method = "POST";
  in.path = wire::kJobsPath;
  in.body = wire::encode_cbor(body);
  send("users", node_name(i), [this, in, i, ref = s.ref, kind] {
    deliver(i, in, [this, ref, kind](const ports::Answer& a) {
      ++run_report_.odd_answers;
      if (a.status < 300 || plan_.sabotage == "odd_accepted" || (kind == 3 && a.status != 400))
        broke("accepted_odd", ref + " got " + std::to_string(a.status));
    });
  });
  later(between(0.01, 3), [this, ref = s.ref, k = pick(plan_.nodes)] {
    controller::IncomingRequest question;
    question.method = "GET";
    question.path = std::string(wire::kJobsPath) + "/" + ref;
    deliver(k, question, [this, ref](const ports::Answer& a) {
      if (a.status == 200)
        broke("invented", ref);
    });
  });
}

// A planted fault: an order of nobody's brings a task of it to some machine.
void SimulatedCluster::start_anywhere(const UserJob& job) {
  for (auto& [name, h] : machines_) {
    if (h->gone || h->dead || !h->up)
      continue;
    return order(*h, {{"verb", "start"}, {"shard", job.spec.ref + "/0"}, {"try", std::uint64_t{1} << 60}});
  }
}

// ---------------------------------------------------------------- what tests ask

double SimulatedCluster::began_at(const std::string& ref) const {
  return jobs_.at(ref)->began_at;
}

double SimulatedCluster::cancelled_at(const std::string& ref) const {
  return jobs_.at(ref)->told_cancelled;
}

std::size_t SimulatedCluster::cancellations_open() const {
  return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [](const auto& j) {
    return j.second->want_abort && j.second->accepted && !j.second->told_done && j.second->told_cancelled < 0;
  }));
}
bool SimulatedCluster::told_done(const std::string& ref) const {
  return jobs_.at(ref)->told_done;
}
bool SimulatedCluster::accepted(const std::string& ref) const {
  return jobs_.at(ref)->accepted;
}

std::size_t SimulatedCluster::on_machines(const std::string& ref) const {
  std::size_t n = 0;
  for (const auto& [name, h] : machines_) {
    if (h->gone || h->dead || (t_ - h->lease_from) * h->rate > kLease)
      continue;
    n += static_cast<std::size_t>(std::count_if(h->tasks.begin(), h->tasks.end(), [&ref](const TaskOn& x) {
      return x.job && x.job->spec.ref == ref && x.phase != "exited";
    }));
  }
  return n;
}

}  // namespace wingtrail::simulation
