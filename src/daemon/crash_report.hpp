/// @file
/// Reports the end of the process by a signal or an exception: what the process was doing, in one line on
/// standard error.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wingtrail::daemon {

/// What the process is doing. Empty fields are left out of the report.
struct Activity {
  std::string_view kind = {};         ///< request, frame, reply or timers
  std::string_view counterpart = {};  ///< who sent the message
  std::string_view method = {};
  std::string_view path = {};
  std::string_view body = {};       ///< encoded, as received
  std::uint64_t fencing_token = 0;  ///< of this controller's leadership
};

/// Makes an activity the current one for as long as this object exists. The texts that the activity refers to
/// must exist as long.
class CurrentActivity {
 public:
  explicit CurrentActivity(const Activity& activity);
  ~CurrentActivity();
  CurrentActivity(const CurrentActivity&) = delete;
  CurrentActivity& operator=(const CurrentActivity&) = delete;

 private:
  Activity activity_;
  const Activity* previous_;
  int exceptions_;  // in flight when this object was made
};

/// Installs the handlers of the signals that end a process by a fault, and of std::terminate. They report the
/// end, and the process then ends by the same signal as without them.
void install_crash_report();

/// Reports that an exception ends the process, with the activity that it left.
void report_exception(const char* what);

}  // namespace wingtrail::daemon
