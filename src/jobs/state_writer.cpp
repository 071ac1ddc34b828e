#include "jobs/state_writer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::jobs {
namespace {
constexpr int kStatusOk = 200;
constexpr int kStatusMalformed = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
/// Delay before the records of a failed transaction are written again, in s.
constexpr Seconds kRetryDelay = 0.15;
/// Delay before a page that the state service refuses even by itself is written again, in s.
constexpr Seconds kRefusedDelay = 5;
/// Pages are filled to this fraction of the value limit.
constexpr double kPageFillFraction = 0.85;
constexpr std::size_t kMinPageBytes = 256;
/// Changes of the largest final state: it is put, and the job's own key and its cancellation marker are
/// deleted in the same transaction.
constexpr int kMaxFinalStateChanges = 3;
/// Minimum delay of a rescheduled flush, in s. Without it, a due time that rounding made slightly too early
/// would trigger flushes repeatedly within the same instant.
constexpr Seconds kMinFlushDelay = 0.002;
}  // namespace

StateWriter::StateWriter(ports::Outbox& out, store::StateClient& store, JobRegistry& registry,
                         const settings::Settings& settings, LeadershipView leadership)
    : out_(out),
      store_(store),
      registry_(registry),
      settings_(settings),
      leadership_(std::move(leadership)),
      limits_{static_cast<std::size_t>(settings.state_value_kb * 1024 * kPageFillFraction),
              settings.value_bytes(), settings.max_transaction_changes},
      final_states_(registry, settings),
      cleanup_(registry, batches_),
      completion_pages_(registry, settings, limits_),
      inventory_pages_(limits_) {}

void StateWriter::set_events(Events events) {
  events_ = std::move(events);
  inventory_pages_.set_record_source(events_.machine_record);
}

void StateWriter::begin_leadership() {
  end_leadership();
  active_ = true;
}

void StateWriter::end_leadership() {
  active_ = false;
  in_flight_ = false;
  flush_scheduled_ = false;
  ++term_;
  final_states_.clear();
  batches_.clear();
  cleanup_.clear();
  completion_pages_.clear();
  inventory_pages_.clear();
}

bool StateWriter::load_completion_page(const std::string& key, const wire::Value& value,
                                       std::uint64_t version) {
  return completion_pages_.load(key, value, version, out_.now());
}

bool StateWriter::load_inventory_page(const std::string& key, const wire::Value& value, std::uint64_t version,
                                      const InventoryPages::AddMachine& add_machine) {
  return inventory_pages_.load(key, value, version, out_.now(), add_machine);
}

void StateWriter::record_final_state(Job& job, wire::Phase phase, std::function<void()> then) {
  if (then)
    final_states_.add_waiter(job.index, std::move(then));
  if (job.final_state_pending)
    return;  // the first final state wins; none has been reported to a user yet
  final_states_.decide(job, phase,
                       phase == wire::Phase::cancelled ? RecordKind::cancelled : RecordKind::completed,
                       out_.now());
  schedule_flush(0);
}

void StateWriter::record_orphan(Job& job) {
  if (job.final_state_pending)
    return;
  final_states_.decide(job, wire::Phase::cancelled, RecordKind::orphaned, job.orphaned_at);
  schedule_flush(0);
}

std::optional<Seconds> StateWriter::oldest_unrecorded(RecordKind kind) const {
  return final_states_.oldest_unrecorded(kind);
}

StateWriter::Backlogs StateWriter::backlogs() const {
  return final_states_.backlogs(out_.now());
}

void StateWriter::record_completion(Job& job, std::uint32_t task, MachineIndex machine,
                                    std::uint64_t attempt) {
  completion_pages_.add(job, {machine, task, attempt}, out_.now());
  schedule_flush(settings_.tunables.progress_flush_s);
}

void StateWriter::add_machine(MachineIndex machine) {
  inventory_pages_.add(machine, out_.now());
  schedule_flush(InventoryPages::kJoinDelay);
}

void StateWriter::refresh_machine(MachineIndex machine) {
  if (inventory_pages_.refresh(machine, out_.now()))
    schedule_flush(InventoryPages::kRefreshDelay);
}

