#include "admission/first_attempts.hpp"

#include <algorithm>

namespace wingtrail::admission {
namespace {
// An encoded entry, little-endian: the job's hash (8 bytes) and the age of the first attempt in ms (4 bytes).
constexpr std::size_t kHashBytes = 8;
constexpr std::size_t kAgeBytes = 4;
constexpr std::size_t kEntryBytes = kHashBytes + kAgeBytes;
constexpr double kMaxEncodedAgeMs = 4e9;

void append_little_endian(std::string& out, std::uint64_t value, std::size_t bytes) {
  for (std::size_t i = 0; i < bytes; ++i)
    out.push_back(static_cast<char>(value >> (8 * i)));
}
std::uint64_t read_little_endian(std::string_view in, std::size_t bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i)
    value |= std::uint64_t{static_cast<unsigned char>(in[i])} << (8 * i);
  return value;
}
}  // namespace

std::uint64_t job_hash(std::string_view ref) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char c : ref)
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  // The bits are mixed so that references that differ only in their last digits do not get neighbouring
  // hashes.
  hash ^= hash >> 32;
  hash *= 0xd6e8feb86659fd93;
  hash ^= hash >> 32;
  return hash;
}

void FirstAttempts::record(std::uint64_t hash, double first_attempt_at, double now, bool local) {
  while (!expiry_order_.empty() &&
         (expiry_order_.front().first < now - kRetention || attempts_.size() >= kMaxEntries)) {
    const auto it = attempts_.find(expiry_order_.front().second);
    if (it != attempts_.end() && it->second.last_recorded_at <= expiry_order_.front().first)
      attempts_.erase(it);
    expiry_order_.pop_front();
  }
  Attempt& attempt = attempts_.try_emplace(hash, Attempt{first_attempt_at, now}).first->second;
  attempt.first_at = std::min(attempt.first_at, first_attempt_at);
  attempt.last_recorded_at = now;
  expiry_order_.emplace_back(now, hash);
  if (!local)
    return;
  recent_local_.emplace_back(now, hash);
  while (recent_local_.front().first < now - kSharedWindow || recent_local_.size() > kMaxShared)
    recent_local_.pop_front();
}

std::optional<double> FirstAttempts::first_attempt(const std::string& ref) const {
  const auto it = attempts_.find(job_hash(ref));
  return it == attempts_.end() ? std::nullopt : std::optional(it->second.first_at);
}

std::string FirstAttempts::encode_recent(double now) const {
  std::string encoded;
  for (const auto& [deferred_at, hash] : recent_local_) {
    const auto it = attempts_.find(hash);
    if (deferred_at < now - kSharedWindow || it == attempts_.end())
      continue;
    append_little_endian(encoded, hash, kHashBytes);
    const double age_ms = std::clamp((now - it->second.first_at) * 1000, 0.0, kMaxEncodedAgeMs);
    append_little_endian(encoded, static_cast<std::uint64_t>(age_ms), kAgeBytes);
  }
  return encoded;
}

void FirstAttempts::merge(std::string_view encoded, double now) {
  for (; encoded.size() >= kEntryBytes; encoded.remove_prefix(kEntryBytes)) {
    const std::uint64_t hash = read_little_endian(encoded, kHashBytes);
    const double age_s =
        static_cast<double>(read_little_endian(encoded.substr(kHashBytes), kAgeBytes)) / 1000;
    record(hash, now - std::min(age_s, kRetention), now, false);
  }
}

}  // namespace wingtrail::admission
