// What this node knows of jobs on sheets, and its part of the state service's budget.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/controller.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kFollowEvery = 0.5;  // a flood writes many sheets a second; nobody needs each at once
constexpr Seconds kRetry = 0.3;
constexpr Seconds kHeardOf = 5;  // a process that greets its peers is known to them by then
constexpr int kAskAtOnce = 8;
constexpr Seconds kCalm = 5;  // without a refusal, after which overload is over
}  // namespace

// ---------------------------------------------------------------- the budget

// Whether every node admits on sheets: none is of a version, or has settings, that would not find the jobs.
bool Controller::all_admit() const {
  return settings_.tunables.fair_admission > 0 &&
         std::all_of(peers_.begin(), peers_.end(),
                     [](const PeerView& p) { return p.admission.value_or(false); });
}

// A peer that keeps to no shares uses the fixed part that it always had, and so do the others then.
bool Controller::fixed_parts() const {
  return std::any_of(peers_.begin(), peers_.end(),
                     [](const PeerView& p) { return p.admission && !*p.admission; });
}

store::StateClient::BudgetShare Controller::state_parts() const {
  const bool leads = election_.may_act();
  if (!fixed_parts())
    return {request_shares_.own_share(out_.now(), leads), write_shares_.own_share(out_.now(), leads), false};
  const double part = store::StateClient::default_share(election_.holds_leadership(), peers_.size());
  return {part, part, true};
}

// One line when submissions begin to be put off, and one when that is over.
void Controller::tell_admission() {
  const std::uint64_t put_off = creation_queue_.counts().deferred;
  if (put_off != put_off_told_) {
    put_off_told_ = put_off;
    last_put_off_ = out_.now();
    if (!pressed_) {
      pressed_ = true;
      pressed_since_ = out_.now();
      std::string most;
      std::uint64_t n = 0;
      for (const auto& [who, count] : creation_queue_.deferred_by_class()) {
        if (count > n)
          n = count, most = who.second + " of " + who.first;
      }
      spdlog::info("overload: submissions are put off, so far most often {}; {:.0f} % of the budget is ours",
                   most, 100 * state_parts().writes);
    }
  }
  if (pressed_ && out_.now() > last_put_off_ + kCalm) {
    pressed_ = false;
    spdlog::info("overload is over after {:.0f} s; put off so far: {}", last_put_off_ - pressed_since_,
                 put_off);
  }
}

// ---------------------------------------------------------------- the index

// Whether there may be sheets that this node does not know of. Where no node writes any, it has to have
// looked once, after those that took it for its own earlier life have heard of this one.
bool Controller::sheets_matter() const {
  if (!batch_index_.complete() || !batch_index_.empty() || settings_.tunables.fair_admission > 0)
    return true;
  if (index_read_ < started_at_ + kHeardOf)
    return true;
  return std::any_of(peers_.begin(), peers_.end(), [](const PeerView& p) {
    return p.admission.value_or(p.level.value_or(peer::kLevelBatches) >= peer::kLevelBatches);
  });
}

void Controller::read_sheets(const std::string& after) {
  store_.list(jobs::kBatchPrefix, after, [this, after](const store::Reply& r) {
    auto range = r.status == 200 ? wire::parse_range(r.body) : wire::malformed("");
    if (!range) {
      for (const auto& then : std::exchange(to_catch_up_, {}))
        then(false);
      return out_.after(kRetry, [this, after] { read_sheets(after); });
    }
    if (after.empty())
      sheets_revision_ = range->revision, index_since_ = out_.now();
    for (const wire::Item& i : range->items)
      batch_index_.add_batch(i.key, i.value);
    if (range->more && !range->items.empty())
      return read_sheets(range->items.back().key);
    // Later than the first part was read, some may have come to it or gone from it; the changes tell.
    batch_index_.advance_to(sheets_revision_, out_.now());
    reading_sheets_ = false;
    catch_up_now();
    // Where no sheets are written there is nothing to follow; it is looked up when somebody asks.
    if (settings_.tunables.fair_admission > 0)
      follow_sheets();
  });
}

