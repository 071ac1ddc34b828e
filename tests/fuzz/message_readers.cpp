#include "fuzz/message_readers.hpp"

#include <cstdlib>
#include <string>

#include "peer/cell_message.hpp"
#include "peer/frame.hpp"
#include "settings/settings.hpp"
#include "wire/cloud_messages.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"
#include "wire/value.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::fuzz {
namespace {

constexpr std::size_t kMaxServiceReplyBytes = 8UL << 20;
constexpr std::size_t kMaxFileBytes = 64UL * 1024;

void require(bool condition) {
  if (!condition)
    std::abort();
}

void read_submission(std::string_view bytes) {
  const auto spec = wire::decode_cbor(bytes).and_then(wire::parse_job);
  if (!spec)
    return;
  const auto again = wire::parse_job(wire::job_value(*spec));
  require(again && wire::job_value(*again) == wire::job_value(*spec));
}

void read_heartbeat(std::string_view bytes) {
  const auto value = wire::decode_cbor(bytes);
  const auto heartbeat = wire::parse_heartbeat(bytes);
  // Both readers refuse the same messages as malformed or as too deeply nested.
  if (value)
    require(heartbeat || heartbeat.error().reason == wire::RefusalReason::content);
  else if (value.error().reason != wire::RefusalReason::content)
    require(!heartbeat);
}

void read_service_reply(std::string_view bytes) {
  const auto reply = wire::decode_cbor(bytes, wire::InvalidText::replace);
  if (!reply)
    return;
  (void)reply->dump();
  (void)wire::parse_range(*reply);
  (void)wire::parse_changes(*reply);
  (void)wire::parse_item(*reply);
  (void)wire::failed_keys(*reply);
  (void)wire::parse_catalog(*reply);
  (void)wire::parse_machine_list(*reply);
  (void)wire::parse_final_state(*reply);
}

void read_frame(std::string_view bytes) {
  if (const auto frame = peer::decode(bytes))
    require(peer::decode(peer::encode(*frame)).has_value());
}

void read_cell_message(std::string_view bytes) {
  if (const auto message = peer::decode_cell_message(bytes))
    require(peer::decode_cell_message(peer::encode(*message)).has_value());
}

void read_settings(std::string_view bytes) {
  (void)settings::parse(std::string(bytes), "");
}

void read_tunables(std::string_view bytes) {
  (void)settings::parse("", std::string(bytes));
}

constexpr MessageReader kReaders[] = {{"submission", wire::kMaxBody, read_submission},
                                      {"heartbeat", wire::kMaxBody, read_heartbeat},
                                      {"service_reply", kMaxServiceReplyBytes, read_service_reply},
                                      {"frame", 2 * wire::kMaxBody, read_frame},
                                      {"cell_message", 2 * wire::kMaxBody, read_cell_message},
                                      {"settings", kMaxFileBytes, read_settings},
                                      {"tunables", kMaxFileBytes, read_tunables}};

}  // namespace

std::span<const MessageReader> message_readers() {
  return kReaders;
}

}  // namespace wingtrail::fuzz
