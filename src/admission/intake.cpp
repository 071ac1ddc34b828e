#include "admission/intake.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "jobs/ledger.hpp"

namespace wingtrail::admission {
namespace {
constexpr Seconds kPatience = 1.0;  // what would wait for longer than that is told so at once
constexpr Seconds kRefused = 0.1;   // after the service itself said that the budget is used up
constexpr int kAtOnce = 4;
constexpr std::size_t kClassesKept = 1000;  // any user may name a new one

std::vector<double> weights(const settings::Settings& settings) {
  std::vector<double> out;
  for (const auto& t : settings.teams)
    out.push_back(t.cpus);
  return out;
}
}  // namespace

Intake::Intake(ports::Outbox& out, store::Client& store, const settings::Settings& settings, std::string life)
    : out_(out),
      store_(store),
      settings_(settings),
      life_(std::move(life)),
      on_(settings.tunables.admission > 0),
      turns_(weights(settings)),
      // Two conditions for each job, and one for the sheet itself.
      most_(std::max<std::size_t>(1, static_cast<std::size_t>(4 * settings.txn_ops - 1) / 2)) {
  for (const auto& t : settings.teams)
    teams_.add(t.name);
}

bool Intake::waits(const std::string& ref) const {
  const auto it = by_ref_.find(ref);
  return it != by_ref_.end() && !wishes_.at(it->second).sent;
}

void Intake::offer(const wire::JobSpec& spec, const wire::Value& record, Then then) {
  // A retry joins the try that is under way, and has its turn.
  if (const auto known = by_ref_.find(spec.ref); on_ && known != by_ref_.end()) {
    wishes_.at(known->second).thens.push_back(std::move(then));
    return;
  }
  Wish wish;
  wish.ref = spec.ref;
  wish.team = spec.team;
  wish.job_class = spec.job_class;
  wish.record = record;
  wish.team_ix = teams_.add(spec.team);
  wish.class_ix = classes_.size() < kClassesKept ? classes_.add(spec.job_class) : 0;
  wish.came = out_.now();
  wish.thens.push_back(std::move(then));
  const Turns::Id id = ++last_id_;
  if (!on_ || (fixed_parts && fixed_parts())) {
    wish.direct = true;
    wishes_.emplace(id, std::move(wish));
    return single(id);
  }
  // A retry keeps its place, whichever node refused it before.
  const auto first = tries_.first(spec.ref);
  wish.since = first ? std::min(out_.now(), out_.now() - (out_.time_of_day() - *first)) : out_.now();
  const Seconds wait = turn(wish.team_ix, wish.class_ix, wish.since);
  const auto [team, job_class, since] = std::tuple(wish.team_ix, wish.class_ix, wish.since);
  wish.bytes = record.dump().size() + 1;
  by_ref_.emplace(wish.ref, id);
  wishes_.emplace(id, std::move(wish));
  if (wait > kPatience)
    return put_off(id);
  turns_.add(team, job_class, id, since);
  pump();
}

// How long until one that joins that class now is sent.
Seconds Intake::turn(Ix team, Ix job_class, Seconds since) const {
  const double ahead = turns_.ahead(team, job_class, since);
  const double together = sheets_allowed && sheets_allowed() ? static_cast<double>(most_) : 1;
  const double per_s = std::max(0.1, store_.write_rate());
  return std::max(0.0, refused_until_ - out_.now()) + ahead / together / per_s +
         store_.ready_in(store::Urgency::admission, 1);
}

void Intake::arm(Seconds delay) {
  const Seconds at = out_.now() + std::max(delay, 0.002);
  if (armed_at_ <= at)
    return;
  armed_at_ = at;
  out_.after(at - out_.now(), [this, at] {
    if (armed_at_ != at)
      return;
    armed_at_ = ports::kNever;
    pump();
  });
}

void Intake::pump() {
  if (out_.now() >= dropped_at_ + kPatience / 4) {
    dropped_at_ = out_.now();
    std::vector<Turns::Id> late;
    turns_.drop([&](Turns::Id id) {
      if (out_.now() < wishes_.at(id).came + 1.5 * kPatience)
        return false;
      late.push_back(id);
      return true;
    });
    for (const Turns::Id id : late)
      put_off(id);
  }
  while (turns_.size() > 0) {
    if (out_.now() < refused_until_)
      return arm(refused_until_ - out_.now());
    if (in_flight_ >= kAtOnce)
      return;
    // What is under way gathers the next. Only when it takes longer than answers usually do does one go
    // beside it.
    const Seconds usual = store_.usual();
    if (in_flight_ > 0 && out_.now() < sent_at_ + usual)
      return arm(sent_at_ + usual - out_.now());
    if (const Seconds wait = store_.ready_in(store::Urgency::admission, 1); wait > 0)
      return arm(wait);
    if (!send())
      return;
  }
}

bool Intake::send() {
  const bool together = sheets_allowed && sheets_allowed();
  Batch batch;
  std::size_t bytes = 2;
  while (batch.size() < (together ? most_ : 1)) {
    const auto id = turns_.take();
    if (!id)
      break;
    Wish& w = wishes_.at(*id);
    if (!batch.empty() && bytes + w.bytes > settings_.value_bytes()) {
      turns_.add(w.team_ix, w.class_ix, *id, w.since);
      break;
    }
    bytes += w.bytes;
    w.sent = true;
    batch.push_back(*id);
  }
  if (batch.empty())
    return false;
  ++in_flight_;
  sent_at_ = out_.now();
  if (batch.size() == 1)
    return single(batch.front()), true;
  const std::string key = jobs::kSheet + settings_.node + "/" + life_ + "/" + std::to_string(++last_sheet_);
  ++counts_.sheets;
  sheet(std::move(batch), key);
  return true;
}

void Intake::single(Turns::Id id) {
  const Wish& w = wishes_.at(id);
  wire::Txn txn;
  txn.require(jobs::kLive + w.ref, 0).require(jobs::kFinal + w.ref, 0);
  txn.put(jobs::kLive + w.ref, w.record);
  store_.txn(std::move(txn), w.direct ? store::Urgency::user : store::Urgency::admission, ports::kNever,
             [this, id](const store::Reply& r) { answered({id}, "", r); });
}

void Intake::sheet(Batch batch, const std::string& key) {
  wire::Txn txn;
  txn.require(key, 0);
  wire::Value records = wire::Value::array();
  for (const Turns::Id id : batch) {
    const Wish& w = wishes_.at(id);
    txn.require(jobs::kLive + w.ref, 0).require(jobs::kFinal + w.ref, 0);
    records.push_back(w.record);
  }
  txn.put(key, std::move(records));
  store_.txn(std::move(txn), store::Urgency::admission, ports::kNever,
             [this, batch = std::move(batch), key](const store::Reply& r) { answered(batch, key, r); });
}

void Intake::answered(const Batch& batch, const std::string& key, const store::Reply& r) {
  const bool direct = wishes_.at(batch.front()).direct;
  if (!direct)
    --in_flight_;
  if (r.status == 200) {
    if (!key.empty())
      counts_.on_sheets += batch.size();
    const std::uint64_t revision = wire::revision(r.body).value_or(0);
    for (const Turns::Id id : batch) {
      if (tries_.size() > 0)
        tries_.settled(wishes_.at(id).ref);
      settle(id, {Outcome::created, revision, key});
    }
  } else if (r.status == 409) {
    const auto failed = wire::failed_keys(r.body);
    const auto has = [&failed](const std::string& k) {
      return std::find(failed.begin(), failed.end(), k) != failed.end();
    };
    // The others had their turn; a job that two users' tries bring at once must not hold them up.
    for (auto it = batch.rbegin(); it != batch.rend(); ++it) {
      const std::string& ref = wishes_.at(*it).ref;
      if (batch.size() == 1 || has(jobs::kLive + ref) || has(jobs::kFinal + ref)) {
        ++counts_.conflicts;
        settle(*it, {Outcome::exists});
      } else {
        again(*it);
      }
    }
  } else if (r.status == 429 && !direct) {
    if (r.delivered)
      refused_until_ = out_.now() + kRefused;
    for (auto it = batch.rbegin(); it != batch.rend(); ++it)
      again(*it);
  } else if (r.status == 400 && batch.size() > 1) {
    // Its limits are lower than the settings say: fewer go together from now on.
    most_ = std::max<std::size_t>(1, batch.size() / 2);
    spdlog::error("the state service calls a sheet of {} jobs malformed", batch.size());
    for (auto it = batch.rbegin(); it != batch.rend(); ++it)
      again(*it);
  } else {
    if (r.status == 400)
      spdlog::error("{}: the state service calls its creation malformed", wishes_.at(batch.front()).ref);
    for (const Turns::Id id : batch)
      settle(id, {r.status == 429 ? Outcome::later : Outcome::unserved});
  }
  if (!direct)
    pump();
}

void Intake::again(Turns::Id id) {
  Wish& w = wishes_.at(id);
  if (out_.now() >= w.came + 1.5 * kPatience)
    return put_off(id);
  w.sent = false;
  turns_.add(w.team_ix, w.class_ix, id, w.since);
}

void Intake::put_off(Turns::Id id) {
  const Wish& w = wishes_.at(id);
  ++counts_.put_off;
  if (put_off_.size() < kClassesKept)
    ++put_off_[{w.team, w.job_class}];
  tries_.put_off(w.ref, out_.time_of_day() - (out_.now() - w.since), out_.time_of_day());
  settle(id, {Outcome::later, 0, "", std::max(1.0, turn(w.team_ix, w.class_ix, w.since))});
}

void Intake::settle(Turns::Id id, const Result& result) {
  auto wish = wishes_.extract(id);
  if (!wish.mapped().direct)
    by_ref_.erase(wish.mapped().ref);
  // Who joined later is told what is so now: since the try went out, the job may have been created otherwise,
  // and have ended.
  bool first = true;
  for (const Then& then : wish.mapped().thens) {
    then(first || result.outcome != Outcome::created ? result : Result{Outcome::exists});
    first = false;
  }
}

}  // namespace wingtrail::admission