void Controller::follow_sheets() {
  store_.watch(jobs::kBatchPrefix, batch_index_.revision(), [this](const store::Reply& r) {
    auto changes = r.status == 200 ? wire::parse_changes(r.body) : wire::malformed("");
    if (changes)
      take_changes(*changes);
    if (r.status == 410)
      return read_anew();
    out_.after(changes ? kFollowEvery : kRetry, [this] { follow_sheets(); });
  });
}

// The service no longer tells what has changed since: all is read again.
void Controller::read_anew() {
  if (reading_sheets_)
    return;
  reading_sheets_ = true;
  batch_index_.reset();
  read_sheets("");
}

void Controller::take_changes(const wire::Changes& changes) {
  // Two readings may overtake each other; what an older one tells is known.
  if (changes.revision < batch_index_.revision())
    return;
  for (const wire::Change& c : changes.events)
    c.deleted ? batch_index_.remove_batch(c.key, out_.now()) : batch_index_.add_batch(c.key, c.value);
  batch_index_.advance_to(changes.revision, out_.now());
}

// Runs `then` when the index holds all that was there at this moment; with false if that cannot be had now.
void Controller::catch_up(std::function<void(bool)> then) {
  to_catch_up_.push_back(std::move(then));
  if (!catching_up_)
    catch_up_now();
}

void Controller::catch_up_now() {
  if (to_catch_up_.empty())
    return;
  if (!batch_index_.complete())
    return read_anew();
  catching_up_ = true;
  store_.read_changes(
      jobs::kBatchPrefix, batch_index_.revision(),
      [this, asked = out_.now(), waiting = std::exchange(to_catch_up_, {})](const store::Reply& r) {
        catching_up_ = false;
        auto changes = r.status == 200 ? wire::parse_changes(r.body) : wire::malformed("");
        if (changes) {
          take_changes(*changes);
          index_read_ = asked;
        }
        for (const auto& then : waiting)
          then(bool(changes));
        if (r.status == 410 && settings_.tunables.fair_admission <= 0)
          read_anew();
        catch_up_now();  // those that came meanwhile need one that began after
      });
}

// The job has no key and no final state, as of a moment ago. It is unknown unless it is on a sheet.
void Controller::fresh_on_sheets(const std::string& ref, store::RequestPriority urgency, bool need_spec,
                                 Seconds asked, const OnFresh& then) {
  catch_up([this, ref, urgency, need_spec, asked, then, term = term_](bool good) {
    // An index read anew since has forgotten which sheets went lately.
    if (!good || index_since_ >= asked)
      return then(503, {}, nullptr);
    const auto key = batch_index_.find(ref);
    // Its sheet went while it was looked for: it has become final, and asking again will tell.
    if (!key && batch_index_.recently_removed(ref))
      return then(503, {}, nullptr);
    if (!key)
      return then(404, {}, nullptr);
    if (!need_spec) {
      // It may have ended while it was looked for.
      wire::Transaction txn;
      txn.require(jobs::kFinalStatePrefix + ref, 0);
      return store_.transact(std::move(txn), urgency, ports::kNever, [then](const store::Reply& r) {
        r.status == 200 ? then(200, wire::Phase::queued, nullptr) : then(503, {}, nullptr);
      });
    }
    store_.get(*key, urgency, [ref, then, term](const store::Reply& r) {
      const auto item = r.status == 200 ? wire::parse_item(r.body) : wire::malformed("");
      wire::Value found;
      if (item)
        jobs::for_each_record(item->value, [&](const std::string& name, const wire::Value& record) {
          if (name == ref)
            found = record;
        });
      if (found.is_null())
        return then(503, {}, nullptr);
      then(200, wire::Phase::queued, live_record(found, *item, term));
    });
  });
}

