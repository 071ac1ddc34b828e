#include "jobs/inventory_pages.hpp"

#include <algorithm>
#include <map>

namespace wingtrail::jobs {
namespace {
/// Minimum time between opportunistic writes, in s, however many of them wait.
constexpr Seconds kOpportunisticInterval = 1;
constexpr std::size_t kQuotesAndComma = 3;

/// The list of image names of one page, limited in size; records refer to a name by its number in the list.
class ImageNames {
 public:
  explicit ImageNames(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}
  /// Returns the name's number in the list, adding the name if it is new; nothing if the list is full.
  std::optional<std::size_t> number_of(const wire::Value& name) {
    const auto& text = name.get_ref<const std::string&>();
    const auto [known, inserted] = numbers_.try_emplace(text, names_.size());
    if (!inserted)
      return known->second;
    const std::size_t bytes = text.size() + kQuotesAndComma;
    if (used_bytes_ + bytes > limit_bytes_) {
      numbers_.erase(known);
      return std::nullopt;
    }
    names_.push_back(name);
    used_bytes_ += bytes;
    return known->second;
  }
  wire::Value take() {
    return std::move(names_);
  }

 private:
  std::size_t limit_bytes_;
  std::size_t used_bytes_ = 0;
  std::map<std::string, std::size_t> numbers_;
  wire::Value names_ = wire::Value::array();
};

/// Returns the names of the images whose numbers a stored record lists; unknown numbers are skipped.
wire::Value image_names(const wire::Value& record, const wire::Value* names) {
  wire::Value images = wire::Value::array();
  const wire::Value* numbers = wire::find(record, "images");
  if (!numbers || !numbers->is_array() || !names || !names->is_array())
    return images;
  for (const wire::Value& number : *numbers) {
    if (number.is_number_unsigned() && number.get<std::size_t>() < names->size())
      images.push_back((*names)[number.get<std::size_t>()]);
  }
  return images;
}
}  // namespace

void InventoryPages::clear() {
  pages_.clear();
  awaiting_first_record_.clear();
}

std::size_t InventoryPages::names_limit_bytes() const {
  return limits_.page_bytes / 8;
}

// Maximum size of one record's list of image numbers, in bytes.
std::size_t InventoryPages::images_limit_bytes() const {
  return std::clamp<std::size_t>(limits_.page_bytes / 70, 16, 96);
}

std::size_t InventoryPages::records_limit_bytes() const {
  return limits_.page_bytes - names_limit_bytes();
}

// Estimated size of a record, given without images, including the maximum for its image numbers. The estimate
// holds for later records of the page as well, since host and zone names differ little in length.
std::size_t InventoryPages::record_bytes(const wire::Value& record) const {
  return record.dump().size() + images_limit_bytes() + 1;
}

wire::Value InventoryPages::encode(std::size_t page) const {
  ImageNames names(names_limit_bytes());
  wire::Value hosts = wire::Value::array();
  for (const MachineIndex machine : pages_[page].entries) {
    wire::Value record = record_of_(machine);
    wire::Value images = wire::Value::array();
    std::size_t bytes = 0;
    for (const wire::Value& name : record["images"]) {
      const auto number = names.number_of(name);
      if (!number)
        continue;
      bytes += std::to_string(*number).size() + 1;
      if (bytes > images_limit_bytes())
        break;
      images.push_back(*number);
    }
    record["images"] = std::move(images);
    hosts.push_back(std::move(record));
  }
  return {{"images", names.take()}, {"hosts", std::move(hosts)}};
}

bool InventoryPages::load(const std::string& key, const wire::Value& value, std::uint64_t version,
                          Seconds now, const AddMachine& add_machine) {
  const auto page = page_number(key);
  if (page)
    pages_.set_version(*page, version);
  const wire::Value* names = wire::find(value, "images");
  const wire::Value* hosts = wire::find(value, "hosts");
  if (!page || !hosts || !hosts->is_array())
    return false;
  bool well_formed = true;
  for (wire::Value record : *hosts) {
    if (!wire::text(record, "host")) {
      well_formed = false;
      continue;
    }
    wire::Value images = image_names(record, names);
    record["images"] = wire::Value::array();
    const std::size_t bytes = record_bytes(record);
    record["images"] = std::move(images);
    pages_.add_stored(add_machine(record), bytes, *page, now);
  }
  return well_formed;
}

void InventoryPages::add(MachineIndex machine, Seconds now) {
  wire::Value record = record_of_(machine);
  record["images"] = wire::Value::array();
  awaiting_first_record_.insert(machine);
  const std::size_t page = pages_.assign(machine, record_bytes(record), records_limit_bytes());
  pages_.mark_due(page, PageUrgency::now, now);
}

bool InventoryPages::refresh(MachineIndex machine, Seconds now) {
  const auto page = pages_.page_of(machine);
  if (page)
    pages_.mark_due(*page, PageUrgency::opportunistic, now);
  return page.has_value();
}

bool InventoryPages::remove(MachineIndex machine, Seconds now) {
  const auto page = pages_.page_of(machine);
  if (!page)
    return false;
  pages_.remove(machine);
  awaiting_first_record_.erase(machine);
  pages_.mark_due(*page, PageUrgency::soon, now);
  return true;
}

// Returns when the page is due by its urgency, without regard to pages that block it.
Seconds InventoryPages::due_at(std::size_t page) const {
  const auto& state = pages_[page];
  if (state.urgency == PageUrgency::now)
    return state.due_since;
  if (state.urgency == PageUrgency::soon)
    return state.due_since + kRemovalDelay;
  return std::max(state.due_since + kRefreshDelay, last_opportunistic_write_at_ + kOpportunisticInterval);
}

int InventoryPages::due_count(Seconds now) const {
  const auto& due = pages_.due_pages();
  return static_cast<int>(std::count_if(due.begin(), due.end(), [this, now](std::size_t page) {
    return pages_[page].urgency >= PageUrgency::soon && pages_.is_writable(page) && due_at(page) <= now;
  }));
}

Seconds InventoryPages::next_due_at() const {
  Seconds next = ports::kNever;
  for (const std::size_t page : pages_.due_pages()) {
    if (pages_.is_writable(page))
      next = std::min(next, due_at(page));
  }
  return next;
}

std::vector<InventoryPages::Write> InventoryPages::add_due(wire::Transaction& transaction,
                                                           TransactionSpace& space, PageUrgency least,
                                                           Seconds now) {
  std::vector<Write> writes;
  const std::vector<std::size_t> due(pages_.due_pages().begin(), pages_.due_pages().end());
  for (const std::size_t page : due) {
    if (space.exhausted())
      break;
    const auto& state = pages_[page];
    const PageUrgency urgency = state.urgency;
    if (urgency < least || now < due_at(page))
      continue;
    PageValue encoded = encode_within_limits(pages_, page, records_limit_bytes(), limits_, now,
                                             [this](std::size_t number) { return encode(number); });
    splits_ += static_cast<std::uint64_t>(encoded.splits);
    if (!encoded.value)
      continue;
    Write write{page, urgency, {}};
    for (const MachineIndex machine : state.entries) {
      if (awaiting_first_record_.contains(machine))
        write.joining.push_back(machine);
    }
    writes.push_back(std::move(write));
    pages_.clear_due(page);
    transaction.require(key(page), state.version).put(key(page), std::move(*encoded.value));
    space.take(state.bytes + names_limit_bytes());
    // At most one opportunistic write per transaction: records that users wait for have precedence.
    if (urgency != PageUrgency::opportunistic)
      continue;
    last_opportunistic_write_at_ = now;
    break;
  }
  return writes;
}

void InventoryPages::restore(const Write& write, Seconds now) {
  pages_.mark_due(write.page, write.urgency, now);
}

void InventoryPages::on_written(const Write& write, std::uint64_t revision) {
  pages_.set_version(write.page, revision);
  pages_.on_written(write.page);
}

bool InventoryPages::mark_recorded(MachineIndex machine) {
  return awaiting_first_record_.erase(machine) > 0;
}

std::size_t InventoryPages::on_refused(const Write& write, Seconds retry_at) {
  if (pages_[write.page].entries.size() <= 1)
    pages_[write.page].due_since = retry_at;
  return encode(write.page).dump().size();
}

void InventoryPages::begin_version_lookup(std::size_t page) {
  pages_[page].version_lookup_pending = true;
}

void InventoryPages::end_version_lookup(std::size_t page, std::uint64_t version) {
  pages_.set_version(page, version);
  pages_[page].version_lookup_pending = false;
}

}  // namespace wingtrail::jobs
