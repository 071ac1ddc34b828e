#include "daemon/crash_report.hpp"

#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <stdexcept>
#include <string>

namespace wingtrail::daemon {
namespace {

const std::string kBody(60'000, '_');

const Activity kSubmission{.kind = "request",
                           .counterpart = "client",
                           .method = "POST",
                           .path = "/api/jobs",
                           .body = kBody,
                           .fencing_token = 453};

constexpr const char* kSubmissionText =
    "during=request from=client method=POST path=/api/jobs body_bytes=60000 body_hash=23cad158549d7e05 "
    "body_starts=5f5f5f5f5f5f5f5f5f5f5f5f5f5f5f5f token=453\n";

// Uses up the stack. Each frame is read after the call that it makes, so that no compiler makes it a loop.
[[gnu::noinline]] std::size_t recurse(std::size_t depth) {
  volatile char frame[512];
  frame[depth % sizeof frame] = static_cast<char>(depth);
  return depth == 0 ? 0 : recurse(depth + 1) + static_cast<std::size_t>(frame[depth % sizeof frame]);
}

TEST(CrashReport, AStackOverflowIsReportedWithTheRequestAndEndsTheProcessBySignal) {
  const auto overflow = [] {
    install_crash_report();
    const CurrentActivity activity(kSubmission);
    _exit(static_cast<int>(recurse(1)) & 1);
  };
  EXPECT_EXIT(overflow(), testing::KilledBySignal(SIGSEGV),
              std::string("crash: process ends signal=SEGV unix_s=[0-9]+ ") + kSubmissionText);
}

TEST(CrashReport, AnEndOutsideOfAnyRequestIsReported) {
  const auto end = [] {
    install_crash_report();
    { const CurrentActivity over(kSubmission); }
    raise(SIGBUS);
  };
  EXPECT_EXIT(end(), testing::KilledBySignal(SIGBUS), "crash: process ends signal=BUS unix_s=[0-9]+\n");
}

TEST(CrashReport, AnExceptionIsReportedWithTheRequestThatItLeft) {
  const auto fail = []() noexcept {
    install_crash_report();
    try {
      const CurrentActivity activity(kSubmission);
      throw std::runtime_error("out of range");
    } catch (...) {
      std::terminate();
    }
  };
  EXPECT_EXIT(fail(), testing::KilledBySignal(SIGABRT),
              std::string("crash: process ends exception=out of range unix_s=[0-9]+ ") + kSubmissionText);
}

TEST(CrashReport, TextOfAStrangerCannotForgeALine) {
  const auto end = [] {
    install_crash_report();
    const CurrentActivity activity({.kind = "request", .path = "/a\ncrash: \x1b[2J"});
    raise(SIGSEGV);
  };
  EXPECT_EXIT(end(), testing::KilledBySignal(SIGSEGV), "path=/a\\?crash: \\?\\[2J token=0\n");
}

}  // namespace
}  // namespace wingtrail::daemon