void StateWriter::remove_machine(MachineIndex machine) {
  if (inventory_pages_.remove(machine, out_.now()))
    schedule_flush(InventoryPages::kRemovalDelay);
}

void StateWriter::schedule_flush(Seconds delay) {
  const Seconds at = out_.now() + delay;
  if (flush_scheduled_ && flush_scheduled_at_ <= at)
    return;
  flush_scheduled_ = true;
  flush_scheduled_at_ = at;
  out_.after(delay, [this, term = term_, at] {
    if (term != term_ || !flush_scheduled_ || flush_scheduled_at_ != at)
      return;
    flush_scheduled_ = false;
    flush();
  });
}

void StateWriter::delete_empty_batches() {
  for (std::string& key : batches_.take_empty())
    cleanup_.delete_later(std::move(key));
  if (cleanup_.has_deletions())
    schedule_flush(RecordCleanup::kDelay);
}

void StateWriter::delete_later(std::string key) {
  cleanup_.delete_later(std::move(key));
  schedule_flush(RecordCleanup::kDelay);
}

void StateWriter::move_to_own_key(Job& job) {
  if (!batches_.contains(job.index))
    return;
  cleanup_.move_to_own_key(job.index);
  schedule_flush(RecordCleanup::kDelay);
}

void StateWriter::add_final_state(wire::Transaction& transaction, const Job& job) {
  const std::string own_key = kLiveJobPrefix + job.spec.ref;
  transaction.put(kFinalStatePrefix + job.spec.ref,
                  wire::final_state_record({job.final_phase, job.spec.tasks, out_.time_of_day()}));
  // A job of a batch may also have a key of its own that this leader has not seen: another controller wrote
  // it for a retried submission. If it stayed, the job would be live again for the next leader, so the
  // transaction requires that the key is absent.
  if (job.has_own_key)
    transaction.erase(own_key);
  else
    transaction.require(own_key, 0);
  if (job.has_cancellation_marker)
    transaction.erase(own_key + kCancellationSuffix);
}

void StateWriter::add_inventory_pages(wire::Transaction& transaction, Commit& commit, TransactionSpace& space,
                                      PageUrgency least) {
  for (InventoryPages::Write& write : inventory_pages_.add_due(transaction, space, least, out_.now())) {
    commit.inventory.push_back(std::move(write));
    ++writes_.inventory;
  }
}

void StateWriter::add_cleanup(wire::Transaction& transaction, Commit& commit, TransactionSpace& space) {
  if (transaction.change_count() == 0 && out_.now() < cleanup_.next_due_at())
    return;
  cleanup_.add_deletions(transaction, space, commit.cleanup, out_.now());
  writes_.deletions += commit.cleanup.deletions.size();
  if (commit.selection.final_states.empty())
    cleanup_.add_moves_to_own_key(transaction, space, commit.cleanup, out_);
}

// Final states and due pages are limited by their shares of the changes. Opportunistic inventory pages and
// cleanup get the changes that remain.
StateWriter::Commit StateWriter::assemble(wire::Transaction& transaction) {
  const Seconds now = out_.now();
  Commit commit;
  commit.selection = final_states_.select(
      {limits_.changes, inventory_pages_.due_count(now), completion_pages_.due_count(now)}, now);
  for (const JobIndex job : commit.selection.final_states)
    add_final_state(transaction, *registry_.job_at(job));
  TransactionSpace space;
  space.changes = commit.selection.inventory_changes + commit.selection.unassigned_changes;
  add_inventory_pages(transaction, commit, space, PageUrgency::soon);
  const bool machines_wait =
      std::any_of(commit.inventory.begin(), commit.inventory.end(),
                  [](const InventoryPages::Write& write) { return write.urgency == PageUrgency::now; });
  commit.users_wait = !commit.selection.final_states.empty() || machines_wait;
  space.changes += commit.selection.completion_changes;
  commit.completions = completion_pages_.add_due(transaction, space, now);
  writes_.completions += commit.completions.size();
  add_inventory_pages(transaction, commit, space, PageUrgency::opportunistic);
  add_cleanup(transaction, commit, space);
  commit.change_count = transaction.change_count();
  return commit;
}

