#include "gates/gate.hpp"

#include <algorithm>

namespace wingtrail::gates {

Gates::Gates(const ports::Outbox& out, const settings::Settings& settings, const agents::Agents& agents,
             const spread::Picture& picture, std::function<std::uint64_t()> token) {
  add(needs());
  add(failures(out));
  cells_ = add(std::make_unique<OtherCells>());
  accounted_ = add(std::make_unique<Accounted>(agents, std::move(token)));
  zones_ = add(std::make_unique<Zones>());
  limits_ = add(std::make_unique<Limits>(out, settings, agents, picture));
}

const Gate* Gates::shut(const Job& job) const {
  const auto it = std::find_if(all_.begin(), all_.end(), [&](const auto& g) { return !g->open(job); });
  return it == all_.end() ? nullptr : it->get();
}

std::string_view Gates::reason(const Job& job) const {
  if (const Gate* gate = shut(job))
    return gate->name();
  return limits_->open_for(job, 1) ? "room" : limits_->name();
}

bool Gates::open(const Machine& m, const Job& job) const {
  return std::all_of(all_.begin(), all_.end(), [&](const auto& g) { return g->open(m, job); });
}

bool allowed(const Job& job, Ix type, Ix zone, bool spot) {
  if (spot && !job.spec.spot)
    return false;
  if (job.zone != jobs::kNone && job.zone != zone)
    return false;
  return job.types.empty() || std::find(job.types.begin(), job.types.end(), type) != job.types.end();
}

}  // namespace wingtrail::gates
