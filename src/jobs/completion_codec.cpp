#include "jobs/completion_codec.hpp"

#include <algorithm>

namespace wingtrail::jobs {
namespace {
/// Six bits are encoded as one of the 64 printable characters from '0' to 'o'. JSON escapes only '\\' of
/// these, so 'z' stands for it.
constexpr char kFirst = '0';
char pack(unsigned six) {
  return six == '\\' - kFirst ? 'z' : static_cast<char>(kFirst + six);
}
/// Returns the six bits, or -1 if the character is none of those that pack() returns.
int unpack(char packed) {
  if (packed == 'z')
    return '\\' - kFirst;
  return packed >= kFirst && packed < kFirst + 64 ? packed - kFirst : -1;
}
void set_bit(char& bits, std::uint32_t bit) {
  bits = static_cast<char>(static_cast<unsigned char>(bits) | 1U << bit);
}
/// Upper bound of the size of an entry without the job's reference and the bits.
constexpr std::size_t kEntryBytes = 40;
}  // namespace

CompletionCodec::CompletionCodec(double value_kb)
    : tasks_per_chunk_(static_cast<std::uint32_t>(std::clamp(value_kb * 1024 * 0.5, 256.0, 4096.0)) * 6) {}

std::size_t CompletionCodec::max_encoded_bytes(const Job& job, std::uint32_t chunk) const {
  const std::uint32_t from = chunk * tasks_per_chunk_, to = std::min(job.spec.tasks, from + tasks_per_chunk_);
  return job.spec.ref.size() + (to - from + 5) / 6 + kEntryBytes;
}

wire::Value CompletionCodec::encode(const Job& job, std::uint32_t chunk) const {
  const std::uint32_t from = chunk * tasks_per_chunk_, to = std::min(job.spec.tasks, from + tasks_per_chunk_);
  std::string bits((to - from + 5) / 6, '\0');
  for (std::uint32_t i = from; i < to; ++i) {
    if (job.tasks[i].state == TaskState::done)
      set_bit(bits[(i - from) / 6], (i - from) % 6);
  }
  for (char& c : bits)
    c = pack(static_cast<unsigned char>(c));
  return {{"from", from}, {"bits", bits}};
}

CompletionCodec::ChunkRange CompletionCodec::chunk_range(const wire::Value& value,
                                                         std::uint32_t tasks) const {
  const std::uint64_t from = std::min<std::uint64_t>(wire::count(value, "from").value_or(0), tasks - 1);
  const std::size_t length = wire::text(value, "bits").value_or("").size();
  const std::uint64_t last = std::min<std::uint64_t>(from + std::max<std::size_t>(length, 1) * 6, tasks) - 1;
  return {chunk_of(static_cast<std::uint32_t>(from)), chunk_of(static_cast<std::uint32_t>(last))};
}

bool CompletionCodec::decode(const wire::Value& value, std::uint32_t tasks,
                             const std::function<void(std::uint32_t)>& on_completed) const {
  const auto from = wire::count(value, "from");
  const auto bits = wire::text(value, "bits");
  if (!from || !bits || *from > tasks || *from + (bits->size() - !bits->empty()) * 6 > tasks)
    return false;
  for (std::size_t i = 0; i < bits->size(); ++i) {
    const int six = unpack((*bits)[i]);
    if (six < 0)
      return false;
    for (unsigned bit = 0; bit < 6; ++bit) {
      const std::uint64_t task = *from + i * 6 + bit;
      if ((six >> bit & 1) && task < tasks)
        on_completed(static_cast<std::uint32_t>(task));
    }
  }
  return true;
}

}  // namespace wingtrail::jobs
