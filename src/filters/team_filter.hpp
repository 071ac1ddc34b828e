/// @file
/// The filter for jobs of teams that this controller's settings do not name.
#pragma once

#include "filters/filter.hpp"
#include "settings/settings.hpp"

namespace wingtrail::filters {

/// Refuses a job whose team is not in the settings: another controller, with other settings, has accepted it.
/// Its quota is not known here, so none of its tasks may start until a controller that knows the team leads.
class TeamFilter : public Filter {
 public:
  explicit TeamFilter(const settings::Settings& settings) : settings_(settings) {}
  std::string_view name() const override {
    return "team";
  }
  bool admits(const Job& job) const override {
    return settings_.find_team(job.team) != nullptr;
  }

 private:
  const settings::Settings& settings_;
};

}  // namespace wingtrail::filters
