#include "wire/job_messages.hpp"

#include <algorithm>
#include <charconv>

#include "wire/field_names.hpp"
#include "wire/parsing.hpp"

namespace wingtrail::wire {
namespace {

constexpr std::size_t kMaxRefBytes = 40;

constexpr EnumName<Shape> kShapes[] = {
    {"sweep", Shape::array}, {"standing", Shape::service}, {"ensemble", Shape::gang}};
constexpr EnumName<Priority> kPriorities[] = {{"critical", Priority::production},
                                              {"high", Priority::high},
                                              {"standard", Priority::normal},
                                              {"idle", Priority::low}};
constexpr EnumName<Phase> kPhases[] = {{"queued", Phase::queued},
                                       {"running", Phase::running},
                                       {"done", Phase::done},
                                       {"withdrawn", Phase::cancelled}};

// Each of the following functions reads a group of fields and returns the error of the first malformed field.
// Users receive that error, so the order of the groups and of the fields in each is part of the protocol.
using Problem = std::optional<ParseError>;

Problem read_names(const Value& map, JobSpec& spec) {
  const auto ref = text(map, field::kRef);
  if (!ref || !valid_ref(*ref))
    return ParseError{field::kRef, "missing or malformed"};
  spec.ref = *ref;
  struct {
    const char* key;
    std::string* target;
  } const names[] = {
      {field::kJobClass, &spec.job_class}, {field::kTeam, &spec.team}, {field::kImage, &spec.image}};
  for (const auto& [key, target] : names) {
    const auto name = text(map, key);
    if (!is_valid_name(name))
      return ParseError{key, "expected text of 1 to 200 bytes"};
    *target = *name;
  }
  return std::nullopt;
}

Problem read_shape(const Value& map, JobSpec& spec) {
  const auto shape = enum_by_name(kShapes, text(map, field::kShape));
  if (!shape)
    return ParseError{field::kShape, "expected sweep, standing or ensemble"};
  spec.shape = *shape;
  const auto priority = enum_by_name(kPriorities, text(map, field::kPriority));
  if (!priority)
    return ParseError{field::kPriority, "expected critical, high, standard or idle"};
  spec.priority = *priority;
  const auto tasks = count(map, field::kTasks);
  if (!tasks || *tasks < 1 || *tasks > kMaxTasks)
    return ParseError{field::kTasks, "expected 1 to 100000"};
  spec.tasks = static_cast<std::uint32_t>(*tasks);
  return std::nullopt;
}

Problem read_amounts(const Value& map, JobSpec& spec) {
  struct {
    const char* key;
    double* target;
  } const amounts[] = {{field::kCpus, &spec.task_resources.cpus},
                       {field::kGpus, &spec.task_resources.gpus},
                       {field::kMemoryGb, &spec.task_resources.memory_gb},
                       {field::kImageGb, &spec.image_gb},
                       {field::kEstimateS, &spec.estimate_s},
                       {field::kCheckpointIntervalS, &spec.checkpoint_interval_s},
                       {field::kCheckpointCostS, &spec.checkpoint_cost_s}};
  for (const auto& [key, target] : amounts) {
    const auto value = amount(map, key);
    if (!is_valid_amount(value))
      return ParseError{key, "expected an amount of at least 0"};
    *target = *value;
  }
  return std::nullopt;
}

Problem read_flags(const Value& map, JobSpec& spec) {
  struct {
    const char* key;
    bool* target;
  } const flags[] = {{field::kSameZone, &spec.same_zone},
                     {field::kSpreadZones, &spec.spread_zones},
                     {field::kSpot, &spec.allows_spot}};
  for (const auto& [key, target] : flags) {
    const auto value = flag(map, key);
    if (!value)
      return ParseError{key, "expected true or false"};
    *target = *value;
  }
  return std::nullopt;
}

Problem read_placement(const Value& map, JobSpec& spec) {
  if (const Value* types = find(map, field::kMachineTypes)) {
    auto list = text_list(*types);
    if (!list || list->empty())
      return ParseError{field::kMachineTypes, "expected null or a list of names"};
    spec.types = std::move(*list);
  }
  if (find(map, field::kZone)) {
    const auto zone = text(map, field::kZone);
    if (!is_valid_name(zone))
      return ParseError{field::kZone, "expected null or a name"};
    spec.zone = *zone;
  }
  return std::nullopt;
}

Problem read_deadline(const Value& map, JobSpec& spec) {
  if (!find(map, field::kDeadlineS))
    return std::nullopt;
  const auto deadline = amount(map, field::kDeadlineS);
  if (!is_valid_amount(deadline))
    return ParseError{field::kDeadlineS, "expected null or an amount of at least 0"};
  spec.deadline_s = *deadline;
  return std::nullopt;
}

Problem read_dependencies(const Value& map, JobSpec& spec) {
  const Value* dependencies = find(map, field::kDependencies);
  if (!dependencies)
    return std::nullopt;
  auto refs = text_list(*dependencies);
  if (!refs || !std::all_of(refs->begin(), refs->end(), valid_ref))
    return ParseError{field::kDependencies, "expected null or a list of job references"};
  std::sort(refs->begin(), refs->end());
  refs->erase(std::unique(refs->begin(), refs->end()), refs->end());
  spec.depends_on = std::move(*refs);
  return std::nullopt;
}

}  // namespace

bool valid_ref(std::string_view ref) {
  constexpr std::string_view kPrefix = "req-";
  if (!ref.starts_with(kPrefix) || ref.size() == kPrefix.size() || ref.size() > kMaxRefBytes)
    return false;
  return std::all_of(ref.begin() + kPrefix.size(), ref.end(), [](char c) { return c >= '0' && c <= '9'; });
}

Result<JobSpec> parse_job(const Value& map) {
  if (!map.is_object())
    return malformed("not a map");
  JobSpec spec;
  for (auto* read_group :
       {read_names, read_shape, read_amounts, read_flags, read_placement, read_deadline, read_dependencies}) {
    if (Problem problem = read_group(map, spec))
      return tl::make_unexpected(std::move(*problem));
  }
  return spec;
}

Value job_value(const JobSpec& spec) {
  Value map{{field::kRef, spec.ref},
            {field::kJobClass, spec.job_class},
            {field::kTeam, spec.team},
            {field::kShape, enum_name(kShapes, spec.shape)},
            {field::kPriority, enum_name(kPriorities, spec.priority)},
            {field::kTasks, spec.tasks},
            {field::kCpus, spec.task_resources.cpus},
            {field::kGpus, spec.task_resources.gpus},
            {field::kMemoryGb, spec.task_resources.memory_gb},
            {field::kImage, spec.image},
            {field::kImageGb, spec.image_gb},
            {field::kSameZone, spec.same_zone},
            {field::kSpreadZones, spec.spread_zones},
            {field::kSpot, spec.allows_spot},
            {field::kEstimateS, spec.estimate_s},
            {field::kCheckpointIntervalS, spec.checkpoint_interval_s},
            {field::kCheckpointCostS, spec.checkpoint_cost_s}};
  if (!spec.types.empty())
    map[field::kMachineTypes] = spec.types;
  if (spec.zone)
    map[field::kZone] = *spec.zone;
  if (spec.deadline_s)
    map[field::kDeadlineS] = *spec.deadline_s;
  if (!spec.depends_on.empty())
    map[field::kDependencies] = spec.depends_on;
  return map;
}

Value job_record(const JobSpec& spec, double submitted_at) {
  Value record = job_value(spec);
  record[field::kSubmittedAt] = submitted_at;
  return record;
}

std::optional<double> submitted_at(const Value& record) {
  return amount(record, field::kSubmittedAt);
}

bool has_dependencies(const Value& record) {
  const Value* dependencies = find(record, field::kDependencies);
  return dependencies && dependencies->is_array() && !dependencies->empty();
}

Value final_state_record(const FinalState& ended) {
  Value record{{field::kPhase, phase_name(ended.phase)}, {field::kFinalTasks, ended.tasks}};
  if (ended.ended_at)
    record[field::kEndedAt] = *ended.ended_at;
  return record;
}

std::optional<FinalState> parse_final_state(const Value& record) {
  const auto phase = parse_phase(record);
  if (phase != Phase::done && phase != Phase::cancelled)
    return std::nullopt;
  return FinalState{*phase, static_cast<std::uint32_t>(count(record, field::kFinalTasks).value_or(0)),
                    amount(record, field::kEndedAt)};
}

Value job_state(const std::string& ref, Phase phase) {
  return {{field::kRef, ref}, {field::kPhase, phase_name(phase)}};
}

Value job_progress(const std::string& ref, Phase phase, std::uint32_t done, std::uint32_t running) {
  return {{field::kRef, ref},
          {field::kPhase, phase_name(phase)},
          {field::kDoneTasks, done},
          {field::kRunningTasks, running}};
}

std::optional<Phase> parse_phase(const Value& job_state_value) {
  return enum_by_name(kPhases, text(job_state_value, field::kPhase));
}

const char* phase_name(Phase phase) {
  return enum_name(kPhases, phase);
}

std::optional<TaskName> parse_task_name(std::string_view name) {
  const auto slash = name.rfind('/');
  if (slash == std::string_view::npos || !valid_ref(name.substr(0, slash)))
    return std::nullopt;
  TaskName parsed{std::string(name.substr(0, slash)), 0};
  const char* end = name.data() + name.size();
  const auto [rest, error] = std::from_chars(name.data() + slash + 1, end, parsed.task);
  if (error != std::errc() || rest != end || parsed.task >= kMaxTasks)
    return std::nullopt;
  return parsed;
}

std::string task_name(const std::string& ref, std::uint32_t index) {
  return ref + "/" + std::to_string(index);
}

}  // namespace wingtrail::wire
