// Users: their submissions, queries and cancellations, and the checks of the answers.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdio>

#include "simulation/components.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail::simulation {

// Adds dependencies on some of the accepted jobs, in whatever state they are; mostly on recent ones.
void SimulatedCluster::choose_dependencies(UserJob& job) {
  std::vector<UserJob*> known;
  for (auto& [ref, other] : jobs_) {
    if (other->accepted && other->spec.shape != wire::Shape::service && other.get() != &job)
      known.push_back(other.get());
  }
  if (known.empty())
    return;
  const std::size_t recent = std::min<std::size_t>(known.size(), 6);
  for (std::size_t k = 0, n = 1 + random_index(random_bool(0.2) ? 5 : 2); k < n; ++k) {
    UserJob* dependency =
        random_bool(0.8) ? known[known.size() - 1 - random_index(recent)] : known[random_index(known.size())];
    if (std::find(job.dependencies.begin(), job.dependencies.end(), dependency) != job.dependencies.end())
      continue;
    job.dependencies.push_back(dependency);
    dependency->dependents.push_back(&job);
    job.spec.depends_on.push_back(dependency->spec.ref);
  }
  ++run_report_.with_dependencies;
}

// Submits a job that depends on itself or on a job that was never submitted.
void SimulatedCluster::submit_impossible_job() {
  wire::JobSpec spec = jobs_.begin()->second->spec;
  spec.ref = "req-8" + std::to_string(random_index(100000));
  spec.depends_on = {random_bool(0.3) ? spec.ref : "req-7" + std::to_string(random_index(100000))};
  if (random_bool(0.5))
    spec.depends_on.push_back(jobs_.begin()->first);
  controller::IncomingRequest request;
  request.method = "POST";
  request.path = wire::kJobsPath;
  request.body = wire::encode_cbor(wire::job_value(spec));
  const std::size_t node = random_index(plan_.nodes);
  send("users", node_name(node), [this, request, node, ref = spec.ref] {
    deliver(node, request, [this, ref](const ports::Answer& answer) {
      if (answer.status < 300 || answer.status == 400)
        report_violation("protocol", ref + " needs what never was, but got " + std::to_string(answer.status));
    });
  });
}

void SimulatedCluster::submit_job(const wire::JobSpec& spec, double run_s, double cancel_at) {
  auto job = std::make_unique<UserJob>();
  job->spec = spec;
  job->run_s = run_s;
  job->body = wire::job_value(spec);
  job->submitted = true;
  job->submitted_at = now_;
  UserJob& j = *job;
  for (const std::string& ref : spec.depends_on) {
    j.dependencies.push_back(jobs_.at(ref).get());
    jobs_.at(ref)->dependents.push_back(&j);
  }
  jobs_[spec.ref] = std::move(job);
  submit(j, now_);
  if (cancel_at < 0)
    return;
  add_event(cancel_at, [this, &j] {
    j.cancellation_wanted = true;
    cancel_job(j);
  });
}

void SimulatedCluster::make_job_fail(const std::string& ref) {
  jobs_.at(ref)->always_fails = true;
}

void SimulatedCluster::add_pollers(const std::string& ref, int users) {
  for (int n = 0; n < users; ++n)
    add_event_after(random_between(0, 4), [this, &job = *jobs_.at(ref)] { poll(job); });
}

void SimulatedCluster::submit_random_job() {
  auto job = std::make_unique<UserJob>();
  char ref[24];
  std::snprintf(ref, sizeof ref, "req-%06zu", ++jobs_made_ + 100000 * plan_.cell);
  wire::JobSpec& spec = job->spec;
  spec.ref = ref;
  spec.job_class = random_bool(0.5) ? "web" : "batch";
  spec.team = random_bool(0.5) ? "red" : "blue";
  spec.image = "img-" + std::to_string(random_index(4));
  spec.image_gb = random_between(0.2, 3);
  spec.task_resources = {random_bool(0.5) ? 2.0 : 4.0, 0, random_between(1, 8)};
  spec.shape = random_bool(0.25) ? wire::Shape::service : wire::Shape::array;
  if (spec.shape == wire::Shape::service) {
    spec.tasks = static_cast<std::uint32_t>(1 + random_index(4));
    spec.priority = wire::Priority::production;
    spec.spread_zones = random_bool(0.5);
  } else {
    spec.tasks = static_cast<std::uint32_t>(1 + random_index(random_bool(0.1) ? 40 : 10));
    spec.priority = random_bool(0.2) ? wire::Priority::high : wire::Priority::normal;
    spec.allows_spot = random_bool(0.6);
    spec.same_zone = random_bool(0.15);
    job->run_s = random_bool(0.1) ? random_between(40, 90) : random_between(1, 15);
    spec.estimate_s = job->run_s * random_between(0.5, 2);
    job->always_fails = random_bool(0.03);
    if (spec.tasks > 1 && spec.tasks <= 4 && random_bool(0.3))
      spec.shape = wire::Shape::gang;
  }
  if (spec.shape != wire::Shape::gang)
    spec.tasks *= plan_.job_size;
  if (random_bool(0.1))
    spec.zone = settings_.zones[random_index(plan_.zones)];
  if (random_bool(0.1))
    spec.types = {catalog_[random_index(2)].name};
  if (plan_.dependencies && now_ >= dependencies_from_ && spec.shape != wire::Shape::service &&
      random_bool(0.5))
    choose_dependencies(*job);
  if (spec.depends_on.empty() == false && random_bool(0.5))
    spec.deadline_s = random_between(20, 300);
  if (plan_.dependencies && now_ >= dependencies_from_ && !jobs_.empty() && random_bool(0.1))
    submit_impossible_job();
  job->body = wire::job_value(spec);
  UserJob& j = *job;
  jobs_[spec.ref] = std::move(job);
  j.submitted = true;
  submit(j, now_);
  const double cancel_after = random_bool(0.25)                    ? random_between(0, 30)
                              : spec.shape == wire::Shape::service ? random_between(40, 120)
                                                                   : -1;
  if (cancel_after >= 0) {
    add_event_after(cancel_after, [this, &j] {
      j.cancellation_wanted = true;
      cancel_job(j);
    });
  }
}

