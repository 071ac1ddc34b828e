// Users: submissions, questions, cancellations, and what they make of the answers.
#include <algorithm>
#include <cstdio>

#include "simulation/components.hpp"

namespace wingtrail::simulation {

// Some of the jobs that were accepted, whatever has become of them, and mostly late ones.
void SimulatedCluster::name_needs(UserJob& job) {
  std::vector<UserJob*> known;
  for (auto& [ref, other] : jobs_) {
    if (other->accepted && other->spec.shape != wire::Shape::service && other.get() != &job)
      known.push_back(other.get());
  }
  if (known.empty())
    return;
  const std::size_t late = std::min<std::size_t>(known.size(), 6);
  for (std::size_t k = 0, n = 1 + pick(odds(0.2) ? 5 : 2); k < n; ++k) {
    UserJob* need = odds(0.8) ? known[known.size() - 1 - pick(late)] : known[pick(known.size())];
    if (std::find(job.needs.begin(), job.needs.end(), need) != job.needs.end())
      continue;
    job.needs.push_back(need);
    need->needed_by.push_back(&job);
    job.spec.depends_on.push_back(need->spec.ref);
  }
  ++run_report_.chained;
}

// Names a job that nobody ever submitted, or itself.
void SimulatedCluster::submit_impossible() {
  wire::JobSpec s = jobs_.begin()->second->spec;
  s.ref = "req-8" + std::to_string(pick(100000));
  s.depends_on = {odds(0.3) ? s.ref : "req-7" + std::to_string(pick(100000))};
  if (odds(0.5))
    s.depends_on.push_back(jobs_.begin()->first);
  controller::IncomingRequest in;
  in.method = "POST";
  in.path = wire::kJobsPath;
  in.body = wire::encode_cbor(wire::job_value(s));
  const std::size_t i = pick(plan_.nodes);
  send("users", node_name(i), [this, in, i, ref = s.ref] {
    deliver(i, in, [this, ref](const ports::Answer& a) {
      if (a.status < 300 || a.status == 400)
        broke("protocol", ref + " needs what never was, but got " + std::to_string(a.status));
    });
  });
}

void SimulatedCluster::user(const wire::JobSpec& spec, double run_s, double cancel_at) {
  auto job = std::make_unique<UserJob>();
  job->spec = spec;
  job->run_s = run_s;
  job->body = wire::job_value(spec);
  job->submitted = true;
  job->came = t_;
  UserJob& j = *job;
  for (const std::string& ref : spec.depends_on) {
    j.needs.push_back(jobs_.at(ref).get());
    jobs_.at(ref)->needed_by.push_back(&j);
  }
  jobs_[spec.ref] = std::move(job);
  submit(j, t_);
  if (cancel_at < 0)
    return;
  at(cancel_at, [this, &j] {
    j.want_abort = true;
    abort(j);
  });
}

void SimulatedCluster::watch_closely(const std::string& ref, int users) {
  for (int n = 0; n < users; ++n)
    later(between(0, 4), [this, &job = *jobs_.at(ref)] { poll(job); });
}

void SimulatedCluster::submit_one() {
  auto job = std::make_unique<UserJob>();
  char ref[24];
  std::snprintf(ref, sizeof ref, "req-%06zu", ++jobs_made_ + 100000 * plan_.cell);
  wire::JobSpec& s = job->spec;
  s.ref = ref;
  s.job_class = odds(0.5) ? "web" : "batch";
  s.team = odds(0.5) ? "red" : "blue";
  s.image = "img-" + std::to_string(pick(4));
  s.image_gb = between(0.2, 3);
  s.task_resources = {odds(0.5) ? 2.0 : 4.0, 0, between(1, 8)};
  s.shape = odds(0.25) ? wire::Shape::service : wire::Shape::array;
  if (s.shape == wire::Shape::service) {
    s.tasks = static_cast<std::uint32_t>(1 + pick(4));
    s.priority = wire::Priority::production;
    s.spread_zones = odds(0.5);
  } else {
    s.tasks = static_cast<std::uint32_t>(1 + pick(odds(0.1) ? 40 : 10));
    s.priority = odds(0.2) ? wire::Priority::high : wire::Priority::normal;
    s.allows_spot = odds(0.6);
    s.same_zone = odds(0.15);
    job->run_s = odds(0.1) ? between(40, 90) : between(1, 15);
    s.estimate_s = job->run_s * between(0.5, 2);
    job->bad = odds(0.03);
    if (s.tasks > 1 && s.tasks <= 4 && odds(0.3))
      s.shape = wire::Shape::gang;
  }
  if (s.shape != wire::Shape::gang)
    s.tasks *= plan_.size;
  if (odds(0.1))
    s.zone = settings_.zones[pick(plan_.zones)];
  if (odds(0.1))
    s.types = {catalog_[pick(2)].name};
  if (plan_.chains && t_ >= chains_from_ && s.shape != wire::Shape::service && odds(0.5))
    name_needs(*job);
  if (s.depends_on.empty() == false && odds(0.5))
    s.deadline_s = between(20, 300);
  if (plan_.chains && t_ >= chains_from_ && !jobs_.empty() && odds(0.1))
    submit_impossible();
  job->body = wire::job_value(s);
  UserJob& j = *job;
  jobs_[s.ref] = std::move(job);
  j.submitted = true;
  submit(j, t_);
  const double leave = odds(0.25) ? between(0, 30) : s.shape == wire::Shape::service ? between(40, 120) : -1;
  if (leave >= 0) {
    later(leave, [this, &j] {
      j.want_abort = true;
      abort(j);
    });
  }
}

void SimulatedCluster::submit_some() {
  if (t_ > plan_.duration_s)
    return;
  submit_one();
  later(between(plan_.arrival_s / 12, plan_.arrival_s), [this] { submit_some(); });
  // With sheets some come together; of many, few may find others under way.
  if (plan_.admission && odds(0.15)) {
    for (std::size_t n = 1 + pick(6); n > 0; --n)
      submit_one();
  }
  // Somebody asks about a job that nobody submitted.
  if (odds(0.2)) {
    const std::string name = "req-9" + std::to_string(pick(100000));
    send("users", node_name(pick(plan_.nodes)), [this, name, i = pick(plan_.nodes)] {
      controller::IncomingRequest in;
      in.method = "GET";
      in.path = std::string(wire::kJobsPath) + "/" + name;
      deliver(i, in, [this, name](const ports::Answer& a) {
        if (a.status == 200)
          broke("invented", name);
      });
    });
  }
}

void SimulatedCluster::submit(UserJob& job, double since) {
  submit_at(job, since, pick(plan_.nodes));
}

void SimulatedCluster::submit_at(UserJob& job, double since, std::size_t i) {
  controller::IncomingRequest in;
  in.method = "POST";
  in.path = wire::kJobsPath;
  in.body = wire::encode_cbor(job.body);
  auto settled = std::make_shared<bool>(false);
  const bool was_over = job.told_done || job.told_cancelled >= 0;
  send("users", node_name(i), [this, i, in, &job, settled, was_over, since] {
    deliver(i, in, [this, &job, settled, was_over, since](const ports::Answer& a) {
      if (*settled)
        return;
      run_report_.put_off += a.status == 429;
      if (plan_.admission && !job.accepted && (a.status == 429 || a.status == 503)) {
        *settled = true;
        const double back = std::max(1, a.retry_after_s.value_or(1));
        if (t_ + back <= since + 60)
          later(back, [this, &job, since] { submit(job, since); });
        return;
      }
      if (a.status == 200 || a.status == 201) {
        *settled = true;
        if (!std::exchange(job.accepted, true)) {
          ++run_report_.accepted;
          job.accepted_at = t_;
          for (const UserJob* need : job.needs) {
            if (need->doomed_at >= 0)
              doom(job, t_);
          }
          later(between(0.5, 5), [this, &job] { poll(job); });
          if (t_ < looks_until_)
            look_closely(job);
        }
        const bool over = job.told_done || job.told_cancelled >= 0;
        // An answer that a poll's overtook on its way is no step back (seed 5 without faults).
        if (a.status == 200 && over == was_over)
          heard(job, 200, a.body, "submission");
        if (odds(0.2))
          later(between(1, 60), [this, &job] { submit(job, t_ - 100); });
      } else if (a.status == 400 || a.status == 422 || a.status == 404) {
        if (job.accepted)
          broke("forgotten", job.spec.ref + " submitted again got " + std::to_string(a.status));
      }
    });
  });
  later(5, [this, settled, &job, since] {
    if (*settled || job.accepted || t_ - since > 60)
      return;
    submit(job, since);
  });
}

void SimulatedCluster::heard(UserJob& job, int status, const Value& body, const char* how) {
  if (status == 404 && job.accepted)
    return broke("forgotten", job.spec.ref + " by " + how);
  if (status != 200)
    return;
  const auto phase = wire::parse_phase(body);
  if (!phase)
    return broke("protocol", "an answer without a phase");
  if (*phase == wire::Phase::done) {
    if (job.done.size() < job.spec.tasks)
      broke("not_done", job.spec.ref);
    if (job.told_cancelled >= 0)
      broke("went_back", job.spec.ref + " from cancelled to done");
    if (!job.told_done)
      ++run_report_.finished;
    if (!std::exchange(job.told_done, true) && t_ < looks_until_)
      look_closely(job);
  } else if (*phase == wire::Phase::cancelled) {
    if (!may_be_cancelled(job))
      broke("went_back", job.spec.ref + " is called cancelled");
    if (job.told_cancelled < 0) {
      job.told_cancelled = t_;
      ++run_report_.told_gone;
      if (plan_.sabotage == "start_after_told")
        start_anywhere(job);
      if (t_ < looks_until_)
        look_closely(job);
      ++run_report_.cancelled;
      run_report_.orphans += !job.want_abort;
    }
    doom(job, t_);
  } else if (job.told_done || job.told_cancelled >= 0) {
    broke("went_back", job.spec.ref + " lives again by " + how);
  } else if (job.doomed_at >= 0 && t_ > job.doomed_at + kCancel) {
    broke("orphaned", job.spec.ref + " by " + how);
  }
}

void SimulatedCluster::poll(UserJob& job) {
  check_answered(job);
  ask(job, pick(plan_.nodes), "poll");
  const bool over = job.told_done || job.told_cancelled >= 0;
  later(over ? between(10, 40) : between(2, 5), [this, &job] { poll(job); });
}

void SimulatedCluster::ask(UserJob& job, std::size_t i, const char* how) {
  controller::IncomingRequest in;
  in.method = "GET";
  in.path = std::string(wire::kJobsPath) + "/" + job.spec.ref;
  // What counts is the order in which the user hears things: an answer given up on is not heard.
  const double asked_at = t_;
  asked();
  const bool was_over = job.told_done || job.told_cancelled >= 0;
  send("users", node_name(i), [this, i, in, &job, asked_at, was_over, how] {
    deliver(i, in, [this, &job, asked_at, was_over, how](const ports::Answer& a) {
      if (t_ - asked_at > 2 || plan_.sabotage == "questions_unanswered")
        return;
      if (plan_.sabotage == "one_unanswered" && job.spec.ref == jobs_.begin()->first)
        return;
      if (a.status == 200)
        answered(job);
      if (plan_.sabotage == "older_answer" && was_over)
        return heard(job, 200, wire::job_progress(job.spec.ref, wire::Phase::running, 0, 1), how);
      const bool over = job.told_done || job.told_cancelled >= 0;
      if (over && !was_over && a.status == 200)
        return;  // overtaken by another answer while it was on its way
      heard(job, a.status, a.body, how);
    });
  });
}

void SimulatedCluster::abort(UserJob& job) {
  if (!job.accepted) {
    later(1, [this, &job] { abort(job); });
    return;
  }
  abort_at(job, pick(plan_.nodes));
  later(2, [this, &job] {
    if (!job.aborted)
      abort(job);
  });
}

void SimulatedCluster::abort_at(UserJob& job, std::size_t i) {
  controller::IncomingRequest in;
  in.method = "POST";
  in.path = std::string(wire::kJobsPath) + "/" + job.spec.ref + wire::kAbortSuffix;
  send("users", node_name(i), [this, i, in, &job] {
    deliver(i, in, [this, &job](const ports::Answer& a) {
      if (a.status == 404)
        return broke("forgotten", job.spec.ref + " by abort");
      run_report_.aborts_put_off += a.status != 200;
      if (a.status != 200)
        return;
      job.aborted = true;
      heard(job, 200, a.body, "abort");
    });
  });
}

}  // namespace wingtrail::simulation
