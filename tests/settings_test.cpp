#include "settings/settings.hpp"

#include <gtest/gtest.h>

namespace wingtrail::settings {
namespace {

std::string valid_toml() {
  return R"(
node_name = "n0"
area = "a"
client_listen = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
surprise = 1
[[seeds]]
node_name = "n1"
area = "b"
endpoint = "10.0.0.2:8081"
[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
zones = ["a", "b"]
[[params.teams]]
name = "t"
cpus = 4.0
cpus_max = 8
[params.workers]
report_s = 3.0
lease_s = 27.0
cancel_s = 47.0
[params.state]
rps = 120.0
write_rps = 30.0
value_kb = 8.0
txn_ops = 12
[params.cloud]
rps = 8.0
list_lag_s = 5.0
[params.limits]
max_connections = 1800
)";
}

// Returns the valid settings with the first occurrence of `from` replaced.
std::string with_replacement(const std::string& from, const std::string& to) {
  std::string text = valid_toml();
  const auto position = text.find(from);
  EXPECT_NE(position, std::string::npos) << "the valid settings do not contain: " << from;
  return text.replace(position, from.size(), to);
}

TEST(Settings, AreReadAndUnknownFieldsIgnored) {
  auto result = parse(valid_toml(), "cutoff_s: 90\nsteal_sample: 5\n");
  ASSERT_TRUE(result.problems.empty()) << "valid settings were refused: " << result.problems[0];
  EXPECT_EQ(result.settings.peers[0].endpoint.port, 8081);
  EXPECT_DOUBLE_EQ(result.settings.teams[0].cpus_max, 8);
  EXPECT_DOUBLE_EQ(result.settings.tunables.long_job_cutoff_s, 90);
  EXPECT_EQ(result.settings.tunables.steal_sample, 5);
}

TEST(Settings, EachProblemNamesItsFieldAndTheExpectedValue) {
  const std::tuple<const char*, const char*, const char*> cases[] = {
      {"node_name = \"n0\"", "", "node_name: missing"},
      {"10.0.0.1:8080", "10.0.0.1", "client_listen: expected IPV4:PORT"},
      {"10.0.0.2:8081", "host:1", "seeds[0].endpoint: expected IPV4:PORT"},
      {"10.2.0.1:2379", "10.2.0.1:99999", "external.state: expected IPV4:PORT"},
      {"report_s = 3.0", "report_s = \"3\"", "params.workers.report_s: expected a number"},
      {"lease_s = 27.0", "lease_s = 2.0", "params.workers.lease_s: expected more than report_s"},
      {"cancel_s = 47.0", "cancel_s = 20.0", "params.workers.cancel_s: expected more than lease_s"},
      {"cpus = 4.0", "cpus = 9.0", "params.teams[0].cpus: expected no more than cpus_max"},
      {"txn_ops = 12", "txn_ops = -1", "params.state.txn_ops: expected a number from"},
      {"node_name = \"n1\"", "node_name = \"n0\"", "seeds[0].node_name: expected names that occur once"},
      {"area = \"a\"", "area = ", "line 3"}};
  for (const auto& [from, to, expected] : cases) {
    auto result = parse(with_replacement(from, to), "");
    ASSERT_FALSE(result.problems.empty()) << "no problem found, expected: " << expected;
    EXPECT_NE(result.problems[0].find(expected), std::string::npos)
        << "found: " << result.problems[0] << ", expected: " << expected;
  }
}

// The state service changes to the limits of `next` at an unannounced time, so the lower of both limits
// applies from the start.
TEST(Settings, LowerOfPresentAndNextLimitsOfTheStateServiceApplies) {
  const auto parse_with = [](const std::string& next) {
    return parse(with_replacement("txn_ops = 12\n", "txn_ops = 12\n" + next), "");
  };
  auto result = parse_with("[params.state.next]\nwrite_rps = 21.0\nvalue_kb = 2.0\ntxn_ops = 4\n");
  ASSERT_TRUE(result.problems.empty()) << "valid limits were refused: " << result.problems[0];
  EXPECT_DOUBLE_EQ(result.settings.state_writes_per_s, 21);
  EXPECT_DOUBLE_EQ(result.settings.state_value_kb, 2);
  EXPECT_EQ(result.settings.max_transaction_changes, 4);
  EXPECT_DOUBLE_EQ(result.settings.state_requests_per_s, 120);
  result = parse_with("[params.state.next]\nvalue_kb = 64.0\n");
  ASSERT_TRUE(result.problems.empty()) << "valid limits were refused: " << result.problems[0];
  EXPECT_DOUBLE_EQ(result.settings.state_value_kb, 8);
  EXPECT_TRUE(parse_with("").problems.empty()) << "settings without state.next were refused";
  for (const char* invalid : {"[params.state.next]\ntxn_ops = 1\n", "[params.state.next]\nvalue_kb = -2\n",
                              "[params.state.next]\nrps = \"many\"\n", "next = 3\n"}) {
    result = parse_with(invalid);
    ASSERT_EQ(result.problems.size(), 1U) << "expected one problem for: " << invalid;
    EXPECT_TRUE(result.problems[0].starts_with("params.state.next"))
        << "expected a problem of params.state.next, found: " << result.problems[0];
  }
}

TEST(Tunables, UnknownNamesTypesAndRangesAreRefused) {
  for (const char* yaml : {"cutof_s: 1", "cutoff_s: soon", "cutoff_s: -1", "steal_sample: 1.5", "- 1", "a: [",
                           "headroom: .nan"}) {
    EXPECT_FALSE(parse(valid_toml(), yaml).problems.empty()) << "expected a problem for: " << yaml;
  }
}

TEST(Settings, AnUnreadableFileIsAProblem) {
  auto result = load("/nonexistent/file.toml", "");
  ASSERT_EQ(result.problems.size(), 1U);
  EXPECT_NE(result.problems[0].find("cannot be read"), std::string::npos) << "found: " << result.problems[0];
}

}  // namespace
}  // namespace wingtrail::settings
