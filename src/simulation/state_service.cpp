// The state service: keys, leases, watches, budgets and faults.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "simulation/components.hpp"

namespace wingtrail::simulation {
namespace {

// The value in JSON, in which the protocol counts sizes. The state service keeps any text, also if it is not
// UTF-8.
std::string to_json(const Value& value) {
  return value.dump(-1, ' ', false, Value::error_handler_t::replace);
}

}  // namespace

void SimulatedCluster::refuse_state_service(std::size_t node, double for_s) {
  extend_fault_period(for_s);
  state_refuses_[node] = now_ + for_s;
}

void SimulatedCluster::delay_writes(double share, double for_s, bool at_once) {
  extend_fault_period(for_s);
  late_write_share_ = share;
  late_writes_until_ = now_ + for_s;
  late_writes_at_once_ = at_once;
}

std::optional<std::size_t> SimulatedCluster::leader_key_holder() const {
  const auto key = store_.find(leadership::kLeaderKey);
  const auto name = key == store_.end() ? std::nullopt : wire::text(key->second.value, "node");
  return name ? std::optional(static_cast<std::size_t>(name->back() - '0')) : std::nullopt;
}

std::size_t SimulatedCluster::key_count(const std::string& prefix) const {
  return static_cast<std::size_t>(std::count_if(
      store_.begin(), store_.end(), [&prefix](const auto& e) { return e.first.starts_with(prefix); }));
}

void SimulatedCluster::state_outage(double for_s) {
  extend_fault_period(for_s);
  state_down_until_ = std::max(state_down_until_, now_ + for_s);
  add_event(state_down_until_, [this] {
    if (now_ < state_down_until_)
      return;
    for (auto& [id, lease] : leases_)
      lease.second = now_ + lease.first;
    serve_watches();
  });
}

void SimulatedCluster::state_slow(double for_s) {
  extend_fault_period(for_s);
  state_slow_until_ = now_ + for_s;
}

void SimulatedCluster::record_change(const std::string& key, Value value, bool erased) {
  changes_.push_back({revision_, key, std::move(value), erased});
}

void SimulatedCluster::expire_leases() {
  if (now_ < state_down_until_)
    return;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (now_ < it->second.second) {
      ++it;
      continue;
    }
    const std::uint64_t id = it->first;
    it = leases_.erase(it);
    ++revision_;
    spdlog::debug("simulation: state_lease_expired t={:.3f} lease={}", now_, id);
    for (auto k = store_.begin(); k != store_.end();) {
      if (k->second.lease == id) {
        record_change(k->first, nullptr, true);
        k = store_.erase(k);
      } else {
        ++k;
      }
    }
    serve_watches();
  }
}

void SimulatedCluster::serve_watches() {
  if (now_ < state_down_until_)
    return;
  std::vector<std::pair<std::shared_ptr<Watch>, Value>> ready;
  for (auto& w : watches_) {
    if (!w->open || now_ < state_refuses_[w->node])
      continue;
    Value events = Value::array();
    for (const Change& c : changes_) {
      if (c.revision <= w->after || !c.key.starts_with(w->prefix))
        continue;
      events.push_back(c.erased ? Value{{"delete", c.key}, {"stamp", c.revision}}
                                : Value{{"put", c.key}, {"data", c.value}, {"stamp", c.revision}});
    }
    if (events.empty())
      continue;
    w->open = false;
    ready.emplace_back(w, Value{{"ledgerRev", revision_}, {"events", std::move(events)}});
  }
  std::erase_if(watches_, [](const auto& w) { return !w->open; });
  for (auto& [w, body] : ready)
    w->reply(200, std::move(body));
}

// Answers a watch whose time has expired, with an empty list if nothing has changed. While its controller is
// refused or the service is down, the watch waits: an answer then would leave out the changes made meanwhile
// (seed 100101).
void SimulatedCluster::end_watch(const std::shared_ptr<Watch>& w) {
  if (!w->open)
    return;
  if (now_ < state_down_until_ || now_ < state_refuses_[w->node])
    return add_event_after(0.3, [this, w] { end_watch(w); });
  serve_watches();
  if (!w->open)
    return;
  w->open = false;
  std::erase(watches_, w);
  w->reply(200, {{"ledgerRev", revision_}, {"events", Value::array()}});
}

