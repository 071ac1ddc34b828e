#include "daemon/crash_report.hpp"

#include <execinfo.h>
#include <signal.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <exception>

namespace wingtrail::daemon {
namespace {

constexpr std::array kSignals = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};
constexpr std::size_t kAlternateStackBytes = 64UL * 1024;
constexpr std::size_t kMaxLineBytes = 1024;
constexpr std::size_t kMaxTextBytes = 200;    // of each text in the line
constexpr std::size_t kBodyStartBytes = 16;   // of the body, in hexadecimal
constexpr std::size_t kBacktraceFrames = 32;  // at most

// The line under construction. Uses only what is safe in a signal handler.
class Line {
 public:
  Line& text(std::string_view text) {
    const std::size_t size = std::min({text.size(), kMaxTextBytes, buffer_.size() - 1 - size_});
    std::transform(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(size), buffer_.begin() + size_,
                   [](char byte) { return byte < ' ' || byte > '~' ? '?' : byte; });
    size_ += size;
    return *this;
  }
  Line& number(std::uint64_t value, int base = 10) {
    std::array<char, 20> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, base).ptr;
    return text({digits.data(), static_cast<std::size_t>(end - digits.data())});
  }
  Line& append(const Line& other) {
    const std::size_t size = std::min(other.size_, buffer_.size() - 1 - size_);
    std::copy_n(other.buffer_.begin(), size, buffer_.begin() + size_);
    size_ += size;
    return *this;
  }
  Line& field(std::string_view name, std::string_view value) {
    return value.empty() ? *this : text(" ").text(name).text("=").text(value);
  }
  void write_out() {
    buffer_[size_++] = '\n';
    // There is nothing to do about an error here.
    [[maybe_unused]] const ssize_t written = write(STDERR_FILENO, buffer_.data(), size_);
  }
  bool empty() const {
    return size_ == 0;
  }

 private:
  std::array<char, kMaxLineBytes> buffer_{};
  std::size_t size_ = 0;
};

const Activity* current = nullptr;
Line left_activity;  // the activity that an exception has left

// FNV-1a, 64 bits.
std::uint64_t hash(std::string_view bytes) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const unsigned char byte : bytes)
    hash = (hash ^ byte) * 0x100000001b3;
  return hash;
}

void add(Line& line, const Activity& activity) {
  line.field("during", activity.kind).field("from", activity.counterpart);
  line.field("method", activity.method).field("path", activity.path);
  if (!activity.body.empty()) {
    line.text(" body_bytes=").number(activity.body.size());
    line.text(" body_hash=").number(hash(activity.body), 16);
    line.text(" body_starts=");
    for (const unsigned char byte : activity.body.substr(0, kBodyStartBytes)) {
      line.number(byte >> 4, 16);
      line.number(byte & 15, 16);
    }
  }
  line.text(" token=").number(activity.fencing_token);
}

void write_backtrace() {
  std::array<void*, kBacktraceFrames> frames{};
  const int count = backtrace(frames.data(), static_cast<int>(frames.size()));
  backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
}

void report(std::string_view cause_name, std::string_view cause) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  Line line;
  line.text("crash: process ends").field(cause_name, cause);
  line.text(" unix_s=").number(static_cast<std::uint64_t>(now.tv_sec));
  if (!left_activity.empty())
    line.append(left_activity);
  else if (current)
    add(line, *current);
  line.write_out();
  write_backtrace();
}

void on_signal(int signal) {
  const char* name = sigabbrev_np(signal);
  report("signal", name ? name : "unknown");
  // The handler is reset, so this ends the process once the handler returns.
  raise(signal);
}

[[noreturn]] void on_terminate() {
  const char* what = "none";
  if (const auto exception = std::current_exception()) {
    try {
      std::rethrow_exception(exception);
    } catch (const std::exception& error) {
      what = error.what();
    } catch (...) {
      what = "of another type";
    }
  }
  report("exception", what);
  signal(SIGABRT, SIG_DFL);
  std::abort();
}

}  // namespace

CurrentActivity::CurrentActivity(const Activity& activity)
    : activity_(activity), previous_(current), exceptions_(std::uncaught_exceptions()) {
  current = &activity_;
}

CurrentActivity::~CurrentActivity() {
  if (std::uncaught_exceptions() > exceptions_ && left_activity.empty())
    add(left_activity, activity_);
  current = previous_;
}

void install_crash_report() {
  static std::array<char, kAlternateStackBytes> stack;
  stack_t alternate{};
  alternate.ss_sp = stack.data();
  alternate.ss_size = stack.size();
  sigaltstack(&alternate, nullptr);
  // The first call loads the library that unwinds the stack, which is not safe in a signal handler.
  void* frame = nullptr;
  backtrace(&frame, 1);
  struct sigaction action {};
  action.sa_handler = on_signal;
  action.sa_flags = SA_ONSTACK | static_cast<int>(SA_RESETHAND);
  for (const int signal : kSignals)
    sigaction(signal, &action, nullptr);
  std::set_terminate(on_terminate);
}

void report_exception(const char* what) {
  report("exception", what);
}

}  // namespace wingtrail::daemon
