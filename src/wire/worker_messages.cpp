#include "wire/worker_messages.hpp"

#include "wire/field_names.hpp"
#include "wire/parsing.hpp"

namespace wingtrail::wire {
namespace {

constexpr EnumName<Command::Verb> kVerbs[] = {
    {"start", Command::Verb::start}, {"halt", Command::Verb::stop}, {"reap", Command::Verb::forget}};

Value commands_value(const std::vector<Command>& commands) {
  Value list = Value::array();
  for (const Command& command : commands) {
    Value item{{field::kVerb, enum_name(kVerbs, command.verb)},
               {field::kTask, command.task},
               {field::kAttempt, command.attempt}};
    if (command.verb == Command::Verb::stop)
      item[field::kGraceS] = command.grace_s;
    list.push_back(std::move(item));
  }
  return list;
}

}  // namespace

const char* verb_name(Command::Verb verb) {
  return enum_name(kVerbs, verb);
}

Value heartbeat_reply(std::uint64_t token, const std::vector<Command>& commands) {
  return {{field::kFencingToken, token}, {field::kCommands, commands_value(commands)}};
}

Value commands_body(std::uint64_t token, std::uint64_t incarnation, const std::vector<Command>& commands) {
  return {{field::kFencingToken, token},
          {field::kIncarnation, incarnation},
          {field::kCommands, commands_value(commands)}};
}

Value leader_redirect(const std::string& node) {
  return node.empty() ? Value::object() : Value{{field::kLeader, node}};
}

}  // namespace wingtrail::wire
