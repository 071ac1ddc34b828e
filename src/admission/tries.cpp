#include "admission/tries.hpp"

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

std::uint64_t mark_of(std::string_view ref) {
  std::uint64_t h = 0xcbf29ce484222325;
  for (const char c : ref)
    h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  // Names that differ in their last digits must not lie together.
  h ^= h >> 32;
  h *= 0xd6e8feb86659fd93;
  h ^= h >> 32;
  return h;
}

void Tries::note(std::uint64_t mark, double first, double now, bool here) {
  while (!order_.empty() && (order_.front().first < now - kKept || known_.size() >= kMost)) {
    const auto it = known_.find(order_.front().second);
    if (it != known_.end() && it->second.last <= order_.front().first)
      known_.erase(it);
    order_.pop_front();
  }
  Try& t = known_.try_emplace(mark, Try{first, now}).first->second;
  t.first = std::min(t.first, first);
  t.last = now;
  order_.emplace_back(now, mark);
  if (!here)
    return;
  here_.emplace_back(now, mark);
  while (here_.front().first < now - kTold || here_.size() > kMostTold)
    here_.pop_front();
}

std::optional<double> Tries::first(const std::string& ref) const {
  const auto it = known_.find(mark_of(ref));
  return it == known_.end() ? std::nullopt : std::optional(it->second.first);
}

std::string Tries::tell(double now) const {
  std::string out;
  for (const auto& [at, mark] : here_) {
    const auto it = known_.find(mark);
    if (at < now - kTold || it == known_.end())
      continue;
    append(out, mark, 8);
    append(out, static_cast<std::uint64_t>(std::clamp((now - it->second.first) * 1000, 0.0, 4e9)), 4);
  }
  return out;
}

void Tries::heard(std::string_view told, double now) {
  for (; told.size() >= kEntry; told.remove_prefix(kEntry)) {
    const double ago = static_cast<double>(number(told.substr(8), 4)) / 1000;
    note(number(told, 8), now - std::min(ago, kKept), now, false);
  }
}

}  // namespace wingtrail::admission
