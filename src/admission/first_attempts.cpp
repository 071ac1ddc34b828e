#include "admission/first_attempts.hpp"

#include <algorithm>

namespace wingtrail::admission {
namespace {
constexpr std::size_t kEntry = 12;  // a mark, and how many milliseconds ago, both with the low byte first

void append(std::string& out, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i)
    out.push_back(static_cast<char>(value >> (8 * i)));
}
std::uint64_t number(std::string_view in, int bytes) {
  std::uint64_t value = 0;
  for (int i = 0; i < bytes; ++i)
    value |= std::uint64_t{static_cast<unsigned char>(in[i])} << (8 * i);
  return value;
}
}  // namespace

std::uint64_t job_hash(std::string_view ref) {
  std::uint64_t h = 0xcbf29ce484222325;
  for (const char c : ref)
    h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  // Names that differ in their last digits must not lie together.
  h ^= h >> 32;
  h *= 0xd6e8feb86659fd93;
  h ^= h >> 32;
  return h;
}

void FirstAttempts::record(std::uint64_t mark, double first, double now, bool here) {
  while (!expiry_order_.empty() &&
         (expiry_order_.front().first < now - kRetention || attempts_.size() >= kMaxEntries)) {
    const auto it = attempts_.find(expiry_order_.front().second);
    if (it != attempts_.end() && it->second.last <= expiry_order_.front().first)
      attempts_.erase(it);
    expiry_order_.pop_front();
  }
  Attempt& t = attempts_.try_emplace(mark, Attempt{first, now}).first->second;
  t.first = std::min(t.first, first);
  t.last = now;
  expiry_order_.emplace_back(now, mark);
  if (!here)
    return;
  recent_local_.emplace_back(now, mark);
  while (recent_local_.front().first < now - kSharedWindow || recent_local_.size() > kMaxShared)
    recent_local_.pop_front();
}

std::optional<double> FirstAttempts::first_attempt(const std::string& ref) const {
  const auto it = attempts_.find(job_hash(ref));
  return it == attempts_.end() ? std::nullopt : std::optional(it->second.first);
}

std::string FirstAttempts::encode_recent(double now) const {
  std::string out;
  for (const auto& [at, mark] : recent_local_) {
    const auto it = attempts_.find(mark);
    if (at < now - kSharedWindow || it == attempts_.end())
      continue;
    append(out, mark, 8);
    append(out, static_cast<std::uint64_t>(std::clamp((now - it->second.first) * 1000, 0.0, 4e9)), 4);
  }
  return out;
}

void FirstAttempts::merge(std::string_view told, double now) {
  for (; told.size() >= kEntry; told.remove_prefix(kEntry)) {
    const double ago = static_cast<double>(number(told.substr(8), 4)) / 1000;
    record(number(told, 8), now - std::min(ago, kRetention), now, false);
  }
}

}  // namespace wingtrail::admission
