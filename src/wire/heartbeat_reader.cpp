/// @file
/// Reads heartbeats directly from CBOR. Most of the messages that a leader reads are heartbeats, so they are
/// read without building a tree of values first.
#include <cmath>
#include <span>

#include "wire/cbor_reader.hpp"
#include "wire/field_names.hpp"
#include "wire/job_messages.hpp"
#include "wire/parsing.hpp"
#include "wire/utf8.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::wire {
namespace {

constexpr EnumName<TaskPhase> kTaskPhases[] = {{"pulling", TaskPhase::fetching},
                                               {"running", TaskPhase::running},
                                               {"saving", TaskPhase::saving},
                                               {"exited", TaskPhase::exited}};
constexpr EnumName<ExitCause> kCauses[] = {
    {"done", ExitCause::done},          {"halted", ExitCause::stopped},     {"error", ExitCause::error},
    {"mates_gone", ExitCause::stopped}, {"incomplete", ExitCause::stopped}, {"no_room", ExitCause::no_room},
    {"busy", ExitCause::busy},          {"unknown", ExitCause::unknown}};

// The fields that are read. `other` is any field that is skipped.
enum class Field : std::uint8_t {
  host,
  address,
  type,
  zone,
  spot,
  incarnation,
  sequence,
  fencing_token,
  preemption_in,
  tasks,
  task_name,
  attempt,
  phase,
  cause,
  other
};

struct FieldName {
  std::string_view name;
  Field field;
};
constexpr FieldName kHeartbeatFields[] = {{field::kHost, Field::host},
                                          {field::kAddress, Field::address},
                                          {field::kMachineType, Field::type},
                                          {field::kZone, Field::zone},
                                          {field::kSpot, Field::spot},
                                          {field::kIncarnation, Field::incarnation},
                                          {field::kSequence, Field::sequence},
                                          {field::kFencingToken, Field::fencing_token},
                                          {field::kPreemptionInS, Field::preemption_in},
                                          {field::kTasks, Field::tasks}};
constexpr FieldName kTaskFields[] = {{field::kTask, Field::task_name},
                                     {field::kAttempt, Field::attempt},
                                     {field::kPhase, Field::phase},
                                     {field::kCause, Field::cause}};

// A set of fields, one bit each.
class FieldSet {
 public:
  constexpr FieldSet(std::initializer_list<Field> fields) {
    for (const Field field : fields)
      add(field);
  }
  constexpr void add(Field field) {
    bits_ |= bit(field);
  }
  constexpr void remove(Field field) {
    bits_ &= ~bit(field);
  }
  constexpr void remove(FieldSet fields) {
    bits_ &= ~fields.bits_;
  }
  constexpr bool contains(Field field) const {
    return (bits_ & bit(field)) != 0;
  }
  constexpr bool contains(FieldSet fields) const {
    return (bits_ & fields.bits_) == fields.bits_;
  }

 private:
  static constexpr unsigned bit(Field field) {
    return 1U << static_cast<unsigned>(field);
  }
  unsigned bits_ = 0;
};
constexpr FieldSet kRequired = {Field::host, Field::address,     Field::type,
                                Field::zone, Field::incarnation, Field::sequence};
constexpr FieldSet kRequiredOfTask = {Field::task_name, Field::attempt};
constexpr FieldSet kAllOfTask = {Field::task_name, Field::attempt, Field::phase, Field::cause};

// Nesting depths in the message: the heartbeat's map contains the list of tasks, which contains a map per
// task.
constexpr int kHeartbeatDepth = 1, kTaskListDepth = 2, kTaskDepth = 3;

// Handles the events of the CBOR parser. Unknown fields are skipped with everything that they contain. A
// known field that occurs twice or has the wrong type makes the whole heartbeat malformed. Every event
// handler returns whether to continue parsing.
class HeartbeatReader : public CborHandler {
 public:
  Heartbeat heartbeat;
  std::string problem;

  // Whether the parsed message is valid and has all required fields. If not, `problem` is the reason.
  bool complete() {
    if (problem.empty() && (depth_ != 0 || !seen_.contains(kRequired)))
      problem = "host, addr, flavour, hall, tenure and counter are needed";
    return problem.empty();
  }

  // A null field counts as missing.
  bool null() override {
    if (in_known_field())
      seen_.remove(field_);
    return problem.empty();
  }
  bool boolean(bool value) override {
    if (!in_known_field())
      return true;
    if (field_ != Field::spot)
      return fail();
    heartbeat.spot = value;
    return true;
  }
  bool number_integer(number_integer_t value) override {
    return value >= 0 ? number_unsigned(static_cast<number_unsigned_t>(value))
                      : number_float(static_cast<double>(value), "");
  }
  bool number_unsigned(number_unsigned_t value) override;
  bool number_float(number_float_t value, const string_t&) override;
  bool string(string_t& value) override;
  bool binary(binary_t&) override {
    return fail();
  }
  bool start_object(std::size_t) override;
  bool end_object() override;
  bool start_array(std::size_t) override;
  bool end_array() override;
  bool key(string_t& name) override;
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool in_task() const {
    return depth_ == kTaskDepth && in_task_list_;
  }
  // Whether the current value belongs to a field that is read. Fails if the message itself, or an item of the
  // list of tasks, is not a map.
  bool in_known_field() {
    if (depth_ == 0 || (in_task_list_ && depth_ == kTaskListDepth))
      return !fail();
    return field_ != Field::other && (depth_ == kHeartbeatDepth || in_task());
  }
  bool read_name(std::string& target, string_t& value) {
    target = std::move(value);
    return (!target.empty() && target.size() <= kMaxNameBytes) || fail();
  }
  bool read_task_name(const string_t& value) {
    auto parsed = parse_task_name(value);
    if (!parsed)
      return fail();
    task_.ref = std::move(parsed->ref);
    task_.task = parsed->task;
    return true;
  }
  // Records a problem, unless there is one already, and ends the parsing.
  bool fail() {
    if (problem.empty())
      problem = "a field is malformed";
    return false;
  }