wire::Value Controller::live_record(const wire::Value& spec, const wire::Item& item, std::uint64_t term) {
  return {{"spec", spec}, {"version", item.version}, {"key", item.key}, {"term", term}};
}

// The leader learns of a job by a read of its own. One that an earlier leadership of this node asked for
// tells nothing: the job may have been ended, and its end told, by a leader in between.
void Controller::found_live(const wire::Value& live) {
  if (live["term"].get<std::uint64_t>() != term_)
    return;
  const auto key = live["key"].get<std::string>();
  job_seen(live["spec"], live["version"].get<std::uint64_t>(), jobs::is_batch_key(key) ? key : "");
}

// ---------------------------------------------------------------- jobs that are over

// A sheet outlives some of its jobs, so who begins to lead asks which have a final state. Nobody but this
// leader can end one any more: earlier leaders' writes are conditioned on their key.
void Controller::drop_over(std::function<void()> then) {
  std::vector<std::string> refs;
  registry_.for_each([&](const jobs::Job& job) {
    if (state_writer_.batches().contains(job.index))
      refs.push_back(job.spec.ref);
  });
  ask_over(std::move(refs), [this, then = std::move(then)](const std::set<std::string>& over) {
    for (const std::string& ref : over) {
      if (const jobs::Job* job = registry_.find(ref))
        state_writer_.batches().on_job_over(job->index);
      registry_.forget(ref);
    }
    state_writer_.delete_empty_batches();
    then();
  });
}

struct Controller::Over {
  std::vector<std::string> refs;
  std::set<std::string> over;
  int open = 0;  // under way, or to be asked again
  bool told = false;
  std::uint64_t term = 0;
  std::function<void(const std::set<std::string>&)> then;
};

void Controller::ask_over(std::vector<std::string> refs,
                          std::function<void(const std::set<std::string>&)> then) {
  auto o = std::make_shared<Over>(Over{std::move(refs), {}, 0, false, term_, std::move(then)});
  for (int n = 0; n < kAskAtOnce; ++n)
    ask_some_over(o);
}

void Controller::ask_some_over(const std::shared_ptr<Over>& o) {
  // Whoever finds nothing left to ask, and nobody still asking, is the last. One that comes back to ask again
  // may find that another has asked for it; once that one, having looked before, left it to nobody, and a
  // leader renewed its lease without ever having read its jobs (looks day of our own, cub-meterlink-hunt:
  // every task was killed by its lease).
  if (o->refs.empty()) {
    if (o->open == 0 && !std::exchange(o->told, true))
      o->then(o->over);
    return;
  }
  wire::Transaction txn;
  std::vector<std::string> asked;
  while (!o->refs.empty() && txn.condition_count() < 4 * settings_.max_transaction_changes) {
    asked.push_back(std::move(o->refs.back()));
    o->refs.pop_back();
    txn.require(jobs::kFinalStatePrefix + asked.back(), 0);
  }
  ++o->open;
  store_.transact(std::move(txn), store::RequestPriority::lease, ports::kNever,
                  [this, o, asked = std::move(asked)](const store::Reply& r) {
                    if (o->term != term_)
                      return;
                    --o->open;
                    if (r.status == 200 || r.status == 409)
                      read_at_ = out_.now();
                    if (r.status != 200 && r.status != 409) {
                      o->refs.insert(o->refs.end(), asked.begin(), asked.end());
                      ++o->open;
                      return out_.after(kRetry, [this, o] {
                        if (o->term != term_)
                          return;
                        --o->open;
                        ask_some_over(o);
                      });
                    }
                    constexpr std::size_t prefix = std::string_view(jobs::kFinalStatePrefix).size();
                    if (r.status == 409) {
                      for (const std::string& key : wire::failed_keys(r.body))
                        o->over.insert(key.substr(prefix));
                    }
                    ask_some_over(o);
                  });
}

}  // namespace wingtrail::controller
