// What a controller does with a body that it refuses, and what it tells of it.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include "controller/controller.hpp"
#include "nested_bodies.hpp"
#include "wire/worker_messages.hpp"

namespace wingtrail::controller {
namespace {

constexpr Seconds kNow = 100;

// One of three controllers. It has heard of no leader and knows no machine types, so it forwards submissions.
class Follower {
 public:
  Follower() : controller_(settings_of_three(), 1) {
    controller_.start(kNow - 1);
    (void)controller_.drain();
  }

  // Returns the status of the answer; fails if the controller sends the body on.
  int answer_to(const std::string& path, const std::string& body) {
    controller_.on_request(kNow, {++last_request_, "POST", path, body});
    return status_of_answer(body);
  }
  // The same for a request that a peer has forwarded.
  int answer_to_forwarded(const std::string& path, const std::string& body) {
    peer::Frame frame;
    frame.node = "node-1";
    frame.method = "POST";
    frame.path = path;
    frame.body = body;
    controller_.on_frame(kNow, ++last_request_, frame);
    return status_of_answer(body);
  }
  std::uint64_t refused(const std::string& reader, wire::RefusalReason reason) const {
    const auto all = controller_.stats().refused_messages;
    const auto found = std::find_if(all.begin(), all.end(),
                                    [&reader](const auto& messages) { return messages.reader == reader; });
    return found == all.end() ? 0 : found->counts.of(reason);
  }

 private:
  static settings::Settings settings_of_three() {
    settings::Settings settings;
    settings.node = "node-0";
    settings.zone = "a";
    settings.zones = {"a"};
    settings.peers = {{"node-1", "a", {"127.0.0.1", 1}}, {"node-2", "a", {"127.0.0.1", 2}}};
    settings.teams = {{"red", 8, 0, 0, 0}};
    return settings;
  }
  int status_of_answer(const std::string& body) {
    int status = 0;
    for (const ports::Action& action : controller_.drain()) {
      if (const auto* answer = std::get_if<ports::Answer>(&action)) {
        status = answer->frame ? answer->frame->status : answer->status;
      } else if (const auto& call = std::get<ports::Call>(action); call.frame) {
        EXPECT_NE(call.frame->body, body) << "the body was forwarded";
      }
    }
    return status;
  }

  Controller controller_;
  std::uint64_t last_request_ = 0;
};

TEST(RefusedBodies, ANestedBodyIsRefusedWhereItArrivesAndNeverForwarded) {
  Follower follower;
  for (const std::string& body : nested_bodies(wire::kMaxBody)) {
    EXPECT_EQ(follower.answer_to(wire::kJobsPath, body), 400);
    EXPECT_EQ(follower.answer_to_forwarded(wire::kJobsPath, body), 400);
    EXPECT_EQ(follower.answer_to(wire::kHeartbeatPath, body), 421) << "redirected without the body";
  }
  EXPECT_GT(follower.refused("submission", wire::RefusalReason::nesting), 0U);
  EXPECT_GT(follower.refused("submission", wire::RefusalReason::malformed), 0U);
}

}  // namespace
}  // namespace wingtrail::controller
