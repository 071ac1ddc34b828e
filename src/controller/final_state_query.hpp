/// @file
/// Reads from the state service which of many jobs have a final state.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "store/state_client.hpp"

namespace wingtrail::controller {

/// Finds out which of many jobs have a final state, with several comparisons in flight at a time. A
/// comparison that fails is repeated until it succeeds.
///
/// The collaborators passed to the constructor must outlive the query.
class FinalStateQuery {
 public:
  /// The leadership that the query belongs to.
  struct Leadership {
    std::function<std::uint64_t()> term;  ///< changes whenever a leadership begins or ends
    std::function<void()> on_answer;      ///< the state service has answered a comparison
  };
  using Callback = std::function<void(const std::set<std::string>& with_final_state)>;

  FinalStateQuery(ports::Outbox& outbox, store::StateClient& store, const settings::Settings& settings,
                  Leadership leadership);

  /// Calls `then` with those of `refs` that have a final state, unless the leadership ends first.
  void start(std::vector<std::string> refs, Callback then);

 private:
  struct Run;
  void send_next(const std::shared_ptr<Run>& run);
  void on_reply(const std::shared_ptr<Run>& run, const std::vector<std::string>& compared,
                const store::Reply& reply);

  ports::Outbox& outbox_;
  store::StateClient& store_;
  const settings::Settings& settings_;
  Leadership leadership_;
};

}  // namespace wingtrail::controller