void StateWriter::flush() {
  if (!active_ || in_flight_)
    return;
  if (out_.now() >= leadership_.lease_expires_at())
    return schedule_flush(kRetryDelay);
  wire::Transaction transaction;
  transaction.require(leadership_.leader_key, leadership_.fencing_token());
  Commit commit = assemble(transaction);
  if (commit.change_count == 0)
    return reschedule_flush();
  in_flight_ = true;
  for (const JobIndex index : commit.selection.final_states) {
    if (!std::exchange(registry_.job_at(index)->final_state_sent, true))
      commit.first_sent.push_back(index);
  }
  const auto priority = commit.users_wait ? store::RequestPriority::user : store::RequestPriority::background;
  store_.transact(std::move(transaction), priority, leadership_.lease_expires_at(),
                  [this, term = term_, commit = std::move(commit)](const store::Reply& reply) {
                    if (term == term_)
                      on_reply(reply, commit);
                  });
}

void StateWriter::on_reply(const store::Reply& reply, const Commit& commit) {
  in_flight_ = false;
  if (reply.delivered)
    final_states_.count_deferred(commit.selection);
  for (const JobIndex index : commit.first_sent)
    registry_.job_at(index)->final_state_sent = reply.delivered;
  if (reply.status == kStatusOk)
    return on_committed(commit, wire::revision(reply.body).value_or(0));
  if (reply.status == kStatusConflict && !conflicts_with_own_write(reply.body, commit))
    return leadership_.on_superseded();
  on_commit_failed(commit);
  if (reply.status == kStatusMalformed)
    on_commit_malformed(commit);
}

void StateWriter::reschedule_flush() {
  Seconds at = ports::kNever;
  if (!final_states_.empty())
    at = out_.now();
  if (!cleanup_.empty())
    at = std::min(at, std::max(out_.now(), cleanup_.next_due_at()));
  at = std::min({at, completion_pages_.next_due_at(), inventory_pages_.next_due_at()});
  if (at != ports::kNever)
    schedule_flush(std::max(kMinFlushDelay, at - out_.now()));
}

// Returns false if another controller may lead, true if the conflict has one of these causes: a job of a
// batch has got a key of its own; or an earlier transaction of this leader was applied although its reply was
// lost, so that a job that was to get a key of its own already has a final state, or a page has changed.
bool StateWriter::conflicts_with_own_write(const wire::Value& refusal, const Commit& commit) {
  const auto keys = wire::failed_keys(refusal);
  const auto has = [&keys](const std::string& key) {
    return std::find(keys.begin(), keys.end(), key) != keys.end();
  };
  if (keys.empty() || has(leadership_.leader_key))
    return false;
  for (const JobIndex index : commit.selection.final_states) {
    Job& job = *registry_.job_at(index);
    if (has(kLiveJobPrefix + job.spec.ref))
      job.has_own_key = true;
  }
  for (const CompletionPages::Write& write : commit.completions) {
    if (!has(CompletionPages::key(write.page)))
      continue;
    ++page_lookups_;
    look_up_version(completion_pages_, write.page);
  }
  for (const InventoryPages::Write& write : commit.inventory) {
    if (!has(InventoryPages::key(write.page)))
      continue;
    ++page_lookups_;
    look_up_version(inventory_pages_, write.page);
  }
  return true;
}

// Reads the page's version again. Only this leader writes its pages, so a transaction of its own whose reply
// was lost has changed the page. The page is written again once its version is known, and requires that
// version.
template <typename Pages>
void StateWriter::look_up_version(Pages& pages, std::size_t page) {
  pages.begin_version_lookup(page);
  store_.get(Pages::key(page), store::RequestPriority::lease,
             [this, &pages, page, term = term_](const store::Reply& reply) {
               if (term != term_)
                 return;
               const auto item =
                   reply.status == kStatusOk ? wire::parse_item(reply.body) : wire::malformed("");
               if (!item && reply.status != kStatusNotFound)
                 return out_.after(kRetryDelay, [this, &pages, page, term] {
                   if (term == term_)
                     look_up_version(pages, page);
                 });
               pages.end_version_lookup(page, item ? item->version : 0);
               schedule_flush(0);
             });
}

