/// @file
/// The course of a leadership of this controller: loading the records from the state service after the
/// election, following new jobs, and giving up the state when the leadership ends.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/controller.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kReadRetryDelay = 0.2;
constexpr Seconds kWatchRetryDelay = 0.3;
}  // namespace

void Controller::on_elected() {
  ++term_;
  loaded_ = false;
  last_load_reply_at_ = out_.now();
  cancellation_markers_.clear();
  registry_.clear();
  dependencies_.clear();
  dependencies_to_look_up_.clear();
  unknown_dependencies_.clear();
  dependency_lookups_in_flight_ = 0;
  zone_reporter_.reset();
  remote_placements_.clear();
  remote_placement_pages_.clear();
  tombstones_in_progress_.clear();
  selected_for_offload_.clear();
  offloading_expected_ = false;
  foreign_job_capacity_known_ = false;
  scheduler_.clear();
  state_writer_.begin_leadership();
  delegated_renewal_.begin_leadership();
  write_shares_.begin_leadership(out_.now());
  request_shares_.begin_leadership(out_.now());
  workers_.begin_leadership();
  workers_.set_catalog(catalog_.types());
  load_records(jobs::kLiveJobPrefix, "", term_);
}

void Controller::on_leadership_lost() {
  ++term_;
  loaded_ = false;
  cancellation_.end_leadership();
  state_writer_.end_leadership();
  workers_.end_leadership();
  autoscaler_.end_leadership();
  scheduler_.clear();
  dependencies_.clear();
  remote_placements_.clear();
  tombstones_in_progress_.clear();
  registry_.clear();
}

void Controller::load_records(const char* prefix, const std::string& after, std::uint64_t term) {
  store_.list(prefix, after, [this, prefix, after, term](const store::Reply& reply) {
    if (term != term_)
      return;
    auto range = reply.status == 200 ? wire::parse_range(reply.body) : wire::malformed("");
    last_load_reply_at_ = range ? out_.now() : last_load_reply_at_;
    if (range && !election_.confirm_token(range->revision))
      return;
    if (!range) {
      return out_.after(kReadRetryDelay, [this, prefix, after, term] {
        if (term == term_)
          load_records(prefix, after, term);
      });
    }
    // The watch continues from the revision of the first page, so it also reports changes that later pages
    // already show. Handling a change twice is harmless.
    if (prefix == jobs::kLiveJobPrefix && after.empty())
      jobs_revision_ = range->revision;
    for (const wire::Item& item : range->items)
      load_item(prefix, item);
    if (range->more && !range->items.empty())
      return load_records(prefix, range->items.back().key, term);
    if (prefix == jobs::kLiveJobPrefix) {
      return drop_jobs_with_final_state([this, term] {
        if (term == term_)
          load_records(jobs::kCompletionPrefix, "", term);
      });
    }
    if (prefix == jobs::kCompletionPrefix)
      return load_records(jobs::kInventoryPrefix, "", term);
    // The record names the longest delegation of earlier leaders. It must be known before any worker lease is
    // considered expired.
    delegation_support_.read_record([this, term] {
      if (term == term_)
        on_load_finished();
    });
  });
}

void Controller::load_item(const char* prefix, const wire::Item& item) {
  if (prefix == jobs::kLiveJobPrefix && item.key.ends_with(jobs::kCancellationSuffix)) {
    cancellation_markers_.push_back(item.key);  // handled by on_load_finished(), as its job may be read later
  } else if (prefix == jobs::kLiveJobPrefix && cells::is_remote_placement_key(item.key)) {
    remote_placement_pages_.push_back(item);  // handled by on_load_finished() as well
  } else if (prefix == jobs::kLiveJobPrefix && jobs::is_batch_key(item.key)) {
    jobs::for_each_record(item.value, [&](const std::string& ref, const wire::Value& record) {
      jobs::Job* known = registry_.find(ref);
      jobs::Job* job = known ? known : add_job(record, item.version);
      if (!job)
        return;
      if (!known)
        job->has_own_key = false;
      // A job may be in two batches and also have its own key: the oldest record is its creation.
      job->created_revision = std::min(job->created_revision, item.version);
      state_writer_.batches().add_live_job(item.key, job->index);
    });
    state_writer_.batches().on_read(item.key);
  } else if (prefix == jobs::kLiveJobPrefix) {
    if (jobs::Job* known = registry_.find(wire::text(item.value, "ref").value_or(""))) {
      known->has_own_key = true;
      known->created_revision = std::min(known->created_revision, item.version);
    } else {
      add_job(item.value, item.version);
    }
  } else if (prefix == jobs::kCompletionPrefix) {
    if (!state_writer_.load_completion_page(item.key, item.value, item.version))
      spdlog::error("load: malformed completion page key={}", item.key);
  } else {
    const bool parsed = state_writer_.load_inventory_page(
        item.key, item.value, item.version,
        [this](const wire::Value& record) { return workers_.add_from_inventory(record).index; });
    if (!parsed)
      spdlog::error("load: malformed inventory page key={}", item.key);
  }
}

