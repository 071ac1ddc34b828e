#include "simulation/corrupted_run.hpp"

#include "simulation/simulated_cluster.hpp"

namespace wingtrail::simulation {
namespace {

constexpr double kCorruptedShare = 0.1;  // of all messages
// In seconds of virtual time.
constexpr double kSoundBefore = 10, kCorruptedFor = 120, kSoundAfter = 120;
constexpr double kTeamRemovedAfter = 30, kTeamRestoredAfter = 75, kBetweenRestarts = 10;

void roll_out_teams(SimulatedCluster& cluster, double after_s, const std::vector<settings::Team>& teams) {
  for (std::size_t node = 0; node < cluster.nodes(); ++node) {
    const double restart_after_s = after_s + static_cast<double>(node) * kBetweenRestarts;
    cluster.schedule_after(restart_after_s, [&cluster, node, teams] {
      cluster.restart_with([&teams](settings::Settings& settings) { settings.teams = teams; }, node);
    });
  }
}

}  // namespace

CorruptedRunReport run_with_corrupted_messages(std::uint64_t seed) {
  SimulationPlan plan = plan_of(seed);
  plan.duration_s = kSoundBefore + kCorruptedFor;
  SimulatedCluster cluster(plan);
  cluster.begin();
  cluster.step(kSoundBefore);
  cluster.corrupt_messages(kCorruptedShare, kCorruptedFor);
  const std::vector<settings::Team> teams = cluster.settings().teams;
  roll_out_teams(cluster, kTeamRemovedAfter, {teams.begin(), teams.end() - 1});
  roll_out_teams(cluster, kTeamRestoredAfter, teams);
  cluster.step(kSoundBefore + kCorruptedFor);
  CorruptedRunReport report;
  report.corrupted_messages = cluster.corrupted_messages();
  report.started = cluster.run_report().started;
  for (std::size_t node = 0; node < cluster.nodes(); ++node)
    cluster.crash(node);
  cluster.step(kSoundBefore + kCorruptedFor + kSoundAfter);
  report.leads_afterwards = cluster.leader().has_value();
  return report;
}

}  // namespace wingtrail::simulation