void SimulatedCluster::schedule_submissions() {
  if (now_ > plan_.duration_s)
    return;
  submit_random_job();
  add_event_after(random_between(plan_.arrival_s / 12, plan_.arrival_s), [this] { schedule_submissions(); });
  // Submits several jobs at once, so that job batches hold more than one job; submissions that are spread out
  // rarely share a batch.
  if (plan_.fair_admission && random_bool(0.15)) {
    for (std::size_t n = 1 + random_index(6); n > 0; --n)
      submit_random_job();
  }
  // A query of a job that was never submitted.
  if (random_bool(0.2)) {
    const std::string name = "req-9" + std::to_string(random_index(100000));
    const std::size_t node = random_index(plan_.nodes);
    const std::size_t linked_node = random_index(plan_.nodes);
    send("users", node_name(linked_node), [this, name, node] {
      controller::IncomingRequest request;
      request.method = "GET";
      request.path = std::string(wire::kJobsPath) + "/" + name;
      deliver(node, request, [this, name](const ports::Answer& answer) {
        if (answer.status == 200)
          report_violation("invented", name);
      });
    });
  }
}

std::size_t SimulatedCluster::node_for_user() {
  if (external_processes_.choose_node)
    return external_processes_.choose_node();
  std::size_t node = random_index(plan_.nodes);
  while (request_delay(node) > 0)
    node = (node + 1) % plan_.nodes;
  return node;
}

void SimulatedCluster::submit(UserJob& job, double since) {
  submit_at(job, since, node_for_user());
}

void SimulatedCluster::submit_at(UserJob& job, double since, std::size_t node) {
  controller::IncomingRequest request;
  request.method = "POST";
  request.path = wire::kJobsPath;
  request.body = wire::encode_cbor(job.body);
  auto answered = std::make_shared<bool>(false);
  const bool was_final = job.reported_done || job.cancellation_confirmed_at >= 0;
  send("users", node_name(node), [this, node, request, &job, answered, was_final, since] {
    deliver_from_user(node, request, [this, &job, answered, was_final, since](const ports::Answer& answer) {
      if (*answered)
        return;
      run_report_.deferred += answer.status == 429;
      if (plan_.fair_admission && !job.accepted && (answer.status == 429 || answer.status == 503)) {
        *answered = true;
        const double retry_after_s = std::max(1, answer.retry_after_s.value_or(1));
        if (now_ + retry_after_s <= since + 60)
          add_event_after(retry_after_s, [this, &job, since] { submit(job, since); });
        return;
      }
      if (answer.status == 200 || answer.status == 201) {
        *answered = true;
        if (!std::exchange(job.accepted, true)) {
          ++run_report_.accepted;
          job.accepted_at = now_;
          for (const UserJob* dependency : job.dependencies) {
            if (dependency->cancelled_since >= 0)
              mark_cancelled(job, now_);
          }
          add_event_after(random_between(0.5, 5), [this, &job] { poll(job); });
          if (now_ < close_polls_until_)
            poll_every_node(job);
        }
        const bool is_final = job.reported_done || job.cancellation_confirmed_at >= 0;
        // An answer that was overtaken on its way by the answer to a query may show an earlier state (seed 5
        // without faults).
        if (answer.status == 200 && is_final == was_final)
          on_job_state(job, 200, answer.body, "submission");
        if (random_bool(0.2))
          add_event_after(random_between(1, 60), [this, &job] { submit(job, now_ - 100); });
      } else if (answer.status == 400 || answer.status == 422 || answer.status == 404) {
        if (job.accepted)
          report_violation("forgotten",
                           job.spec.ref + " submitted again got " + std::to_string(answer.status));
      }
    });
  });
  add_event_after(5, [this, answered, &job, since] {
    if (*answered || job.accepted || now_ - since > 60)
      return;
    submit(job, since);
  });
}

