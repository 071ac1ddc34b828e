/// @file
/// Controllers as processes of their own: their ports, settings files, starts, kills and pauses.
#pragma once

#include <sys/types.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>

#include "settings/settings.hpp"

namespace wingtrail::simulation {

inline constexpr std::size_t kControllers = 3;
inline constexpr const char* kLoopback = "127.0.0.1";

/// Returns a port that nothing uses; 0 on error. The port stays reserved until the end of the program: no
/// other program is given it, although a server may listen on it, stop, and listen again.
std::uint16_t reserve_port();
/// Returns HOST:PORT on the loopback interface.
std::string loopback_address(std::uint16_t port);

/// The ports that belong to one controller. All but the first two are served by this program.
struct ControllerPorts {
  std::uint16_t client = 0, peer = 0;
  std::uint16_t state = 0, cloud = 0;
  std::uint16_t relay = 0;                                 ///< for the controllers of other cells
  std::array<std::uint16_t, kControllers> peer_proxies{};  ///< through which it reaches each other controller
};

/// Three controller processes and their settings files.
class ControllerProcesses {
 public:
  /// Creates `directory` for the settings files, and removes it at the end.
  explicit ControllerProcesses(std::filesystem::path directory);
  ~ControllerProcesses();
  ControllerProcesses(const ControllerProcesses&) = delete;
  ControllerProcesses& operator=(const ControllerProcesses&) = delete;

  const ControllerPorts& ports(std::size_t i) const {
    return controllers_[i].ports;
  }
  std::string tunables_path() const {
    return directory_ / "tunables.yaml";
  }
  /// Writes the settings file of controller `i`.
  /// @param next the limits of the state service that will hold at some later time
  void write_settings(std::size_t i, const settings::Settings& settings, const settings::Settings& next,
                      std::size_t max_connections) const;
  /// Starts controller `i`, unless it runs. `tunables`: a file; empty: none.
  void start(std::size_t i, const std::string& program, const std::string& tunables);
  void kill(std::size_t i);
  /// Returns how controller `i` has ended, as a text, if it has ended by itself since the last call.
  std::optional<std::string> ended_by_itself(std::size_t i);
  /// Stops the process, or lets it continue. Does nothing if it does not run.
  void pause(std::size_t i);
  void resume(std::size_t i);

 private:
  struct Controller {
    ControllerPorts ports;
    pid_t pid = -1;
  };
  std::string settings_path(std::size_t i) const;

  std::filesystem::path directory_;
  std::array<Controller, kControllers> controllers_;
};

}  // namespace wingtrail::simulation
