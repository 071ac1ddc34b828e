#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "daemon/crash_report.hpp"
#include "daemon/daemon.hpp"

namespace {

// Logs to standard error at the level that LOG_LEVEL names. Returns false if there is no such level.
bool set_up_logging() {
  auto logger =
      std::make_shared<spdlog::logger>("wingtrail", std::make_shared<spdlog::sinks::stderr_sink_st>());
  spdlog::set_default_logger(logger);
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v", spdlog::pattern_time_type::utc);
  const char* raw = std::getenv("LOG_LEVEL");
  const std::string level = raw ? raw : "info";
  if (level == "error") {
    spdlog::set_level(spdlog::level::err);
  } else if (level == "info") {
    spdlog::set_level(spdlog::level::info);
  } else if (level == "debug") {
    spdlog::set_level(spdlog::level::debug);
  } else {
    std::cerr << "wingtrail: LOG_LEVEL: expected error, info or debug, found \"" << level << "\"\n";
    return false;
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"wingtrail, a cluster scheduler", "wingtrail"};
  app.set_version_flag("--version", "wingtrail " WINGTRAIL_VERSION);
  std::string config, tunables;
  bool check = false;
  app.add_option("--config", config, "the platform's settings file (TOML)")->required()->type_name("FILE");
  app.add_option("--tunables", tunables, "the operators' tunables (YAML); see docs/operations.md")
      ->type_name("FILE");
  app.add_flag("--check", check, "check the settings, print every problem found, and exit");
  app.footer(
      "Environment:\n  LOG_LEVEL   error, info (the default) or debug\n\nExit status: 0 on success, 1 if "
      "the service cannot start, 2 for invalid settings.");
  CLI11_PARSE(app, argc, argv);
  if (!set_up_logging())
    return 2;
  const auto loaded = wingtrail::settings::load(config, tunables);
  for (const std::string& problem : loaded.problems)
    std::cerr << "wingtrail: " << problem << "\n";
  if (!loaded.problems.empty())
    return 2;
  if (check) {
    std::cout << "wingtrail: the settings of " << loaded.settings.node << " are valid\n";
    return 0;
  }
  wingtrail::daemon::install_crash_report();
  try {
    wingtrail::daemon::Daemon daemon(loaded.settings);
    if (auto error = daemon.run()) {
      std::cerr << "wingtrail: " << *error << "\n";
      return 1;
    }
  } catch (const std::exception& e) {
    wingtrail::daemon::report_exception(e.what());
    std::cerr << "wingtrail: " << e.what() << "\n";
    return 1;
  }
  return 0;
}