void SimulatedCluster::on_job_state(UserJob& job, int status, const Value& body, const char* source) {
  if (status == 404 && job.accepted)
    return report_violation("forgotten", job.spec.ref + " by " + source);
  if (status != 200)
    return;
  const auto phase = wire::parse_phase(body);
  if (!phase)
    return report_violation("protocol", "an answer without a phase");
  if (*phase == wire::Phase::done) {
    if (job.done_tasks.size() < job.spec.tasks)
      report_violation("not_done", job.spec.ref);
    if (job.cancellation_confirmed_at >= 0)
      report_violation("went_back", job.spec.ref + " from cancelled to done");
    if (!job.reported_done)
      ++run_report_.finished;
    if (!std::exchange(job.reported_done, true) && now_ < close_polls_until_)
      poll_every_node(job);
  } else if (*phase == wire::Phase::cancelled) {
    if (!may_be_cancelled(job))
      report_violation("went_back", job.spec.ref + " is called cancelled");
    if (job.cancellation_confirmed_at < 0) {
      job.cancellation_confirmed_at = now_;
      ++run_report_.cancellations_confirmed;
      if (plan_.planted_fault == "start_after_told")
        start_uncommanded_task(job);
      if (now_ < close_polls_until_)
        poll_every_node(job);
      ++run_report_.cancelled;
      run_report_.orphaned += !job.cancellation_wanted;
    }
    mark_cancelled(job, now_);
  } else if (job.reported_done || job.cancellation_confirmed_at >= 0) {
    report_violation("went_back", job.spec.ref + " lives again by " + source);
  } else if (job.cancelled_since >= 0 && now_ > job.cancelled_since + kCancellationLimit) {
    report_violation("orphaned", job.spec.ref + " by " + source);
  }
}

void SimulatedCluster::poll(UserJob& job) {
  check_answered(job);
  query_at_node(job, node_for_user(), "poll");
  const bool is_final = job.reported_done || job.cancellation_confirmed_at >= 0;
  add_event_after(is_final ? random_between(10, 40) : random_between(2, 5), [this, &job] { poll(job); });
}

void SimulatedCluster::query_at_node(UserJob& job, std::size_t node, const char* source) {
  controller::IncomingRequest request;
  request.method = "GET";
  request.path = std::string(wire::kJobsPath) + "/" + job.spec.ref;
  // The checks follow the order in which answers reach the user; one that comes after the user's timeout of
  // 2 s is ignored.
  const double asked_at = now_;
  record_query();
  const bool was_final = job.reported_done || job.cancellation_confirmed_at >= 0;
  send("users", node_name(node), [this, node, request, &job, asked_at, was_final, source] {
    deliver(node, request, [this, &job, asked_at, was_final, source](const ports::Answer& answer) {
      if (now_ - asked_at > 2 || plan_.planted_fault == "questions_unanswered")
        return;
      if (plan_.planted_fault == "services_unanswered" && job.spec.shape == wire::Shape::service)
        return;
      if (plan_.planted_fault == "one_unanswered" && job.spec.ref == jobs_.begin()->first)
        return;
      if (answer.status == 200)
        record_answer(job);
      if (plan_.planted_fault == "older_answer" && was_final)
        return on_job_state(job, 200, wire::job_progress(job.spec.ref, wire::Phase::running, 0, 1), source);
      const bool is_final = job.reported_done || job.cancellation_confirmed_at >= 0;
      if (is_final && !was_final && answer.status == 200)
        return;  // another answer overtook this one on its way
      on_job_state(job, answer.status, answer.body, source);
    });
  });
}

void SimulatedCluster::cancel_job(UserJob& job) {
  if (!job.accepted) {
    add_event_after(1, [this, &job] { cancel_job(job); });
    return;
  }
  cancel_at_node(job, node_for_user());
  add_event_after(2, [this, &job] {
    if (!job.cancelled)
      cancel_job(job);
  });
}

void SimulatedCluster::cancel_at_node(UserJob& job, std::size_t node) {
  controller::IncomingRequest request;
  request.method = "POST";
  request.path = std::string(wire::kJobsPath) + "/" + job.spec.ref + wire::kAbortSuffix;
  send("users", node_name(node), [this, node, request, &job] {
    deliver_from_user(node, request, [this, &job](const ports::Answer& answer) {
      if (answer.status == 404)
        return report_violation("forgotten", job.spec.ref + " by abort");
      run_report_.cancellations_deferred += answer.status != 200;
      spdlog::debug("simulation: cancellation answered t={:.3f} ref={} status={}", now_, job.spec.ref,
                    answer.status);
      if (answer.status != 200)
        return;
      job.cancelled = true;
      on_job_state(job, 200, answer.body, "abort");
    });
  });
}

}  // namespace wingtrail::simulation
