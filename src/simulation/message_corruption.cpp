#include "simulation/message_corruption.hpp"

#include <cmath>
#include <iterator>
#include <limits>

namespace wingtrail::simulation {
namespace {

constexpr std::size_t kMaxMutations = 4;  // of one message
constexpr std::size_t kLongTextBytes = 5000;
constexpr std::size_t kMaxUnitBytes = 3;
constexpr std::size_t kMaxWrappings = 2 * static_cast<std::size_t>(wire::kMaxDepth);

}  // namespace

bool MessageCorruption::chosen(double probability) {
  return std::ldexp(static_cast<double>(rng_()), -32) < probability;
}

std::string MessageCorruption::corrupt_cbor(const std::string& bytes) {
  if (below(20) == 0)
    return repeated_unit(bytes);
  std::string corrupted = bytes;
  auto value = wire::decode_cbor(bytes, wire::InvalidText::replace);
  if (!value || below(3) == 0) {
    corrupt_bytes(corrupted);
    return corrupted;
  }
  for (std::size_t mutations = below(kMaxMutations) + 1; mutations > 0; --mutations)
    corrupt_value(*value);
  return wire::encode_cbor(*value);
}

std::string MessageCorruption::repeated_unit(const std::string& bytes) {
  std::string message = bytes.substr(0, below(bytes.size() + 1));
  std::string unit;
  for (std::size_t size = below(kMaxUnitBytes) + 1; size > 0; --size)
    unit += static_cast<char>(rng_());
  while (message.size() + unit.size() <= wire::kMaxBody)
    message += unit;
  return message;
}

std::string MessageCorruption::corrupt_frame(peer::Frame frame) {
  std::string* const texts[] = {&frame.node, &frame.leader, &frame.method, &frame.path, &frame.cell};
  double* const numbers[] = {&frame.retry_after_s,
                             &frame.process_age_s,
                             &frame.since_delegated_renewal_s,
                             &frame.all_support_delegation_s,
                             &frame.max_delegation_s,
                             &frame.delegation_s,
                             &frame.requested_write_share,
                             &frame.requested_request_share,
                             &frame.lent_write_share,
                             &frame.lent_request_share,
                             &frame.final_state_lag_s};
  switch (below(5)) {
    case 0:
      *texts[below(std::size(texts))] = unusual_text();
      break;
    case 1:
      *numbers[below(std::size(numbers))] = unusual_number();
      break;
    case 2:
      frame.body = corrupt_cbor(frame.body);
      break;
    case 3:
      corrupt_bytes(frame.deferred_attempts);
      frame.status = static_cast<std::int32_t>(rng_());
      break;
    default: {
      std::string bytes = peer::encode(frame);
      corrupt_bytes(bytes);
      return bytes;
    }
  }
  return peer::encode(frame);
}

void MessageCorruption::corrupt_bytes(std::string& bytes) {
  for (std::size_t mutations = below(kMaxMutations) + 1; mutations > 0 && !bytes.empty(); --mutations)
    bytes[below(bytes.size())] = static_cast<char>(rng_());
  if (below(4) == 0)
    bytes.resize(below(bytes.size() + 1));
}

void MessageCorruption::corrupt_value(wire::Value& value) {
  if (!value.is_structured() || value.empty()) {
    value = unusual_value();
    return;
  }
  wire::Value* container = &value;
  for (;;) {
    wire::Value& member = *std::next(container->begin(), below(container->size()));
    const bool descends = member.is_structured() && !member.empty() && below(4) > 0;
    if (!descends)
      return corrupt_member(*container, member);
    container = &member;
  }
}

void MessageCorruption::corrupt_member(wire::Value& container, wire::Value& member) {
  switch (below(6)) {
    case 0:
      member = nullptr;
      return;
    case 1:
      if (container.is_array())
        container.push_back(wire::Value(member));
      else
        container[unusual_text()] = wire::Value(member);
      return;
    case 2:
      if (member.is_string()) {
        auto text = member.get<std::string>();
        corrupt_bytes(text);
        member = text;
        return;
      }
      [[fallthrough]];
    default:
      member = unusual_value();
  }
}

wire::Value MessageCorruption::unusual_value() {
  switch (below(8)) {
    case 7:
      return wrapped_value();
    case 0:
      return unusual_text();
    case 1:
      return unusual_number();
    case 2:
      return std::numeric_limits<std::uint64_t>::max() - below(10);
    case 3:
      return below(300);
    case 4:
      return wire::Value::array({unusual_text(), below(10), nullptr});
    case 5:
      return wire::Value::object({{unusual_text(), below(10)}});
    default:
      return below(2) == 0;
  }
}

wire::Value MessageCorruption::wrapped_value() {
  wire::Value value = unusual_text();
  for (std::size_t wrappings = below(kMaxWrappings) + 1; wrappings > 0; --wrappings) {
    if (below(2) == 0)
      value = wire::Value::array({std::move(value)});
    else
      value = wire::Value::object({{"x", std::move(value)}});
  }
  return value;
}

std::string MessageCorruption::unusual_text() {
  static const std::string kTexts[] = {"",        "x",         "/",       "req-1",
                                       "req-1/0", "j/",        "f/req-1", "j/req-1/abort",
                                       "node-1",  "z\xe4hler", "\xff",    std::string(kLongTextBytes, 'x')};
  return kTexts[below(std::size(kTexts))];
}

double MessageCorruption::unusual_number() {
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  static constexpr double kNumbers[] = {0,
                                        -1,
                                        0.5,
                                        1e-300,
                                        1e9,
                                        1e18,
                                        1e300,
                                        -1e300,
                                        kInfinity,
                                        -kInfinity,
                                        -1e-9,
                                        2147483648.0,
                                        std::numeric_limits<double>::quiet_NaN()};
  return kNumbers[below(std::size(kNumbers))];
}

}  // namespace wingtrail::simulation