  Field field_ = Field::other;  // the field whose key was read last
  int depth_ = 0;               // the number of maps and lists around the current value
  bool in_task_list_ = false;
  FieldSet seen_ = {};                  // fields of the heartbeat and of the current task
  TaskStatus task_;                     // the current task
  ExitCause cause_ = ExitCause::error;  // its `cause`, which counts only if the task has exited
};

bool HeartbeatReader::number_unsigned(number_unsigned_t value) {
  if (!in_known_field())
    return true;
  switch (field_) {
    case Field::incarnation:
      heartbeat.incarnation = value;
      return value >= 1 || fail();
    case Field::sequence:
      heartbeat.sequence = value;
      return true;
    case Field::fencing_token:
      heartbeat.fencing_token = value;
      return true;
    case Field::preemption_in:
      heartbeat.preemption_in_s = static_cast<double>(value);
      return true;
    case Field::attempt:
      task_.attempt = value;
      return true;
    default:
      return fail();
  }
}

bool HeartbeatReader::number_float(number_float_t value, const string_t&) {
  if (!in_known_field())
    return true;
  if (!std::isfinite(value))
    return fail();
  if (field_ == Field::preemption_in) {
    heartbeat.preemption_in_s = value;
    return true;
  }
  // Senders written in a language without integers may encode 4 as 4.0.
  if (value < 0 || value > kMaxExactInteger || std::floor(value) != value)
    return fail();
  return number_unsigned(static_cast<number_unsigned_t>(value));
}

bool HeartbeatReader::string(string_t& value) {
  if (!is_utf8(value))
    return fail();
  if (!in_known_field())
    return true;
  switch (field_) {
    case Field::host:
      return read_name(heartbeat.host, value);
    case Field::address:
      return read_name(heartbeat.address, value);
    case Field::type:
      return read_name(heartbeat.type, value);
    case Field::zone:
      return read_name(heartbeat.zone, value);
    case Field::task_name:
      return read_task_name(value);
    case Field::phase:
      // A newer worker version may send an unknown phase. The task is then treated as fetching, a phase in
      // which it occupies its resources.
      task_.phase = enum_by_name(kTaskPhases, value).value_or(TaskPhase::fetching);
      return true;
    case Field::cause:
      cause_ = enum_by_name(kCauses, value).value_or(ExitCause::error);
      return true;
    default:
      return fail();
  }
}

bool HeartbeatReader::start_object(std::size_t) {
  if (++depth_ == kHeartbeatDepth)
    return true;
  if (in_task()) {
    task_ = {};
    cause_ = ExitCause::error;
    seen_.remove(kAllOfTask);
    return true;
  }
  return !in_known_field() || fail();
}

bool HeartbeatReader::end_object() {
  if (in_task()) {
    if (!seen_.contains(kRequiredOfTask))
      return fail();
    if (task_.phase == TaskPhase::exited)
      task_.cause = cause_;
    heartbeat.tasks.push_back(std::move(task_));
  }
  --depth_;
  return true;
}

bool HeartbeatReader::start_array(std::size_t) {
  if (++depth_ == kHeartbeatDepth)
    return fail();
  if (depth_ == kTaskListDepth && field_ == Field::tasks) {
    in_task_list_ = true;
    return true;
  }
  return !in_known_field() || fail();
}

bool HeartbeatReader::end_array() {
  if (depth_-- == kTaskListDepth)
    in_task_list_ = false;
  return true;
}

bool HeartbeatReader::key(string_t& name) {
  field_ = Field::other;
  if (!is_utf8(name))
    return fail();
  if (depth_ != kHeartbeatDepth && !in_task())
    return true;
  const auto fields =
      in_task() ? std::span<const FieldName>(kTaskFields) : std::span<const FieldName>(kHeartbeatFields);
  for (const FieldName& known : fields) {
    if (name != known.name)
      continue;
    field_ = known.field;
    if (seen_.contains(field_))
      return fail();
    seen_.add(field_);
  }
  return true;
}

}  // namespace

Result<Heartbeat> parse_heartbeat(std::string_view cbor) {
  HeartbeatReader reader;
  auto read = read_cbor(cbor, reader);
  if (!read && reader.problem.empty())
    return tl::make_unexpected(std::move(read.error()));
  if (!reader.complete())
    return malformed(std::move(reader.problem));
  return std::move(reader.heartbeat);
}

}  // namespace wingtrail::wire
