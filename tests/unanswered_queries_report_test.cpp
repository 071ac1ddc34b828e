#include <gtest/gtest.h>

#include "controller/unanswered_queries.hpp"

namespace wingtrail::controller {
namespace {

constexpr Seconds kQueryInterval = 5;

// Defers a query of the job every few seconds until `end`.
void defer_until(UnansweredQueries& queries, const std::string& ref, Seconds begin, Seconds end,
                 bool state_service_healthy) {
  for (Seconds now = begin; now <= end; now += kQueryInterval) {
    queries.on_deferred(ref, now, DeferralReason::no_reply);
    queries.update(now, state_service_healthy);
  }
}

TEST(UnansweredQueriesReport, AJobWithoutAnAnswerIsReportedOnceWhileTheStateServiceReplies) {
  UnansweredQueries queries;
  defer_until(queries, "req-1", 100, 200, true);
  EXPECT_EQ(queries.overdue_count(), 1U);
  EXPECT_EQ(queries.longest(200), 100);
}

TEST(UnansweredQueriesReport, TimeInWhichTheStateServiceDidNotReplyDoesNotCount) {
  UnansweredQueries queries;
  defer_until(queries, "req-1", 100, 200, false);
  defer_until(queries, "req-1", 205, 225, true);
  EXPECT_EQ(queries.overdue_count(), 0U);
  defer_until(queries, "req-1", 230, 240, true);
  EXPECT_EQ(queries.overdue_count(), 1U);
}

TEST(UnansweredQueriesReport, AnAnswerEndsTheSpell) {
  UnansweredQueries queries;
  defer_until(queries, "req-1", 100, 120, true);
  queries.on_answered("req-1");
  EXPECT_EQ(queries.count(), 0U);
  EXPECT_EQ(queries.unanswered_since("req-1", 130), 130);
  defer_until(queries, "req-1", 130, 150, true);
  EXPECT_EQ(queries.overdue_count(), 0U);
}

TEST(UnansweredQueriesReport, AJobThatIsNoLongerQueriedIsForgotten) {
  UnansweredQueries queries;
  defer_until(queries, "req-1", 100, 110, true);
  queries.update(130, true);
  EXPECT_EQ(queries.count(), 0U);
}

}  // namespace
}  // namespace wingtrail::controller
