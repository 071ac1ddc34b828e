// Division of a controller's budget of state service requests between queries and submissions, when
// submissions alone would use more than the whole budget.
//
// The tests guard against queries that fail while submissions continue. For more than 90 s every query of an
// accepted job was answered 429, even when its final state had long been recorded: after a restart of the
// controllers or a change of the leader no controller had the final state in memory, each query needed
// requests of the state service, and continuous submissions used all of them. About twenty queries in a row
// were refused with `requests_used_up`, at all controllers, for a job whose final state had been recorded a
// minute before. The cause was that queries got requests only if submissions left a third of the budget.
#include "store/state_client.hpp"

#include <gtest/gtest.h>

namespace wingtrail::store {
namespace {

constexpr double kRequestsPerS = 40;  // of the state service
constexpr double kDurationS = 60, kTickS = 0.01;

struct Counts {
  int sent = 0, throttled = 0;
};

// A state client that submissions and queries use at fixed rates.
class BusyClient {
 public:
  // `share_source`: the client has a share source, which gives it the whole budget.
  explicit BusyClient(bool share_source) : settings_(settings_of()), client_(out_, settings_) {
    if (share_source)
      client_.set_share_source([] { return StateClient::BudgetShare{1, 1, false}; });
  }
  void run(double submissions_per_s, double queries_per_s) {
    double submissions = 0, queries = 0;
    for (double now = 0; now < kDurationS; now += kTickS) {
      out_.set_now(now);
      for (submissions += submissions_per_s * kTickS; submissions >= 1; --submissions)
        send(RequestPriority::user, submissions_);
      for (queries += queries_per_s * kTickS; queries >= 1; --queries)
        send(RequestPriority::query, queries_);
      out_.drain();
    }
  }
  void send(RequestPriority priority, Counts& counts) {
    const auto before = client_.throttled();
    client_.get("f/req-1", priority, [](const Reply&) {});
    ++(client_.throttled() > before ? counts.throttled : counts.sent);
  }
  const Counts& submissions() const {
    return submissions_;
  }
  const Counts& queries() const {
    return queries_;
  }

 private:
  static settings::Settings settings_of() {
    settings::Settings settings;
    settings.state_requests_per_s = kRequestsPerS;
    return settings;
  }
  ports::Outbox out_;
  settings::Settings settings_;
  StateClient client_;
  Counts submissions_, queries_;
};

const char* budget_kind(bool share_source) {
  return share_source ? "the share source sets the budget share" : "the role sets the budget share";
}

TEST(StateClientBudget, QueriesAreSentDuringContinuousSubmissions) {
  for (const bool share_source : {true, false}) {
    SCOPED_TRACE(budget_kind(share_source));
    BusyClient client(share_source);
    client.run(200, 10);
    EXPECT_GT(client.submissions().throttled, client.submissions().sent)
        << "expected more submissions than the budget allows";
    EXPECT_GT(client.queries().sent, 4 * kDurationS) << "expected more than 4 queries per second";
    EXPECT_GT(client.submissions().sent, 0.6 * kRequestsPerS * kDurationS);
    EXPECT_LE(client.queries().sent + client.submissions().sent, kRequestsPerS * (kDurationS + 1));
  }
}

// The part reserved for queries is available to submissions while there are no queries.
TEST(StateClientBudget, SubmissionsUseTheWholeBudgetWithoutQueries) {
  for (const bool share_source : {true, false}) {
    SCOPED_TRACE(budget_kind(share_source));
    BusyClient client(share_source);
    client.run(200, 0);
    EXPECT_GT(client.submissions().sent, 0.85 * kRequestsPerS * kDurationS);
    EXPECT_LE(client.submissions().sent, kRequestsPerS * (kDurationS + 1));
  }
}

// Queries take no more than their reserved part from submissions.
TEST(StateClientBudget, QueriesDoNotStarveSubmissions) {
  for (const bool share_source : {true, false}) {
    SCOPED_TRACE(budget_kind(share_source));
    BusyClient client(share_source);
    client.run(200, 200);
    EXPECT_GT(client.submissions().sent, 0.6 * kRequestsPerS * kDurationS);
  }
}

}  // namespace
}  // namespace wingtrail::store
