#include "lead/election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace wingtrail::lead {
namespace {
constexpr double kDrift = 0.0005;  // PROTOCOL: steady clocks differ by up to 0.05%
constexpr Seconds kMargin = 0.05;  // timers and the clock move in steps of some milliseconds
constexpr Seconds kRetry = 0.3;
}  // namespace

Election::Election(ports::Outbox& out, store::Client& store, const settings::Settings& settings,
                   Events events)
    : out_(out), store_(store), settings_(settings), events_(std::move(events)) {}

void Election::start() {
  look();
}

Seconds Election::authority(Seconds sent) const {
  return sent + settings_.tunables.leader_lease_s * (1 - 2 * kDrift) - kMargin;
}

void Election::heard(const std::string& leader, std::uint64_t token) {
  if (token <= leader_token_)
    return;
  leader_token_ = token;
  leader_ = leader;
}

void Election::look() {
  store_.get(kKey, store::Urgency::lease, [this](const store::Reply& r) {
    if (r.status == 200) {
      if (auto item = wire::parse_item(r.body)) {
        occupied(*item);
        return follow(item->version);
      }
    }
    if (r.status == 404) {
      const auto revision = wire::revision(r.body).value_or(0);
      vacant(revision);
      return follow(revision);
    }
    out_.after(kRetry, [this] { look(); });
  });
}

void Election::follow(std::uint64_t after) {
  store_.watch(kKey, after, [this, after](const store::Reply& r) {
    if (r.status != 200)
      return out_.after(kRetry, [this] { look(); });
    auto changes = wire::parse_changes(r.body);
    if (!changes)
      return out_.after(kRetry, [this] { look(); });
    const wire::Change* last = nullptr;
    for (const wire::Change& c : changes->events) {
      if (c.key == kKey)
        last = &c;
    }
    const std::uint64_t next = std::max(after, changes->revision);
    if (last && last->deleted)
      vacant(next);
    if (last && !last->deleted)
      occupied({last->key, last->value, last->version});
    // A quiet watch is a chance to notice that the office is still vacant, such as after a lost attempt.
    if (!last && leader_.empty() && !leading_)
      return look();
    follow(next);
  });
}

void Election::vacant(std::uint64_t revision) {
  if (leading_)
    step_down("our key is gone");
  if (leader_token_ <= revision)
    leader_.clear();
  stand();
}

void Election::occupied(const wire::Item& item) {
  const auto holder = wire::text(item.value, "node").value_or("");
  const auto lease = wire::count(item.value, "lease").value_or(0);
  if (item.version > leader_token_ || (item.version == leader_token_ && leader_.empty())) {
    if (leader_ != holder)
      spdlog::info("leader is {} (token {})", holder, item.version);
    leader_ = holder;
    leader_token_ = item.version;
  }
  if (leading_ && item.version != token_)
    step_down("another node leads");
  if (holder == settings_.node && !leading_ && !standing_ && lease != 0 && lease != lease_) {
    // The holder is an earlier process of this very node. It is dead, so its lease need not be waited for.
    spdlog::info("ending the lease of this node's earlier process");
    store_.revoke(lease);
  }
}

void Election::stand() {
  if (leading_ || standing_)
    return;
  if (out_.now() < stand_after_) {
    out_.after(stand_after_ - out_.now(), [this] { look(); });
    stand_after_ = 0;  // one wake-up is enough
    return;
  }
  standing_ = true;
  const Seconds sent = out_.now();
  store_.grant(static_cast<int>(settings_.tunables.leader_lease_s * 1000),
               [this, sent](const store::Reply& granted) {
                 const auto lease = granted.status == 200 ? wire::lease_id(granted.body) : std::nullopt;
                 if (!lease) {
                   standing_ = false;
                   return out_.after(kRetry, [this] {
                     if (leader_.empty())
                       look();
                   });
                 }
                 lease_ = *lease;
                 wire::Txn txn;
                 txn.require(kKey, 0).put(kKey, {{"node", settings_.node}, {"lease", *lease}}, *lease);
                 store_.txn(std::move(txn), store::Urgency::lease, authority(sent),
                            [this, sent, lease](const store::Reply& r) {
                              standing_ = false;
                              const auto revision = wire::revision(r.body);
                              if (r.status == 200 && revision)
                                return won(*lease, *revision, sent);
                              // Ending the lease makes a copy of this attempt that is still under way fail.
                              store_.revoke(*lease);
                              if (r.status != 409)
                                out_.after(kRetry, [this] {
                                  if (leader_.empty())
                                    look();
                                });
                            });
               });
}

void Election::won(std::uint64_t lease, std::uint64_t token, Seconds lease_sent) {
  leading_ = true;
  ++term_;
  lease_ = lease;
  token_ = token;
  until_ = authority(lease_sent);
  renewed_at_ = lease_sent;
  heard(settings_.node, token);
  leader_ = settings_.node;
  spdlog::info("this node leads, token {}", token);
  store_.set_leading(true);
  renew_later(settings_.tunables.leader_lease_s / 4);
  events_.elected();
}

void Election::renew_later(Seconds delay) {
  out_.after(delay, [this, term = term_] {
    if (leading_ && term == term_)
      renew();
  });
}

void Election::renew() {
  const Seconds sent = out_.now();
  store_.renew(lease_, [this, sent, term = term_](const store::Reply& r) {
    if (!leading_ || term != term_)
      return;
    if (r.status == 200) {
      if (out_.now() >= until_)
        spdlog::info("renewal got through, orders go on (token {})", token_);
      until_ = std::max(until_, authority(sent));
      renewed_at_ = std::max(renewed_at_, sent);
      return renew_later(std::max(0.05, sent + settings_.tunables.leader_lease_s / 4 - out_.now()));
    }
    if (r.status == 404)
      return step_down("the lease has ended");
    renew_later(settings_.tunables.leader_lease_s / 12);
  });
}

void Election::step_down(const char* why) {
  if (!leading_)
    return;
  spdlog::info("this node leads no longer (token {}): {}", token_, why);
  leading_ = false;
  ++term_;
  until_ = -1;
  if (leader_ == settings_.node)
    leader_.clear();
  store_.set_leading(false);
  events_.lost();
}

void Election::resign(Seconds pause, const char* why) {
  if (!leading_)
    return;
  stand_after_ = out_.now() + pause;
  const std::uint64_t lease = lease_;
  step_down(why);
  store_.revoke(lease);
}

void Election::superseded(const char* why) {
  step_down(why);
}

}  // namespace wingtrail::lead
