#include "controller/final_state_query.hpp"

#include <gtest/gtest.h>

namespace wingtrail::controller {
namespace {

// A refusal with a key shorter than the prefix of final states ended the leader while it loaded its records.
TEST(FinalStateQueryTest, KeysThatWereNotComparedShowNothing) {
  ports::Outbox out;
  settings::Settings settings;
  store::StateClient client(out, settings);
  int answers = 0;
  FinalStateQuery query(out, client, settings,
                        {[] { return std::uint64_t{1}; },
                         [&answers] {
                           ++answers;
                         }});
  std::optional<std::set<std::string>> result;
  query.start({"req-1", "req-2"}, [&result](const std::set<std::string>& found) { result = found; });
  const wire::Value refusals[] = {{{"failed", {"x"}}},
                                  {{"failed", {""}}},
                                  {{"failed", {"f/req-3"}}},
                                  {{"failed", 7}},
                                  wire::Value::array()};
  const auto answer = [&](const wire::Value& body) {
    const auto actions = out.drain();
    ASSERT_EQ(actions.size(), 1U);
    ports::Reply reply;
    reply.status = 409;
    reply.body = body;
    out.complete(std::get<ports::Call>(actions[0]).id, reply);
  };
  for (const wire::Value& refusal : refusals) {
    answer(refusal);
    EXPECT_FALSE(result) << "took " << refusal.dump() << " for an answer about the jobs";
    out.set_now(out.now() + 1);
    out.run_timers();
  }
  EXPECT_EQ(answers, 0) << "a leader that gets no answer must be able to resign";
  answer({{"failed", {"x", "f/req-2"}}});
  ASSERT_TRUE(result);
  EXPECT_EQ(*result, std::set<std::string>{"req-2"});
}

}  // namespace
}  // namespace wingtrail::controller
