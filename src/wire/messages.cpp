#include "wire/messages.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <span>

namespace wingtrail::wire {
namespace {

constexpr double kMaxAmount = 1e9;

bool good_amount(const std::optional<double>& v) {
  return v && *v >= 0 && *v <= kMaxAmount;
}

template <typename E>
struct Named {
  const char* name;
  E value;
};
constexpr Named<Shape> kShapes[] = {
    {"sweep", Shape::array}, {"standing", Shape::service}, {"ensemble", Shape::gang}};
constexpr Named<Priority> kPriorities[] = {{"critical", Priority::production},
                                           {"high", Priority::high},
                                           {"standard", Priority::normal},
                                           {"idle", Priority::low}};
constexpr Named<Phase> kPhases[] = {{"queued", Phase::queued},
                                    {"running", Phase::running},
                                    {"done", Phase::done},
                                    {"withdrawn", Phase::cancelled}};
constexpr Named<TaskPhase> kTaskPhases[] = {{"pulling", TaskPhase::fetching},
                                            {"running", TaskPhase::running},
                                            {"saving", TaskPhase::saving},
                                            {"exited", TaskPhase::exited}};
constexpr Named<ExitCause> kCauses[] = {
    {"done", ExitCause::done},          {"halted", ExitCause::stopped},     {"error", ExitCause::error},
    {"mates_gone", ExitCause::stopped}, {"incomplete", ExitCause::stopped}, {"no_room", ExitCause::no_room},
    {"busy", ExitCause::busy},          {"unknown", ExitCause::unknown}};
constexpr Named<ListedMachine::State> kListed[] = {{"starting", ListedMachine::State::booting},
                                                   {"running", ListedMachine::State::running},
                                                   {"failed", ListedMachine::State::failed}};
constexpr Named<Command::Verb> kVerbs[] = {
    {"start", Command::Verb::start}, {"halt", Command::Verb::stop}, {"reap", Command::Verb::forget}};

template <typename E, std::size_t N>
std::optional<E> by_name(const Named<E> (&table)[N], const std::optional<std::string>& name) {
  if (!name)
    return std::nullopt;
  for (const auto& row : table) {
    if (*name == row.name)
      return row.value;
  }
  return std::nullopt;
}

template <typename E, std::size_t N>
const char* name_of(const Named<E> (&table)[N], E value) {
  for (const auto& row : table) {
    if (row.value == value)
      return row.name;
  }
  return "";
}

std::optional<std::vector<std::string>> text_list(const Value& list) {
  if (!list.is_array())
    return std::nullopt;
  std::vector<std::string> out;
  for (const Value& v : list) {
    if (!v.is_string())
      return std::nullopt;
    out.push_back(v.get<std::string>());
  }
  return out;
}

bool good_name(const std::optional<std::string>& s) {
  return s && !s->empty() && s->size() <= 200;
}

// Queries carry keys and host names, which the protocol limits to characters that need no escaping but these.
std::string escape(const std::string& s) {
  static const char* hex = "0123456789ABCDEF";
  std::string out;
  for (unsigned char c : s) {
    if (std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '/' || c == '~') {
      out += static_cast<char>(c);
    } else {
      out += '%';
      out += hex[c >> 4];
      out += hex[c & 15];
    }
  }
  return out;
}

Value orders_value(const std::vector<Command>& orders) {
  Value list = Value::array();
  for (const Command& o : orders) {
    Value v{{"verb", name_of(kVerbs, o.verb)}, {"shard", o.task}, {"try", o.attempt}};
    if (o.verb == Command::Verb::stop)
      v["windDownS"] = o.grace_s;
    list.push_back(std::move(v));
  }
  return list;
}

}  // namespace

bool valid_ref(std::string_view ref) {
  constexpr std::string_view prefix = "req-";
  if (!ref.starts_with(prefix) || ref.size() == prefix.size() || ref.size() > 40)
    return false;
  return std::all_of(ref.begin() + prefix.size(), ref.end(), [](char c) { return c >= '0' && c <= '9'; });
}

Result<JobSpec> parse_job(const Value& v) {
  using R = Result<JobSpec>;
  if (!v.is_object())
    return R::fail("not a map");
  JobSpec s;
  auto ref = text(v, "ref");
  if (!ref || !valid_ref(*ref))
    return R::fail("ref: missing or malformed");
  s.ref = *ref;
  struct {
    const char* key;
    std::string* to;
  } texts[] = {{"jobclass", &s.job_class}, {"owner", &s.team}, {"bundle", &s.image}};
  for (auto& [key, to] : texts) {
    auto t = text(v, key);
    if (!good_name(t))
      return R::fail(std::string(key) + ": expected text of 1 to 200 bytes");
    *to = *t;
  }
  auto shape = by_name(kShapes, text(v, "shape"));
  if (!shape)
    return R::fail("shape: expected sweep, standing or ensemble");
  s.shape = *shape;
  auto priority = by_name(kPriorities, text(v, "urgency"));
  if (!priority)
    return R::fail("urgency: expected critical, high, standard or idle");
  s.priority = *priority;
  auto tasks = count(v, "shards");
  if (!tasks || *tasks < 1 || *tasks > kMaxTasks)
    return R::fail("shards: expected 1 to 100000");
  s.tasks = static_cast<std::uint32_t>(*tasks);
  struct {
    const char* key;
    double* to;
  } amounts[] = {{"cores", &s.task_resources.cpus},      {"accelerators", &s.task_resources.gpus},
                 {"memGb", &s.task_resources.memory_gb}, {"sizeGb", &s.image_gb},
                 {"expectedS", &s.estimate_s},           {"snapshotEveryS", &s.checkpoint_interval_s},
                 {"snapshotCostS", &s.checkpoint_cost_s}};
  for (auto& [key, to] : amounts) {
    auto a = amount(v, key);
    if (!good_amount(a))
      return R::fail(std::string(key) + ": expected an amount of at least 0");
    *to = *a;
  }
  struct {
    const char* key;
    bool* to;
  } flags[] = {{"samePlace", &s.same_zone}, {"apart", &s.spread_zones}, {"standby", &s.allows_spot}};
  for (auto& [key, to] : flags) {
    auto f = flag(v, key);
    if (!f)
      return R::fail(std::string(key) + ": expected true or false");
    *to = *f;
  }
  if (const Value* types = find(v, "flavours")) {
    auto list = text_list(*types);
    if (!list || list->empty())
      return R::fail("flavours: expected null or a list of names");
    s.types = std::move(*list);
  }
  if (find(v, "hall")) {
    auto zone = text(v, "hall");
    if (!good_name(zone))
      return R::fail("hall: expected null or a name");
    s.zone = *zone;
  }
  if (find(v, "dueS")) {
    auto due = amount(v, "dueS");
    if (!good_amount(due))
      return R::fail("dueS: expected null or an amount of at least 0");
    s.deadline_s = *due;
  }
  if (const Value* needs = find(v, "waitsOn")) {
    auto list = text_list(*needs);
    if (!list || !std::all_of(list->begin(), list->end(), [](const auto& r) { return valid_ref(r); }))
      return R::fail("waitsOn: expected null or a list of job references");
    std::sort(list->begin(), list->end());
    list->erase(std::unique(list->begin(), list->end()), list->end());
    s.depends_on = std::move(*list);
  }
  return s;
}

Value job_value(const JobSpec& s) {
  Value v{{"ref", s.ref},
          {"jobclass", s.job_class},
          {"owner", s.team},
          {"shape", name_of(kShapes, s.shape)},
          {"urgency", name_of(kPriorities, s.priority)},
          {"shards", s.tasks},
          {"cores", s.task_resources.cpus},
          {"accelerators", s.task_resources.gpus},
          {"memGb", s.task_resources.memory_gb},
          {"bundle", s.image},
          {"sizeGb", s.image_gb},
          {"samePlace", s.same_zone},
          {"apart", s.spread_zones},
          {"standby", s.allows_spot},
          {"expectedS", s.estimate_s},
          {"snapshotEveryS", s.checkpoint_interval_s},
          {"snapshotCostS", s.checkpoint_cost_s}};
  if (!s.types.empty())
    v["flavours"] = s.types;
  if (s.zone)
    v["hall"] = *s.zone;
  if (s.deadline_s)
    v["dueS"] = *s.deadline_s;
  if (!s.depends_on.empty())
    v["waitsOn"] = s.depends_on;
  return v;
}

Value job_record(const JobSpec& spec, double submitted_at) {
  Value v = job_value(spec);
  v["submittedAt"] = submitted_at;
  return v;
}

bool has_dependencies(const Value& record) {
  const Value* needs = find(record, "waitsOn");
  return needs && needs->is_array() && !needs->empty();
}

std::optional<double> submitted_at(const Value& record) {
  return amount(record, "submittedAt");
}

Value final_state_record(const FinalState& e) {
  Value v{{"phase", phase_name(e.phase)}, {"tasks", e.tasks}};
  if (e.ended_at)
    v["at"] = *e.ended_at;
  return v;
}

std::optional<FinalState> parse_final_state(const Value& record) {
  const auto phase = parse_phase(record);
  if (!phase)
    return std::nullopt;
  return FinalState{*phase, static_cast<std::uint32_t>(count(record, "tasks").value_or(0)),
                    amount(record, "at")};
}

const char* phase_name(Phase phase) {
  return name_of(kPhases, phase);
}

Value job_state(const std::string& ref, Phase phase) {
  return {{"ref", ref}, {"phase", phase_name(phase)}};
}

Value job_progress(const std::string& ref, Phase phase, std::uint32_t done, std::uint32_t running) {
  return {{"ref", ref}, {"phase", phase_name(phase)}, {"done", done}, {"running", running}};
}

std::optional<Phase> parse_phase(const Value& v) {
  return by_name(kPhases, text(v, "phase"));
}

std::optional<TaskName> parse_task_name(std::string_view name) {
  const auto slash = name.rfind('/');
  if (slash == std::string_view::npos || !valid_ref(name.substr(0, slash)))
    return std::nullopt;
  TaskName t{std::string(name.substr(0, slash)), 0};
  const char* end = name.data() + name.size();
  auto [p, ec] = std::from_chars(name.data() + slash + 1, end, t.task);
  if (ec != std::errc() || p != end || t.task >= kMaxTasks)
    return std::nullopt;
  return t;
}

std::string task_name(const std::string& ref, std::uint32_t index) {
  return ref + "/" + std::to_string(index);
}

namespace {

// Takes a report in as it is read. Fields that are not known are passed over, however deep; a known one that
// occurs twice, or is not what it should be, spoils the report.
class ReportReader : public nlohmann::json_sax<Value> {
 public:
  Heartbeat report;
  std::string problem;

