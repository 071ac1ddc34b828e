/// @file
/// When the creation of each deferred job was first attempted, at any controller.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "ports/outbox.hpp"

namespace wingtrail::admission {

using ports::Seconds;

/// Hashes a job's reference (64-bit FNV-1a, then mixed). Controllers exchange the hashes, so the function
/// must be the same in every build.
std::uint64_t job_hash(std::string_view ref);

/// First attempts of deferred jobs, shared by all controllers: a retry keeps its place in the queue of its
/// class at whichever controller it arrives, and gains none by being sent to several. Controllers send each
/// other their recent deferrals in their periodic messages, so their views differ for 1 s at most.
///
/// All times are times of day in seconds since 1970; the clocks of the controllers differ within a bound.
class FirstAttempts {
 public:
  /// Records that this controller has deferred the job's creation.
  void record_deferral(const std::string& ref, double first_attempt_at, double now) {
    record(job_hash(ref), first_attempt_at, now, true);
  }
  /// Nothing if the job was not deferred lately.
  std::optional<double> first_attempt(const std::string& ref) const;
  void forget(const std::string& ref) {
    attempts_.erase(job_hash(ref));
  }
  /// Encodes this controller's deferrals of the last 2.2 s, about two periodic messages, to be sent to peers;
  /// empty if there are none.
  std::string encode_recent(double now) const;
  /// Adds the deferrals that a peer has encoded.
  void merge(std::string_view encoded, double now);
  std::size_t size() const {
    return attempts_.size();
  }

 private:
  static constexpr double kRetention = 90;      // s; users give up after 60 s
  static constexpr double kSharedWindow = 2.2;  // s
  static constexpr std::size_t kMaxEntries = 20'000;
  static constexpr std::size_t kMaxShared = 1000;
  struct Attempt {
    double first_at = 0;
    double last_recorded_at = 0;
  };
  void record(std::uint64_t hash, double first_attempt_at, double now, bool local);

  std::unordered_map<std::uint64_t, Attempt> attempts_;        // by hash
  std::deque<std::pair<double, std::uint64_t>> expiry_order_;  // time of recording, hash
  std::deque<std::pair<double, std::uint64_t>> recent_local_;  // this controller's deferrals: time, hash
};

}  // namespace wingtrail::admission
