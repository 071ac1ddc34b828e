#include <gtest/gtest.h>

#include <pcg_random.hpp>

#include "peer/frame.hpp"
#include "wire/cloud_messages.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::wire {
namespace {

Value sample() {
  return {{"ref", "req-000412"}, {"jobclass", "train"},  {"owner", "vision"},    {"shape", "sweep"},
          {"urgency", "high"},   {"shards", 16},         {"cores", 8.0},         {"accelerators", 1},
          {"memGb", 64.0},       {"bundle", "img-07"},   {"sizeGb", 6.2},        {"flavours", {"g8"}},
          {"hall", nullptr},     {"samePlace", true},    {"apart", false},       {"standby", true},
          {"expectedS", 240.0},  {"snapshotEveryS", 30}, {"snapshotCostS", 4.0}, {"dueS", 900.0}};
}

TEST(Job, SurvivesTheWayThereAndBack) {
  auto spec = parse_job(*decode_cbor(encode_cbor(sample())));
  ASSERT_TRUE(spec) << spec.error().text();
  EXPECT_EQ(spec->tasks, 16U);
  EXPECT_EQ(spec->priority, Priority::high);
  EXPECT_DOUBLE_EQ(spec->task_resources.gpus, 1.0);  // an amount coded as an integer
  EXPECT_FALSE(spec->zone);
  auto again = parse_job(job_value(*spec));
  ASSERT_TRUE(again);
  EXPECT_EQ(job_value(*again), job_value(*spec));
}

TEST(Job, NullAndMissingAreAlikeAndUnknownFieldsIgnored) {
  Value v = sample();
  v.erase("hall");
  v["flavours"] = nullptr;
  v["later"] = {{"deep", 1}};
  auto spec = parse_job(v);
  ASSERT_TRUE(spec) << spec.error().text();
  EXPECT_TRUE(spec->types.empty());
}

TEST(Job, EveryBadFieldIsRefusedByName) {
  const std::pair<const char*, Value> bad[] = {
      {"ref", "job-1"},    {"ref", "req-"},       {"ref", "req-1/2"}, {"ref", 7},          {"owner", ""},
      {"shape", "blob"},   {"urgency", "now"},    {"shards", 0},      {"shards", 100001},  {"shards", -1},
      {"shards", 1.5},     {"cores", -1.0},       {"cores", "8"},     {"memGb", 1e300},    {"flavours", "g8"},
      {"flavours", {1}},   {"hall", 3},           {"apart", "yes"},   {"expectedS", -0.1}, {"dueS", "soon"},
      {"bundle", nullptr}, {"samePlace", nullptr}};
  for (const auto& [field, value] : bad) {
    Value v = sample();
    v[field] = value;
    auto spec = parse_job(v);
    ASSERT_FALSE(spec) << field << " = " << value.dump();
    EXPECT_NE(spec.error().text().find(field), std::string::npos) << spec.error().text();
  }
  EXPECT_FALSE(parse_job(Value::array()));
}

TEST(Cbor, RefusesWhatTheProtocolHasNoUseFor) {
  using namespace std::string_literals;
  EXPECT_FALSE(decode_cbor(""));
  EXPECT_FALSE(decode_cbor("\xa1"));  // truncated
  EXPECT_FALSE(
      decode_cbor("\x43"
                  "abc"));                                 // binary
  EXPECT_FALSE(decode_cbor("\xf9\x7e\x00"s));              // NaN
  EXPECT_FALSE(decode_cbor("\xfb\x7f\xf0\0\0\0\0\0\0"s));  // infinity
  EXPECT_FALSE(
      decode_cbor("\xa2\x61"
                  "a"
                  "\x01\x61"
                  "a\x02"));                               // a key twice
  EXPECT_FALSE(decode_cbor("\x01\x02"));                   // trailing bytes
  EXPECT_FALSE(decode_cbor(std::string(60'000, '\x81')));  // nesting that would exhaust the stack
  EXPECT_EQ(decode_cbor("\x1b\xff\xff\xff\xff\xff\xff\xff\xff")->get<std::uint64_t>(), ~std::uint64_t{0});
}

TEST(Cbor, MutatedAndRandomBytesNeverCrash) {
  pcg32 rng(42);
  const std::string good = encode_cbor(sample());
  int parsed = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = good;
    for (std::uint32_t k = rng(6) + 1; k > 0; --k)
      bytes[rng(static_cast<std::uint32_t>(bytes.size()))] = static_cast<char>(rng(256));
    if (rng(3) == 0)
      bytes.resize(rng(static_cast<std::uint32_t>(bytes.size())));
    if (auto v = decode_cbor(bytes)) {
      ++parsed;
      (void)parse_job(*v);
      (void)parse_changes(*v);
      (void)parse_catalog(*v);
      (void)parse_machine_list(*v);
    }
    (void)parse_heartbeat(bytes);
    (void)peer::decode(bytes);
  }
  EXPECT_GT(parsed, 100);
}

TEST(HeartbeatParsing, ReadsEveryStateAndRefusesMalformedTasks) {
  Value v{{"host", "i-1"},
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
  auto r = parse_heartbeat(encode_cbor(v));
  ASSERT_TRUE(r) << r.error().text();
  EXPECT_EQ(r->tasks[0].phase, TaskPhase::running);
  EXPECT_EQ(r->tasks[1].cause, ExitCause::no_room);
  EXPECT_DOUBLE_EQ(*r->preemption_in_s, 7.5);
  v["shards"][0]["shard"] = "req-1";
  EXPECT_FALSE(parse_heartbeat(encode_cbor(v)));
  v["shards"] = 3;
  EXPECT_FALSE(parse_heartbeat(encode_cbor(v)));
  v["shards"] = {5};
  EXPECT_FALSE(parse_heartbeat(encode_cbor(v)));
  v["shards"] = nullptr;
  v["later"] = {{"shards", {{{"shard", "req-1/4"}, {"try", 3}}}}, {"host", 3}};
  r = parse_heartbeat(encode_cbor(v));
  ASSERT_TRUE(r) << "fields that are not known are passed over, however deep";
  EXPECT_TRUE(r->tasks.empty());
  EXPECT_EQ(r->host, "i-1");
  v["tenure"] = 0;
  EXPECT_FALSE(parse_heartbeat(encode_cbor(v)));
  v.erase("tenure");
  EXPECT_FALSE(parse_heartbeat(encode_cbor(v)));
  EXPECT_FALSE(parse_heartbeat(encode_cbor(Value::array({v}))));
  EXPECT_FALSE(parse_heartbeat("\xa1\x64host"));
}

TEST(Peer, FramesSurviveAndGarbageDoesNot) {
  peer::Frame f;
  f.node = "a";
  f.leader_fencing_token = ~std::uint64_t{0};
  f.body = std::string("\0\xff", 2);
  f.status = 503;
  auto back = peer::decode(peer::encode(f));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->leader_fencing_token, f.leader_fencing_token);
  EXPECT_EQ(back->body, f.body);
  EXPECT_FALSE(peer::decode("\xdd\xff\xff\xff\xff"));  // an array of four thousand million
  EXPECT_FALSE(peer::decode(""));
}

}  // namespace
}  // namespace wingtrail::wire