void SimulatedCluster::execute_late(std::size_t node, const std::string& method, const std::string& path,
                                    const Value& body) {
  executing_late_write_ = true;
  state_service_request(node, method, path, body, [](int, const Value&) {});
  executing_late_write_ = false;
}

bool SimulatedCluster::exceeds_limits(const Value& body, const settings::Settings& s, double share) const {
  const auto ops = static_cast<std::size_t>(share < 1 ? std::max(3.0, s.max_transaction_changes * share)
                                                      : s.max_transaction_changes);
  return body["apply"].size() > ops || body["if"].size() > 4 * ops || to_json(body).size() > 65536 ||
         std::any_of(body["apply"].begin(), body["apply"].end(), [&](const Value& op) {
           if (!op.contains("data"))
             return false;
           return static_cast<double>(to_json(op["data"]).size()) > s.state_value_kb * 1024 * share;
         });
}

void SimulatedCluster::state_service_request(std::size_t node, const std::string& method,
                                             const std::string& path, const Value& body,
                                             ReplyCallback reply) {
  expire_leases();
  if (now_ < state_down_until_ || now_ < state_refuses_[node])
    return reply(503, Value::object());
  if (method != "GET" && !executing_late_write_)
    reply = repeat_if_executed(std::move(reply),
                               [this, node, method, path, body] { execute_late(node, method, path, body); });
  const double passed = now_ - state_at_;
  state_level_ =
      std::min(settings_.state_requests_per_s, state_level_ + passed * settings_.state_requests_per_s);
  state_at_ = now_;
  const settings::Settings& granted =
      limits_lowered_ || !plan_.upgrade ? settings_ : settings_before_upgrade_;
  write_level_ = std::min(granted.state_writes_per_s, write_level_ + passed * granted.state_writes_per_s);
  if (now_ < state_slow_until_) {
    reply = [this, reply = std::move(reply)](int status, Value out) {
      add_event_after(random_between(0.02, 0.4),
                      [reply, status, out = std::move(out)] { reply(status, out); });
    };
  }
  if (state_level_ < 1)
    return reply(429, Value::object());
  state_level_ -= 1;
  auto query = [&](const char* name) {
    const auto from = path.find(std::string(name) + "=");
    if (from == std::string::npos)
      return std::string();
    const auto begin = from + std::string(name).size() + 1;
    return path.substr(begin, path.find('&', begin) - begin);
  };
  if (method == "POST" && path == "/leases") {
    const double ttl = body["ttlMs"].get<double>() / 1000;
    const std::uint64_t lease = next_lease_++;
    leases_[lease] = {ttl, now_ + ttl};
    return reply(200, {{"permit", lease}});
  }
  if (path.starts_with("/leases/")) {
    const std::uint64_t id = std::stoull(path.substr(8));
    auto it = leases_.find(id);
    if (it == leases_.end())
      return reply(404, Value::object());
    it->second.second = method == "DELETE" ? now_ : now_ + it->second.first;
    if (method == "DELETE")
      expire_leases();
    return reply(200, Value::object());
  }
  if (path.starts_with("/follow")) {
    auto w = std::make_shared<Watch>(Watch{query("prefix"), std::stoull(query("after")), reply, node});
    watches_.push_back(w);
    add_event_after(std::stod(query("holdMs")) / 1000, [this, w] { end_watch(w); });
    return serve_watches();
  }
  if (path.starts_with("/kv?")) {
    const std::string prefix = query("prefix"), after = query("after");
    const std::size_t most =
        std::min<std::size_t>(std::stoul(query("most")), 7);  // small pages, so that paging is exercised
    Value items = Value::array();
    bool more = false;
    for (auto it = store_.upper_bound(std::max(after, prefix.substr(0, prefix.size() - 1)));
         it != store_.end(); ++it) {
      if (!it->first.starts_with(prefix) || it->first <= after)
        continue;
      if (items.size() == most) {
        more = true;
        break;
      }
      items.push_back({{"path", it->first}, {"data", it->second.value}, {"stamp", it->second.version}});
    }
    return reply(200, {{"items", items}, {"more", more}, {"ledgerRev", revision_}});
  }
  if (path.starts_with("/kv/")) {
    auto it = store_.find(path.substr(4));
    if (it == store_.end())
      return reply(404, {{"ledgerRev", revision_}});
    Value item{{"path", it->first}, {"data", it->second.value}, {"stamp", it->second.version}};
    if (it->second.lease)
      item["permit"] = *it->second.lease;
    return reply(200, std::move(item));
  }
  // A controller whose settings announce lower limits must respect them from its start. Transactions that
  // were sent before that start may be executed late.
  if (path == "/txn" && !executing_late_write_ &&
      exceeds_limits(body, controllers_[node]->runs_former_version ? settings_before_upgrade_ : settings_, 1))
    report_violation("protocol", "a transaction over the limits: " + to_json(body).substr(0, 300));
  if (path == "/txn" && plan_.late_writes > 0 && random_bool(plan_.late_writes)) {
    add_event_after(random_between(2, 12), [this, node, body] { execute_late(node, "POST", "/txn", body); });
    return;
  }
  if (path == "/txn" && !executing_late_write_ && now_ < late_writes_until_ &&
      random_bool(late_write_share_)) {
    const bool at_once = late_writes_at_once_;
    (at_once ? run_report_.lost_replies : run_report_.late_writes) += body["apply"].empty() ? 0 : 1;
    if (!at_once) {
      extend_fault_period(12);
      add_event_after(random_between(2, 12),
                      [this, node, body] { execute_late(node, "POST", "/txn", body); });
      return;
    }
    reply = [](int, const Value&) {
    };
  }
  if (path == "/txn") {
    if (exceeds_limits(body, granted, plan_.granted_limits_share)) {
      ++run_report_.over_limits;
      return reply(400, {{"error", "limits"}});
    }
    const auto changes = static_cast<double>(body["apply"].size());
    write_requests_.emplace_back(now_, changes);
    writes_in_window_ += changes;
    while (write_requests_.front().first < now_ - kWriteWindow) {
      writes_in_window_ -= write_requests_.front().second;
      write_requests_.pop_front();
    }
    run_report_.max_writes =
        std::max(run_report_.max_writes, writes_in_window_ / granted.state_writes_per_s / kWriteWindow);
    if (changes > 0 && write_level_ < changes)
      return reply(429, Value::object());
    write_level_ -= changes;
    Value failed = Value::array();
    for (const Value& c : body["if"]) {
      auto it = store_.find(c["path"].get<std::string>());
      const std::uint64_t version = it == store_.end() ? 0 : it->second.version;
      if (version != c["stamp"].get<std::uint64_t>())
        failed.push_back(c["path"]);
    }
    if (!failed.empty())
      return reply(409, {{"failed", failed}, {"ledgerRev", revision_}});
    if (body["apply"].empty())
      return reply(200, {{"ledgerRev", revision_}});
    for (const Value& op : body["apply"]) {
      if (op.contains("permit") && !leases_.contains(op["permit"].get<std::uint64_t>())) {
        return reply(400, {{"error", "no such lease"}});
      }
    }
    ++revision_;
    for (const Value& op : body["apply"]) {
      if (op.contains("put")) {
        const auto key = op["put"].get<std::string>();
        run_report_.cancellation_markers += key.ends_with(jobs::kCancellationSuffix);
        if (jobs::is_batch_key(key))
          run_report_.batched += op["data"].size();
        store_[key] = {op["data"], revision_, wire::count(op, "permit")};
        record_change(key, op["data"], false);
      } else if (store_.erase(op["delete"].get<std::string>())) {
        record_change(op["delete"].get<std::string>(), nullptr, true);
      }
    }
    spdlog::debug("simulation: transaction t={:.3f} controller={} revision={} changes={}", now_,
                  node_name(node), revision_, to_json(body["apply"]));
    reply(200, {{"ledgerRev", revision_}});
    return serve_watches();
  }
  reply(400, Value::object());
}

std::size_t SimulatedCluster::batch_count() const {
  return static_cast<std::size_t>(
      std::count_if(store_.begin(), store_.end(), [](const auto& e) { return jobs::is_batch_key(e.first); }));
}

}  // namespace wingtrail::simulation