// Writing a record twice is harmless, so all records whose outcome is unknown are written again.
void StateWriter::on_commit_failed(const Commit& commit) {
  final_states_.restore(commit.selection);
  for (const CompletionPages::Write& write : commit.completions)
    completion_pages_.restore(write, out_.now());
  for (const InventoryPages::Write& write : commit.inventory)
    inventory_pages_.restore(write, out_.now());
  cleanup_.restore(commit.cleanup);
  schedule_flush(kRetryDelay);
}

// The state service refused the transaction as malformed and would refuse it again: its limits are lower than
// the settings say. Later transactions hold fewer records. A record that is refused by itself is retried
// later, so that it does not block the others.
void StateWriter::on_commit_malformed(const Commit& commit) {
  ++malformed_commits_;
  spdlog::error("state_writer: transaction refused status=malformed changes={} records={}",
                commit.change_count, commit.record_count());
  if (commit.record_count() > 1) {
    limits_.changes = std::max(kMaxFinalStateChanges, commit.change_count / 2);
    if (limits_.changes < commit.change_count)
      return;
  }
  const auto lower_page_limit = [this](std::size_t refused_bytes) {
    limits_.page_bytes = std::max(kMinPageBytes, std::min(limits_.page_bytes, refused_bytes / 2));
  };
  const Seconds retry_at = out_.now() + kRefusedDelay;
  for (const CompletionPages::Write& write : commit.completions)
    lower_page_limit(completion_pages_.on_refused(write, retry_at));
  for (const InventoryPages::Write& write : commit.inventory)
    lower_page_limit(inventory_pages_.on_refused(write, retry_at));
  for (const JobIndex index : commit.selection.final_states) {
    Job& job = *registry_.job_at(index);
    spdlog::error("state_writer: final state refused job={}", job.spec.ref);
    final_states_.move_to_back(job, out_.now());
  }
}

void StateWriter::on_committed(const Commit& commit, std::uint64_t revision) {
  ++commits_;
  if (!on_final_states_committed(commit))
    return;
  delete_empty_batches();
  for (const JobIndex index : commit.cleanup.moved_to_own_key) {
    if (registry_.job_at(index))
      batches_.on_job_over(index);
  }
  delete_empty_batches();
  on_pages_committed(commit, revision);
}

// Returns false if one of the callbacks ended the leadership.
bool StateWriter::on_final_states_committed(const Commit& commit) {
  const std::uint64_t term = term_;
  for (const JobIndex index : commit.selection.final_states) {
    Job& job = *registry_.job_at(index);
    job.final_state_recorded = true;
    final_states_.on_recorded(job);
    writes_.final_states += static_cast<std::uint64_t>(final_state_changes(job));
    batches_.on_job_over(index);
    events_.on_completions_persisted(completion_pages_.remove_job(job));
    const auto waiters = final_states_.take_waiters(index);
    events_.on_final_state(job);
    for (const auto& then : waiters)
      then();
    if (term != term_)
      return false;
  }
  return true;
}

void StateWriter::on_pages_committed(const Commit& commit, std::uint64_t revision) {
  const std::uint64_t term = term_;
  for (const CompletionPages::Write& write : commit.completions)
    events_.on_completions_persisted(completion_pages_.on_written(write, revision));
  for (const InventoryPages::Write& write : commit.inventory) {
    inventory_pages_.on_written(write, revision);
    for (const MachineIndex machine : write.joining) {
      if (!inventory_pages_.mark_recorded(machine))
        continue;  // the machine was removed meanwhile
      events_.on_machine_recorded(machine);
      if (term != term_)
        return;  // the callback ended the leadership
    }
  }
  reschedule_flush();
}

}  // namespace wingtrail::jobs