void Controller::on_load_finished() {
  loaded_ = true;
  loaded_at_ = out_.now();
  recording_delays_.reset();
  heartbeats_.on_loaded();
  spdlog::info("load: finished jobs={} machines={} revision={} token={}", registry_.live_count(),
               workers_.machines().size(), jobs_revision_, election_.fencing_token());
  autoscaler_.begin_leadership();
  workers_.tick();
  load_remote_placements();
  for (const std::string& key : std::exchange(cancellation_markers_, {}))
    cancellation_.on_marker(key);
  std::vector<jobs::Job*> all;
  registry_.for_each([&all](jobs::Job& job) { all.push_back(&job); });
  if (settings_.tunables.fair_admission <= 0) {
    for (jobs::Job* job : all)
      state_writer_.move_to_own_key(*job);
  }
  for (jobs::Job* job : all)
    dependencies_.add(*job);
  dependencies_.propagate_urgency();
  for (jobs::Job* job : all) {
    complete_if_done(*job);
    scheduler_.on_job_ready(*job);
  }
  process_dependencies();
  watch_jobs(jobs_revision_, term_);
  catalog_.save();
}

void Controller::watch_jobs(std::uint64_t after, std::uint64_t term) {
  store_.watch(jobs::kLiveJobPrefix, after, [this, after, term](const store::Reply& reply) {
    if (term != term_)
      return;
    auto changes = reply.status == 200 ? wire::parse_changes(reply.body) : wire::malformed("");
    if (changes) {
      for (const wire::Change& change : changes->events) {
        if (!change.deleted)
          on_live_key_read(change.key, change.value, change.version);
      }
      return watch_jobs(std::max(after, changes->revision), term);
    }
    if (reply.status == 410) {
      // The watch is too far behind (410), so all records are read again. Known jobs keep their state.
      return out_.after(kReadRetryDelay, [this, term] { reread_jobs(term); });
    }
    out_.after(kWatchRetryDelay, [this, after, term] {
      if (term == term_)
        watch_jobs(after, term);
    });
  });
}

// A new reading of all records, page by page, after the watch missed changes. The watch continues from the
// revision of the first page.
struct Controller::Rereading {
  std::uint64_t term = 0;
  std::uint64_t revision = 0;
  std::vector<wire::Item> items;
};

void Controller::reread_jobs(std::uint64_t term) {
  if (term == term_)
    reread_next_page(std::make_shared<Rereading>(Rereading{term, 0, {}}));
}

void Controller::reread_next_page(const std::shared_ptr<Rereading>& reading) {
  const std::string after = reading->items.empty() ? "" : reading->items.back().key;
  store_.list(jobs::kLiveJobPrefix, after, [this, reading](const store::Reply& reply) {
    if (reading->term != term_)
      return;
    auto range = reply.status == 200 ? wire::parse_range(reply.body) : wire::malformed("");
    if (!range)
      return out_.after(kWatchRetryDelay, [this, reading] { reread_jobs(reading->term); });
    if (reading->items.empty())
      reading->revision = range->revision;
    reading->items.insert(reading->items.end(), range->items.begin(), range->items.end());
    // There may be more live keys than one reply holds; jobs on the later pages would stay unknown.
    if (range->more && !range->items.empty())
      return reread_next_page(reading);
    apply_reread_jobs(reading);
  });
}

void Controller::apply_reread_jobs(const std::shared_ptr<Rereading>& reading) {
  // A batch that has not been read before may hold jobs that already have a final state.
  std::vector<std::string> unknown;
  for (const wire::Item& item : reading->items) {
    if (!jobs::is_batch_key(item.key) || state_writer_.batches().fully_read(item.key))
      continue;
    jobs::for_each_record(item.value, [&](const std::string& ref, const wire::Value&) {
      if (!registry_.find(ref))
        unknown.push_back(ref);
    });
  }
  final_state_query_.start(
      std::move(unknown), [this, reading](const std::set<std::string>& with_final_state) {
        if (reading->term != term_)
          return;
        const auto is_marker = [](const wire::Item& item) {
          return item.key.ends_with(jobs::kCancellationSuffix);
        };
        for (const wire::Item& item : reading->items) {
          if (is_marker(item))
            continue;  // handled below, as its job may be in a batch that comes later in the list
          if (!jobs::is_batch_key(item.key)) {
            on_live_key_read(item.key, item.value, item.version);
          } else if (!state_writer_.batches().fully_read(item.key)) {
            on_batch_read(item.key, item.value, item.version, with_final_state);
          }
        }
        for (const wire::Item& item : reading->items) {
          if (is_marker(item))
            cancellation_.on_marker(item.key);
        }
        watch_jobs(reading->revision, reading->term);
      });
}

