// When each job that is put off was first tried, as all nodes know it: a retry keeps its place in the line of
// its class at whichever node it comes, and gains none by coming to several. Nodes tell each other of those
// put off lately with every greeting, so they disagree for a greeting's time at most.
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

// The same number for a name at every node and in every build (64-bit FNV-1a, then mixed).
std::uint64_t job_hash(std::string_view ref);

class FirstAttempts {
 public:
  // `first`: when it was first tried; times of day, in seconds since 1970, which means the same to all nodes
  // within their bound.
  void record_deferral(const std::string& ref, double first, double now) {
    record(job_hash(ref), first, now, true);
  }
  std::optional<double> first_attempt(const std::string& ref) const;
  void forget(const std::string& ref) {
    attempts_.erase(job_hash(ref));
  }
  // Those put off here within the last two greetings' time, for a greeting; empty if there are none.
  std::string encode_recent(double now) const;
  void merge(std::string_view told, double now);
  std::size_t size() const {
    return attempts_.size();
  }

 private:
  static constexpr double kRetention = 90;      // users give up after 60 s
  static constexpr double kSharedWindow = 2.2;  // seconds
  static constexpr std::size_t kMaxEntries = 20'000, kMaxShared = 1000;
  struct Attempt {
    double first = 0;
    double last = 0;
  };
  void record(std::uint64_t mark, double first, double now, bool here);

  std::unordered_map<std::uint64_t, Attempt> attempts_;
  std::deque<std::pair<double, std::uint64_t>> expiry_order_;  // by when they were noted
  std::deque<std::pair<double, std::uint64_t>> recent_local_;  // those put off here
};

}  // namespace wingtrail::admission
