// A controller's part of the state service's requests, when submissions alone would use more than that.
//
// What users saw: for more than 90 s every question about an accepted job was answered 429, also about jobs
// whose ends had long been recorded. In order: an end was recorded, the controllers were ended or changed
// their leader, so nobody had that end in memory and each question about it needed requests of the state
// service; submissions that never stopped used all of them. The evidence: each of some twenty questions in a
// row was put off with `requests_used_up`, at all controllers, for a job that the log told as recorded a
// minute before. The cause: questions got requests only if submissions left a third of the budget.
#include "store/state_client.hpp"

#include <gtest/gtest.h>

namespace wingtrail::store {
namespace {

constexpr double kRequests = 40, kPlayed = 60, kTick = 0.01;

struct Answers {
  int sent = 0, refused = 0;
};

class BusyClient {
 public:
  explicit BusyClient(bool shared) : settings_(settings_of()), client_(out_, settings_) {
    if (shared)
      client_.set_share_source([] { return StateClient::BudgetShare{1, 1, false}; });
  }
  void play(double submissions_per_s, double questions_per_s) {
    double submissions = 0, questions = 0;
    for (double t = 0; t < kPlayed; t += kTick) {
      out_.set_now(t);
      for (submissions += submissions_per_s * kTick; submissions >= 1; --submissions)
        ask(RequestPriority::user, submissions_);
      for (questions += questions_per_s * kTick; questions >= 1; --questions)
        ask(RequestPriority::query, questions_);
      out_.drain();
    }
  }
  void ask(RequestPriority urgency, Answers& answers) {
    const auto before = client_.throttled();
    client_.get("f/req-1", urgency, [](const Reply&) {});
    ++(client_.throttled() > before ? answers.refused : answers.sent);
  }
  const Answers& submissions() const {
    return submissions_;
  }
  const Answers& questions() const {
    return questions_;
  }

 private:
  static settings::Settings settings_of() {
    settings::Settings settings;
    settings.state_requests_per_s = kRequests;
    return settings;
  }
  ports::Outbox out_;
  settings::Settings settings_;
  StateClient client_;
  Answers submissions_, questions_;
};

TEST(StateClientBudget, QuestionsAreAskedBesideSubmissionsThatNeverEnd) {
  for (const bool shared : {true, false}) {
    SCOPED_TRACE(shared ? "the budget is shared" : "each node has a fixed part");
    BusyClient client(shared);
    client.play(200, 10);
    EXPECT_GT(client.submissions().refused, client.submissions().sent) << "they are no more than can be";
    EXPECT_GT(client.questions().sent, 4 * kPlayed) << "a second";
    EXPECT_GT(client.submissions().sent, 0.6 * kRequests * kPlayed);
    EXPECT_LE(client.questions().sent + client.submissions().sent, kRequests * (kPlayed + 1));
  }
}

// What is kept for questions is nobody's loss while none come.
TEST(StateClientBudget, SubmissionsHaveAllOfItWhileNobodyAsks) {
  for (const bool shared : {true, false}) {
    BusyClient client(shared);
    client.play(200, 0);
    EXPECT_GT(client.submissions().sent, 0.85 * kRequests * kPlayed);
    EXPECT_LE(client.submissions().sent, kRequests * (kPlayed + 1));
  }
}

// Nor do they take more than that from submissions.
TEST(StateClientBudget, QuestionsLeaveSubmissionsTheirPart) {
  for (const bool shared : {true, false}) {
    BusyClient client(shared);
    client.play(200, 200);
    EXPECT_GT(client.submissions().sent, 0.6 * kRequests * kPlayed);
  }
}

}  // namespace
}  // namespace wingtrail::store
