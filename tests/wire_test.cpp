#include <gtest/gtest.h>

#include <limits>
#include <pcg_random.hpp>

#include "peer/cell_message.hpp"
#include "peer/frame.hpp"
#include "wire/cloud_messages.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::wire {
namespace {

// A valid submission with every field except the dependencies.
Value sample_job() {
  return {{"ref", "req-000412"}, {"jobclass", "train"},  {"owner", "vision"},    {"shape", "sweep"},
          {"urgency", "high"},   {"shards", 16},         {"cores", 8.0},         {"accelerators", 1},
          {"memGb", 64.0},       {"bundle", "img-07"},   {"sizeGb", 6.2},        {"flavours", {"g8"}},
          {"hall", nullptr},     {"samePlace", true},    {"apart", false},       {"standby", true},
          {"expectedS", 240.0},  {"snapshotEveryS", 30}, {"snapshotCostS", 4.0}, {"dueS", 900.0}};
}

TEST(Job, IsUnchangedByEncodingAndParsing) {
  auto spec = parse_job(*decode_cbor(encode_cbor(sample_job())));
  ASSERT_TRUE(spec) << "a valid submission was refused: " << spec.error().text();
  EXPECT_EQ(spec->tasks, 16U);
  EXPECT_EQ(spec->priority, Priority::high);
  EXPECT_DOUBLE_EQ(spec->task_resources.gpus, 1.0);  // the sample encodes it as an integer
  EXPECT_FALSE(spec->zone) << "a null zone was read as " << *spec->zone;
  auto reparsed = parse_job(job_value(*spec));
  ASSERT_TRUE(reparsed) << "job_value() gave a malformed submission: " << reparsed.error().text();
  EXPECT_EQ(job_value(*reparsed), job_value(*spec));
}

TEST(Job, AcceptsMissingOrNullOptionalFieldsAndIgnoresUnknownOnes) {
  Value job = sample_job();
  job.erase("hall");
  job["flavours"] = nullptr;
  job["later"] = {{"deep", 1}};  // a field of a later version
  auto spec = parse_job(job);
  ASSERT_TRUE(spec) << "a valid submission was refused: " << spec.error().text();
  EXPECT_TRUE(spec->types.empty()) << "null machine types must mean any type";
}

TEST(Job, RefusesMalformedFieldsAndNamesThem) {
  const std::pair<const char*, Value> malformed_fields[] = {
      {"ref", "job-1"},    {"ref", "req-"},       {"ref", "req-1/2"}, {"ref", 7},          {"owner", ""},
      {"shape", "blob"},   {"urgency", "now"},    {"shards", 0},      {"shards", 100001},  {"shards", -1},
      {"shards", 1.5},     {"cores", -1.0},       {"cores", "8"},     {"memGb", 1e300},    {"flavours", "g8"},
      {"flavours", {1}},   {"hall", 3},           {"apart", "yes"},   {"expectedS", -0.1}, {"dueS", "soon"},
      {"bundle", nullptr}, {"samePlace", nullptr}};
  for (const auto& [name, value] : malformed_fields) {
    Value job = sample_job();
    job[name] = value;
    auto spec = parse_job(job);
    ASSERT_FALSE(spec) << "accepted " << name << " = " << value.dump();
    EXPECT_NE(spec.error().text().find(name), std::string::npos)
        << "the error must name the field " << name << ": " << spec.error().text();
  }
  EXPECT_FALSE(parse_job(Value::array())) << "accepted a list in place of a map";
}

TEST(Cbor, RefusesMalformedAmbiguousAndDeeplyNestedValues) {
  using namespace std::string_literals;
  EXPECT_FALSE(decode_cbor(""));      // no value
  EXPECT_FALSE(decode_cbor("\xa1"));  // a map without its first entry
  EXPECT_FALSE(
      decode_cbor("\x43"
                  "abc"));                                 // a binary string
  EXPECT_FALSE(decode_cbor("\xf9\x7e\x00"s));              // NaN
  EXPECT_FALSE(decode_cbor("\xfb\x7f\xf0\0\0\0\0\0\0"s));  // infinity
  EXPECT_FALSE(
      decode_cbor("\xa2\x61"
                  "a"
                  "\x01\x61"
                  "a\x02"));              // a map with a duplicate key
  EXPECT_FALSE(decode_cbor("\x01\x02"));  // trailing bytes
  // Lists nested so deeply that decoding all of them would overflow the stack.
  EXPECT_FALSE(decode_cbor(std::string(60'000, '\x81')));
  // The largest integer is accepted.
  EXPECT_EQ(decode_cbor("\x1b\xff\xff\xff\xff\xff\xff\xff\xff")->get<std::uint64_t>(), ~std::uint64_t{0});
}

// Byte sequences that are not UTF-8: Latin-1, a lone continuation, truncated, overlong, a surrogate, beyond
// U+10FFFF.
constexpr const char* kInvalidTexts[] = {"z\xe4hler", "\x80",         "a\xc3",
                                         "\xc0\xaf",  "\xed\xa0\x80", "\xf5\x80\x80\x80"};

// Text that is not UTF-8 ended every controller that measured a record with it.
TEST(Cbor, RefusesTextAndKeysThatAreNotUtf8) {
  EXPECT_TRUE(decode_cbor(encode_cbor("z\xc3\xa4hler \xf0\x9f\x90\xa6"))) << "refused text that is UTF-8";
  for (const std::string text : kInvalidTexts) {
    EXPECT_FALSE(decode_cbor(encode_cbor(text)));
    EXPECT_FALSE(decode_cbor(encode_cbor({{"later", {{"deep", {text}}}}})));
    EXPECT_FALSE(decode_cbor(encode_cbor({{text, 1}})));
  }
}

// One stored record with such text must not make the other records of the reply unreadable.
TEST(Cbor, ReplacesInvalidTextInRepliesWithManyRecords) {
  for (const std::string text : kInvalidTexts) {
    const Value reply{
        {"items", {{{"path", "j/req-1"}, {"data", {{"jobclass", text}, {text, 1}}}, {"stamp", 1}}}},
        {"ledgerRev", 2}};
    const auto decoded = decode_cbor(encode_cbor(reply), InvalidText::replace);
    ASSERT_TRUE(decoded);
    EXPECT_NO_THROW((void)decoded->dump());
    const auto range = parse_range(*decoded);
    ASSERT_TRUE(range);
    EXPECT_NE(range->items[0].value["jobclass"].get<std::string>().find("\xef\xbf\xbd"), std::string::npos);
  }
}

TEST(Cbor, MutatedOrTruncatedBytesDoNotCrashAnyParser) {
  pcg32 rng(42);
  const std::string valid = encode_cbor(sample_job());
  int decoded = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = valid;
    for (std::uint32_t mutations = rng(6) + 1; mutations > 0; --mutations)
      bytes[rng(static_cast<std::uint32_t>(bytes.size()))] = static_cast<char>(rng(256));
    if (rng(3) == 0)
      bytes.resize(rng(static_cast<std::uint32_t>(bytes.size())));
    if (auto value = decode_cbor(bytes)) {
      ++decoded;
      ASSERT_NO_THROW((void)value->dump()) << "a decoded value must be printable";
      (void)parse_job(*value);
      (void)parse_changes(*value);
      (void)parse_catalog(*value);
      (void)parse_machine_list(*value);
    }
    (void)parse_heartbeat(bytes);
    (void)peer::decode(bytes);
  }
  EXPECT_GT(decoded, 100) << "too few of the mutated messages reach the parsers behind decode_cbor()";
}

TEST(HeartbeatParsing, ReadsTaskStatesSkipsUnknownFieldsAndRefusesMalformedOnes) {
  Value heartbeat{{"host", "i-1"},
                  {"addr", "10.0.0.1:9"},
                  {"flavour", "g8"},
                  {"hall", "a"},
                  {"tenure", 2},
                  {"counter", 5},
                  {"mandate", 41},
                  {"reclaimInS", 7.5},
                  {"shards",
                   {{{"shard", "req-1/3"}, {"try", 2}, {"phase", "running"}},
                    {{"shard", "req-1/4"}, {"try", 3}, {"phase", "exited"}, {"cause", "no_room"}}}}};
  auto result = parse_heartbeat(encode_cbor(heartbeat));
  ASSERT_TRUE(result) << "a valid heartbeat was refused: " << result.error().text();
  EXPECT_EQ(result->tasks[0].phase, TaskPhase::running);
  EXPECT_EQ(result->tasks[1].cause, ExitCause::no_room);
  EXPECT_DOUBLE_EQ(*result->preemption_in_s, 7.5);
  heartbeat["shards"][0]["shard"] = "req-1";
  EXPECT_FALSE(parse_heartbeat(encode_cbor(heartbeat))) << "accepted a task name without a number";
  heartbeat["shards"] = 3;
  EXPECT_FALSE(parse_heartbeat(encode_cbor(heartbeat))) << "accepted a number in place of the list of tasks";
  heartbeat["shards"] = {5};
  EXPECT_FALSE(parse_heartbeat(encode_cbor(heartbeat))) << "accepted a number in place of a task";
  heartbeat["shards"] = nullptr;
  heartbeat["later"] = {{"shards", {{{"shard", "req-1/4"}, {"try", 3}}}}, {"host", 3}};
  result = parse_heartbeat(encode_cbor(heartbeat));
  ASSERT_TRUE(result) << "an unknown field with known names inside was not skipped: "
                      << result.error().text();
  EXPECT_TRUE(result->tasks.empty());
  EXPECT_EQ(result->host, "i-1");
  heartbeat["tenure"] = 0;
  EXPECT_FALSE(parse_heartbeat(encode_cbor(heartbeat))) << "accepted incarnation 0";
  heartbeat.erase("tenure");
  EXPECT_FALSE(parse_heartbeat(encode_cbor(heartbeat))) << "accepted a heartbeat without an incarnation";
  EXPECT_FALSE(parse_heartbeat(encode_cbor(Value::array({heartbeat}))))
      << "accepted a list in place of a map";
  EXPECT_FALSE(parse_heartbeat("\xa1\x64host")) << "accepted truncated CBOR";
}

TEST(HeartbeatParsing, RefusesTextAndKeysThatAreNotUtf8) {
  const Value valid{{"host", "i-1"}, {"addr", "10.0.0.1:9"}, {"flavour", "g8"}, {"hall", "a"},
                    {"tenure", 2},   {"counter", 5},         {"later", "x"}};
  ASSERT_TRUE(parse_heartbeat(encode_cbor(valid)));
  for (const std::string text : kInvalidTexts) {
    for (const char* name : {"host", "addr", "flavour", "hall", "later"}) {
      Value heartbeat = valid;
      heartbeat[name] = text;
      EXPECT_FALSE(parse_heartbeat(encode_cbor(heartbeat))) << "accepted invalid text in " << name;
    }
    Value heartbeat = valid;
    heartbeat[text] = 1;
    EXPECT_FALSE(parse_heartbeat(encode_cbor(heartbeat))) << "accepted an invalid key";
  }
}

// A stored final state that says "running" would be answered as final, and would cancel the jobs that depend
// on it.
TEST(Job, AFinalStateIsDoneOrCancelled) {
  for (const Phase phase : {Phase::done, Phase::cancelled})
    EXPECT_TRUE(parse_final_state(final_state_record({phase, 3, 1.0})));
  for (const Phase phase : {Phase::queued, Phase::running})
    EXPECT_FALSE(parse_final_state(final_state_record({phase, 3, 1.0})));
  EXPECT_FALSE(parse_final_state({{"phase", 7}}));
  EXPECT_FALSE(parse_final_state(Value::array()));
}

// Machine counts are quotients of these amounts, converted to integers.
TEST(Catalog, RefusesAmountsOutOfRange) {
  const Value valid{{"name", "g8"}, {"cores", 96},  {"memGb", 768},
                    {"bootS", 45},  {"rate", 12.0}, {"halls", {"a"}}};
  const auto parsed = parse_catalog({{"flavours", {valid}}});
  ASSERT_TRUE(parsed);
  EXPECT_EQ((*parsed)[0].spot_price, 12.0)
      << "the price of a spot machine defaults to that of an ordinary one";
  const std::pair<const char*, double> out_of_range[] = {
      {"cores", 0},  {"cores", 1e-300},    {"cores", 1e300},    {"cores", -1},
      {"memGb", -1}, {"accelerators", -1}, {"bootS", -1},       {"bootS", 1e300},
      {"rate", -1},  {"marketPrice", -1},  {"fetchGbPerS", -1}, {"cacheGb", 1e300}};
  for (const auto& [field, amount] : out_of_range) {
    Value type = valid;
    type[field] = amount;
    EXPECT_FALSE(parse_catalog({{"flavours", {type}}})) << "accepted " << field << " = " << amount;
  }
}

// One NaN in a lent share left the budget of the state service without a limit until the process ended.
TEST(Peer, FramesAndDigestsWithNumbersThatAreNotFiniteAreRefused) {
  constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  peer::Frame frame;
  frame.all_support_delegation_s = -kInfinity;
  EXPECT_TRUE(peer::decode(peer::encode(frame))) << "a duration may be infinite";
  for (double peer::Frame::*const number :
       {&peer::Frame::process_age_s, &peer::Frame::delegation_s, &peer::Frame::max_delegation_s,
        &peer::Frame::final_state_lag_s, &peer::Frame::lent_write_share, &peer::Frame::lent_request_share}) {
    peer::Frame invalid = frame;
    invalid.*number = kNan;
    EXPECT_FALSE(peer::decode(peer::encode(invalid)));
  }
  frame.lent_request_share = kInfinity;
  EXPECT_FALSE(peer::decode(peer::encode(frame))) << "a budget share must be finite";
  peer::CellMessage message;
  message.digest.emplace_back().wait_s = kInfinity;
  EXPECT_TRUE(peer::decode_cell_message(peer::encode(message)));
  message.digest.front().team_cores["red"] = kNan;
  EXPECT_FALSE(peer::decode_cell_message(peer::encode(message)));
}

TEST(Peer, FramesAreUnchangedByEncodingAndGarbageIsRefused) {
  peer::Frame frame;
  frame.node = "a";
  frame.leader_fencing_token = ~std::uint64_t{0};
  frame.body = std::string("\0\xff", 2);
  frame.status = 503;
  auto decoded = peer::decode(peer::encode(frame));
  ASSERT_TRUE(decoded) << "an encoded frame was refused";
  EXPECT_EQ(decoded->leader_fencing_token, frame.leader_fencing_token);
  EXPECT_EQ(decoded->body, frame.body);
  frame.leader = "node-\xff";
  EXPECT_FALSE(peer::decode(peer::encode(frame))) << "accepted a leader's name that is not UTF-8";
  // The header of an array of 2^32 - 1 items, without the items.
  EXPECT_FALSE(peer::decode("\xdd\xff\xff\xff\xff"));
  EXPECT_FALSE(peer::decode(""));
}

}  // namespace
}  // namespace wingtrail::wire
