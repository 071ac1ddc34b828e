#include "jobs/completion_pages.hpp"

#include <algorithm>

namespace wingtrail::jobs {
namespace {
/// Tolerance for rounding errors in due times, in s: a page that is due within this time counts as due.
constexpr Seconds kRounding = 1e-6;
}  // namespace

void CompletionPages::clear() {
  pages_.clear();
  awaiting_.clear();
}

wire::Value CompletionPages::encode(std::size_t page) const {
  wire::Value list = wire::Value::array();
  for (const Chunk& chunk : pages_[page].entries) {
    const Job* job = registry_.job_at(chunk.job);
    if (!job || job->final_state_recorded)
      continue;
    wire::Value entry = codec_.encode(*job, chunk.number);
    entry["ref"] = job->spec.ref;
    list.push_back(std::move(entry));
  }
  return list;
}

bool CompletionPages::load(const std::string& key, const wire::Value& value, std::uint64_t version,
                           Seconds now) {
  const auto page = page_number(key);
  if (page)
    pages_.set_version(*page, version);
  if (!page || !value.is_array())
    return false;
  bool well_formed = true;
  for (const wire::Value& entry : value) {
    Job* job = registry_.find(wire::text(entry, "ref").value_or(""));
    if (!job)
      continue;  // the job is over; the next write of the page leaves it out
    const bool decoded = codec_.decode(
        entry, job->spec.tasks, [&](std::uint32_t task) { registry_.complete_task(*job, task, kNoIndex); });
    well_formed &= decoded;
    if (!decoded)
      continue;
    const auto [first, last] = codec_.chunk_range(entry, job->spec.tasks);
    for (std::uint32_t number = first; number <= last; ++number)
      pages_.add_stored({job->index, number}, codec_.max_encoded_bytes(*job, number), *page, now);
  }
  return well_formed;
}

void CompletionPages::add(const Job& job, const CompletedTask& completed, Seconds now) {
  const Chunk chunk{job.index, codec_.chunk_of(completed.task)};
  awaiting_[chunk].push_back(completed);
  const std::size_t bytes = codec_.max_encoded_bytes(job, chunk.number);
  pages_.mark_due(pages_.assign(chunk, bytes, limits_.page_bytes), PageUrgency::soon, now);
}

std::vector<CompletedTask> CompletionPages::remove_job(const Job& job) {
  std::vector<CompletedTask> awaited;
  for (std::uint32_t number = 0; number < codec_.chunks(job); ++number) {
    const Chunk chunk{job.index, number};
    if (const auto node = awaiting_.extract(chunk); !node.empty())
      awaited.insert(awaited.end(), node.mapped().begin(), node.mapped().end());
    pages_.remove(chunk);
  }
  return awaited;
}

Seconds CompletionPages::due_at(std::size_t page) const {
  return pages_[page].due_since + settings_.tunables.progress_flush_s;
}

int CompletionPages::due_count(Seconds now) const {
  const auto& due = pages_.due_pages();
  return static_cast<int>(std::count_if(due.begin(), due.end(), [this, now](std::size_t page) {
    return pages_.is_writable(page) && due_at(page) <= now + kRounding;
  }));
}

Seconds CompletionPages::next_due_at() const {
  Seconds next = ports::kNever;
  for (const std::size_t page : pages_.due_pages()) {
    if (pages_.is_writable(page))
      next = std::min(next, due_at(page));
  }
  return next;
}

std::vector<CompletionPages::Covered> CompletionPages::take_awaiting(const std::vector<Chunk>& chunks) {
  std::vector<Covered> covered;
  for (const Chunk& chunk : chunks) {
    const auto node = awaiting_.extract(chunk);
    if (node.empty())
      continue;
    for (const CompletedTask& task : node.mapped())
      covered.push_back({chunk, task});
  }
  return covered;
}

std::vector<CompletionPages::Write> CompletionPages::add_due(wire::Transaction& transaction,
                                                             TransactionSpace& space, Seconds now) {
  std::vector<Write> writes;
  const std::vector<std::size_t> due(pages_.due_pages().begin(), pages_.due_pages().end());
  for (const std::size_t page : due) {
    if (space.exhausted())
      break;
    const auto& state = pages_[page];
    if (now + kRounding < due_at(page))
      continue;
    PageValue encoded = encode_within_limits(pages_, page, limits_.page_bytes, limits_, now,
                                             [this](std::size_t number) { return encode(number); });
    splits_ += static_cast<std::uint64_t>(encoded.splits);
    if (!encoded.value)
      continue;
    pages_.clear_due(page);
    Write write{page, take_awaiting(state.entries)};
    // A write that covers no task is skipped, as the jobs are over. But a page that blocks another page or is
    // blocked is written, since entries must be stored in their new page before the old one is written.
    if (write.covered.empty() && state.blocks.empty() && state.blocked_by.empty())
      continue;
    transaction.require(key(page), state.version).put(key(page), std::move(*encoded.value));
    writes.push_back(std::move(write));
    space.take(state.bytes);
  }
  return writes;
}

void CompletionPages::restore(const Write& write, Seconds now) {
  for (const Covered& covered : write.covered)
    awaiting_[covered.chunk].push_back(covered.task);
  pages_.mark_due(write.page, PageUrgency::soon, now);
}

std::vector<CompletedTask> CompletionPages::on_written(const Write& write, std::uint64_t revision) {
  pages_.set_version(write.page, revision);
  pages_.on_written(write.page);
  std::vector<CompletedTask> persisted;
  for (const Covered& covered : write.covered)
    persisted.push_back(covered.task);
  return persisted;
}

std::size_t CompletionPages::on_refused(const Write& write, Seconds retry_at) {
  if (pages_[write.page].entries.size() <= 1)
    pages_[write.page].due_since = retry_at;
  return encode(write.page).dump().size();
}

void CompletionPages::begin_version_lookup(std::size_t page) {
  pages_[page].version_lookup_pending = true;
}

void CompletionPages::end_version_lookup(std::size_t page, std::uint64_t version) {
  pages_.set_version(page, version);
  pages_[page].version_lookup_pending = false;
}

}  // namespace wingtrail::jobs
