// Returning machines, those that are lost or faulty at once.
#include <spdlog/spdlog.h>

#include "fleet/fleet.hpp"

namespace wingtrail::fleet {
namespace {
constexpr Seconds kCallTimeout = 4;
constexpr std::size_t kMostPerReturn = 100;
}  // namespace

void Fleet::give_back(const std::vector<Ix>& machines, const char* why) {
  for (const Ix ix : machines) {
    Machine& m = agents_.at(ix);
    if (m.gone || m.returning)
      continue;
    m.returning = true;
    agents_.changed(m);
    to_return_.insert(ix);
    spdlog::info("returning {}: {}", m.host, why);
  }
}

void Fleet::send_returns() {
  if (returning_ || !take_call(true))
    return;
  std::vector<std::string> hosts;
  std::vector<Ix> batch;
  for (const Ix ix : to_return_) {
    if (hosts.size() >= kMostPerReturn)
      break;
    hosts.push_back(agents_.at(ix).host);
    batch.push_back(ix);
  }
  returning_ = true;
  ports::Call call;
  call.target = ports::Target::cloud;
  call.method = "POST";
  call.path = wire::kReturnPath;
  call.body = wire::return_body(hosts);
  call.timeout_s = kCallTimeout;
  call.not_after = link_.authority_until();
  out_.call(std::move(call), [this, batch, term = term_](const ports::Reply& r) {
    if (term != term_)
      return;
    returning_ = false;
    if (r.status != 200)
      return;  // still in to_return_: asked again
    for (const Ix ix : batch) {
      to_return_.erase(ix);
      ++returned_;
      agents_.gone(agents_.at(ix));
    }
  });
}

// Machines that do not do their work are replaced; a return also ends whatever is on them, so their tasks can
// be started elsewhere at once instead of when a lease has run out.
void Fleet::watch_health() {
  // A machine of a zone out of reach goes on unseen, and a return would end what runs on it; one that is lost
  // while its zone is heard has nothing left to lose. Counting the silent ones instead returned 231 sound
  // machines of a zone whose machines fell silent one after the other.
  if (out_.now() >= judge_after_ && !agents_.silent().empty()) {
    std::vector<Ix> lost;
    for (const Ix ix : agents_.silent()) {
      const Machine& m = agents_.at(ix);
      if (!m.returning && (m.unreachable || !m.reporting) && agents_.lost_alone(m))
        lost.push_back(ix);
    }
    give_back(lost, "silent");
  }
  give_back(std::exchange(faulty_, {}), "faulty");
  give_back(std::exchange(unborn_, {}), "never came up");
}

}  // namespace wingtrail::fleet