  // Whether all is there that must be.
  bool complete() {
    constexpr unsigned needed = 1U << host | 1U << addr | 1U << type | 1U << zone | 1U << session | 1U << seq;
    if (problem.empty() && (depth_ != 0 || (seen_ & needed) != needed)) {
      problem = "host, addr, flavour, hall, tenure and counter are needed";
    }
    return problem.empty();
  }

  bool null() override {  // as good as not there
    if (known())
      seen_ &= ~(1U << field_);
    return problem.empty();
  }
  bool boolean(bool v) override {
    if (!known())
      return true;
    if (field_ != spot)
      return spoilt();
    report.spot = v;
    return true;
  }
  bool number_integer(number_integer_t v) override {
    return v >= 0 ? number_unsigned(static_cast<number_unsigned_t>(v))
                  : number_float(static_cast<double>(v), "");
  }
  bool number_unsigned(number_unsigned_t v) override {
    if (!known())
      return true;
    switch (field_) {
      case session:
        report.incarnation = v;
        return v >= 1 || spoilt();
      case seq:
        report.sequence = v;
        return true;
      case token:
        report.fencing_token = v;
        return true;
      case reclaim:
        report.preemption_in_s = static_cast<double>(v);
        return true;
      case attempt:
        task_.attempt = v;
        return true;
      default:
        return spoilt();
    }
  }
  bool number_float(number_float_t v, const string_t&) override {
    if (!known())
      return true;
    if (!std::isfinite(v))
      return spoilt();
    if (field_ == reclaim) {
      report.preemption_in_s = v;
      return true;
    }
    // A sender in a language without integers may write 4.0; 2^53 is where doubles stop being exact.
    if (v < 0 || v > 9007199254740992.0 || std::floor(v) != v)
      return spoilt();
    return number_unsigned(static_cast<number_unsigned_t>(v));
  }
  bool string(string_t& v) override {
    if (!known())
      return true;
    const auto name = [&](std::string& to) {
      to = std::move(v);
      return (!to.empty() && to.size() <= 200) || spoilt();
    };
    switch (field_) {
      case host:
        return name(report.host);
      case addr:
        return name(report.address);
      case type:
        return name(report.type);
      case zone:
        return name(report.zone);
      case task_id: {
        auto parsed = parse_task_name(v);
        if (!parsed)
          return spoilt();
        task_.ref = std::move(parsed->ref);
        task_.task = parsed->task;
        return true;
      }
      case phase:
        // A phase that a later worker may know is taken for one that holds its resources.
        task_.phase = by_name(kTaskPhases, v).value_or(TaskPhase::fetching);
        return true;
      case cause:
        cause_ = by_name(kCauses, v).value_or(ExitCause::error);
        return true;
      default:
        return spoilt();
    }
  }
  bool binary(binary_t&) override {
    return spoilt();
  }
  bool start_object(std::size_t) override {
    if (++depth_ > kMaxDepth)
      return spoilt();
    if (depth_ == 1)
      return true;
    if (depth_ == 3 && in_tasks_) {
      task_ = {};
      cause_ = ExitCause::error;
      seen_ &= ~kTaskFields;
      return true;
    }
    return !known() || spoilt();
  }
  bool end_object() override {
    if (depth_ == 3 && in_tasks_) {
      if ((seen_ & (1U << task_id)) == 0 || (seen_ & (1U << attempt)) == 0)
        return spoilt();
      if (task_.phase == TaskPhase::exited)
        task_.cause = cause_;
      report.tasks.push_back(std::move(task_));
    }
    --depth_;
    return true;
  }
  bool start_array(std::size_t) override {
    if (++depth_ > kMaxDepth || depth_ == 1)
      return spoilt();
    if (depth_ == 2 && field_ == tasks) {
      in_tasks_ = true;
      return true;
    }
    return !known() || spoilt();
  }
  bool end_array() override {
    if (depth_-- == 2)
      in_tasks_ = false;
    return true;
  }
  bool key(string_t& k) override {
    field_ = other;
    const bool of_task = depth_ == 3 && in_tasks_;
    if (depth_ != 1 && !of_task)
      return true;
    for (const auto& row : of_task ? std::span<const Row>(kTaskRows) : std::span<const Row>(kRows)) {
      if (k != row.name)
        continue;
      field_ = row.field;
      if (seen_ & (1U << field_))
        return spoilt();
      seen_ |= 1U << field_;
    }
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    problem = "not CBOR";
    return false;
  }