void Controller::on_live_key_read(const std::string& key, const wire::Value& value, std::uint64_t version) {
  if (key.ends_with(jobs::kCancellationSuffix))
    return cancellation_.on_marker(key);
  if (cells::is_remote_placement_key(key))
    return;  // written by this leader itself
  jobs::is_batch_key(key) ? on_batch_read(key, value, version) : on_job_read(value, version);
}

void Controller::on_batch_read(const std::string& key, const wire::Value& value, std::uint64_t version,
                               const std::set<std::string>& with_final_state) {
  jobs::for_each_record(value, [&](const std::string& ref, const wire::Value& record) {
    if (!with_final_state.contains(ref))
      on_job_read(record, version, key);
  });
  state_writer_.batches().on_read(key);
  state_writer_.delete_empty_batches();
}

void Controller::on_job_read(const wire::Value& value, std::uint64_t version, const std::string& batch_key) {
  const auto ref = wire::text(value, "ref").value_or("");
  if (final_states_.contains(ref) || tombstones_in_progress_.contains(ref))
    return;
  if (jobs::Job* known = registry_.find(ref)) {
    known->created_revision = std::min(known->created_revision, version);
    if (known->final_state_recorded)
      return;
    batch_key.empty() ? void(known->has_own_key = true)
                      : state_writer_.batches().add_live_job(batch_key, known->index);
    return;
  }
  jobs::Job* job = add_job(value, version);
  if (!job)
    return;
  workers_.adopt_stray_instances(*job);
  if (!batch_key.empty()) {
    job->has_own_key = false;
    state_writer_.batches().add_live_job(batch_key, job->index);
    if (settings_.tunables.fair_admission <= 0)
      state_writer_.move_to_own_key(*job);
  }
  dependencies_.add(*job);
  dependencies_.propagate_urgency();
  if (!job->is_held()) {
    if (offloading_expected_ && may_be_offloaded(*job))
      hold_for_offloading(*job);
    scheduler_.record_arrival(*job);
    scheduler_.on_job_ready(*job);
  }
  process_dependencies();
}

jobs::Job* Controller::add_job(const wire::Value& value, std::uint64_t version) {
  auto spec = wire::parse_job(value);
  if (!spec) {
    spdlog::error("load: malformed job record error=\"{}\"", spec.error().text());
    return nullptr;
  }
  // Versions without job dependencies record no submission time; the job then counts as submitted now.
  const auto submitted_at = wire::submitted_at(value);
  const auto origin_cell = wire::text(value, jobs::kOriginCellField);
  if (origin_cell)
    spec->priority = wire::Priority::low;  // a foreign job yields to all jobs of this cell
  const std::size_t known_teams = registry_.teams.size();
  jobs::Job& job = registry_.add(*spec, version, submitted_at ? to_steady_time(*submitted_at) : out_.now());
  if (registry_.teams.size() > known_teams)
    spdlog::warn(
        "load: job of a team that the settings do not name, its tasks are not started ref={} team={}",
        spec->ref, spec->team);
  if (origin_cell)
    job.origin_cell = *origin_cell;
  return &job;
}

Seconds Controller::to_steady_time(double time_of_day) const {
  return out_.now() - std::max(0.0, out_.time_of_day() - time_of_day);
}

void Controller::complete_if_done(jobs::Job& job) {
  if (!job.is_open() || job.is_service() || job.done_tasks < job.spec.tasks)
    return;
  state_writer_.record_final_state(job, wire::Phase::done, {});
}

void Controller::on_job_final(jobs::Job& job) {
  on_final_state(job.spec.ref, {job.final_phase, job.spec.tasks, out_.time_of_day()});
  ++(job.final_phase == wire::Phase::done ? stats_.jobs_done : stats_.jobs_cancelled);
  spdlog::info(
      "jobs: final ref={} class={} team={} phase={} after_s={:.1f} last_start_after_s={:.1f} "
      "estimated_run_time_s={:.1f} restarted_tasks={} tasks={}",
      job.spec.ref, job.spec.job_class, job.spec.team, wire::phase_name(job.final_phase),
      out_.now() - job.eligible_since, std::max(0.0, job.last_start_at - job.eligible_since),
      scheduler_.estimated_run_time(job), job.lost_starts, job.spec.tasks);
  remote_placements_.on_job_over(job.spec.ref);
  stats_.offered_jobs_ended += !job.origin_cell.empty();
  scheduler_.on_job_over(job);
  registry_.erase_if_over(job);
  process_dependencies();
}

}  // namespace wingtrail::controller