 private:
  enum Field : std::uint8_t {
    host,
    addr,
    type,
    zone,
    spot,
    session,
    seq,
    token,
    reclaim,
    tasks,
    task_id,
    attempt,
    phase,
    cause,
    other
  };
  struct Row {
    std::string_view name;
    Field field;
  };
  static constexpr Row kRows[] = {
      {"host", host},      {"addr", addr},   {"flavour", type},  {"hall", zone},          {"standby", spot},
      {"tenure", session}, {"counter", seq}, {"mandate", token}, {"reclaimInS", reclaim}, {"shards", tasks}};
  static constexpr Row kTaskRows[] = {
      {"shard", task_id}, {"try", attempt}, {"phase", phase}, {"cause", cause}};
  static constexpr unsigned kTaskFields = 1U << task_id | 1U << attempt | 1U << phase | 1U << cause;

  // Whether the value at hand is of a field that is looked at.
  bool known() {
    if (depth_ == 0 || (in_tasks_ && depth_ == 2))
      return !spoilt();  // not a map, or a task that is none
    return field_ != other && (depth_ == 1 || (in_tasks_ && depth_ == 3));
  }
  bool spoilt() {
    if (problem.empty())
      problem = "a field is malformed";
    return false;
  }

  Field field_ = other;
  int depth_ = 0;
  bool in_tasks_ = false;
  unsigned seen_ = 0;
  TaskStatus task_;
  ExitCause cause_ = ExitCause::error;
};

}  // namespace

Result<Heartbeat> parse_heartbeat(std::string_view cbor) {
  ReportReader reader;
  try {
    Value::sax_parse(cbor.begin(), cbor.end(), &reader, nlohmann::json::input_format_t::cbor);
  } catch (const std::exception& e) {
    return Result<Heartbeat>::fail(e.what());
  }
  if (!reader.complete())
    return Result<Heartbeat>::fail(reader.problem);
  return std::move(reader.report);
}

Value heartbeat_reply(std::uint64_t token, const std::vector<Command>& orders) {
  return {{"mandate", token}, {"orders", orders_value(orders)}};
}

Value commands_body(std::uint64_t token, std::uint64_t session, const std::vector<Command>& orders) {
  return {{"mandate", token}, {"tenure", session}, {"orders", orders_value(orders)}};
}

Value leader_redirect(const std::string& node) {
  return node.empty() ? Value::object() : Value{{"steward", node}};
}

Result<std::vector<MachineType>> parse_catalog(const Value& v) {
  using R = Result<std::vector<MachineType>>;
  const Value* list = find(v, "flavours");
  if (!list || !list->is_array() || list->empty())
    return R::fail("flavours: expected a list");
  std::vector<MachineType> out;
  for (const Value& f : *list) {
    MachineType t;
    auto name = text(f, "name");
    if (!good_name(name))
      return R::fail("flavours: a type without a name");
    t.name = *name;
    t.cpus = amount(f, "cores").value_or(0);
    t.gpus = amount(f, "accelerators").value_or(0);
    t.memory_gb = amount(f, "memGb").value_or(0);
    t.cache_gb = amount(f, "cacheGb").value_or(0);
    t.fetch_gb_per_s = amount(f, "fetchGbPerS").value_or(0);
    t.price = amount(f, "rate").value_or(0);
    t.spot_price = amount(f, "marketPrice").value_or(t.price);
    t.boot_s = amount(f, "bootS").value_or(0);
    if (t.cpus <= 0 || t.memory_gb <= 0)
      return R::fail("flavours: " + t.name + " has no cores or memory");
    if (const Value* zones = find(f, "halls"))
      t.zones = text_list(*zones).value_or(std::vector<std::string>{});
    out.push_back(std::move(t));
  }
  return out;
}

Result<MachineList> parse_machine_list(const Value& v) {
  using R = Result<MachineList>;
  const Value* list = find(v, "hosts");
  if (!list || !list->is_array())
    return R::fail("hosts: expected a list");
  MachineList out;
  out.more = flag(v, "more").value_or(false);
  for (const Value& h : *list) {
    auto host = text(h, "ref"), type = text(h, "flavour"), zone = text(h, "hall");
    auto state = by_name(kListed, text(h, "phase"));
    if (!good_name(host) || !good_name(type) || !good_name(zone) || !state)
      return R::fail("hosts: malformed entry");
    out.machines.push_back({*host, text(h, "addr").value_or(""), *type, *zone,
                            flag(h, "standby").value_or(false), *state, amount(h, "ageS").value_or(0)});
  }
  return out;
}

std::string machine_list_path(const std::string& after, int limit) {
  std::string path = std::string(kMachinesPath) + "?most=" + std::to_string(limit);
  return after.empty() ? path : path + "&after=" + escape(after);
}

Value rental_body(const std::string& request, const std::string& type, const std::string& zone, bool spot,
                  int n) {
  return {{"hire", request}, {"flavour", type}, {"hall", zone}, {"standby", spot}, {"howMany", n}};
}

Value return_body(const std::vector<std::string>& hosts) {
  return {{"hosts", hosts}};
}

Result<std::vector<std::string>> parse_rented(const Value& v) {
  const Value* list = find(v, "hosts");
  auto hosts = list ? text_list(*list) : std::nullopt;
  if (!hosts)
    return Result<std::vector<std::string>>::fail("hosts: expected a list of names");
  return std::move(*hosts);
}

Transaction& Transaction::require(const std::string& key, std::uint64_t version) {
  body_["if"].push_back({{"path", key}, {"stamp", version}});
  return *this;
}

Transaction& Transaction::put(const std::string& key, Value value, std::uint64_t lease) {
  Value op{{"put", key}, {"data", std::move(value)}};
  if (lease)
    op["permit"] = lease;
  body_["apply"].push_back(std::move(op));
  ++change_count_;
  return *this;
}

Transaction& Transaction::erase(const std::string& key) {
  body_["apply"].push_back({{"delete", key}});
  ++change_count_;
  return *this;
}

std::optional<std::uint64_t> revision(const Value& v) {
  return count(v, "ledgerRev");
}
std::vector<std::string> failed_keys(const Value& v) {
  const Value* list = find(v, "failed");
  auto keys = list ? text_list(*list) : std::nullopt;
  return keys.value_or(std::vector<std::string>{});
}
std::optional<std::uint64_t> lease_id(const Value& v) {
  return count(v, "permit");
}
Value lease_body(int ttl_ms) {
  return {{"ttlMs", ttl_ms}};
}

Result<Item> parse_item(const Value& v) {
  auto key = text(v, "path");
  auto version = count(v, "stamp");
  if (!key || !version || !v.contains("data"))
    return Result<Item>::fail("malformed item");
  return Item{*key, v["data"], *version};
}

Result<Range> parse_range(const Value& v) {
  using R = Result<Range>;
  const Value* items = find(v, "items");
  auto rev = revision(v);
  if (!items || !items->is_array() || !rev)
    return R::fail("malformed range");
  Range out{{}, flag(v, "more").value_or(false), *rev};
  for (const Value& i : *items) {
    auto item = parse_item(i);
    if (!item)
      return R::fail(item.error());
    out.items.push_back(std::move(*item));
  }
  return out;
}

Result<Changes> parse_changes(const Value& v) {
  using R = Result<Changes>;
  auto rev = revision(v);
  const Value* events = find(v, "events");
  if (!rev || (events && !events->is_array()))
    return R::fail("malformed watch answer");
  Changes out{*rev, {}};
  if (!events)
    return out;
  for (const Value& e : *events) {
    auto put = text(e, "put"), erased = text(e, "delete");
    auto version = count(e, "stamp");
    if (put && e.contains("data")) {
      out.events.push_back({false, *put, e["data"], version.value_or(0)});
    } else if (erased) {
      out.events.push_back({true, *erased, nullptr, version.value_or(0)});
    } else {
      return R::fail("malformed event");
    }
  }
  return out;
}

std::string key_path(const std::string& key) {
  return "/kv/" + key;
}

std::string range_path(const std::string& prefix, const std::string& after, int limit) {
  std::string path = "/kv?prefix=" + escape(prefix) + "&most=" + std::to_string(limit);
  return after.empty() ? path : path + "&after=" + escape(after);
}

std::string watch_path(const std::string& prefix, std::uint64_t after, int wait_ms) {
  return "/follow?prefix=" + escape(prefix) + "&after=" + std::to_string(after) +
         "&holdMs=" + std::to_string(wait_ms);
}

std::string renew_path(std::uint64_t lease) {
  return "/leases/" + std::to_string(lease) + "/extend";
}

}  // namespace wingtrail::wire
