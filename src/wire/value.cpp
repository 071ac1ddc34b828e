#include "wire/value.hpp"

#include <cmath>
#include <vector>

#include "wire/cbor_reader.hpp"
#include "wire/utf8.hpp"

namespace wingtrail::wire {
namespace {

// Builds a value, and rejects what the builder of nlohmann::json accepts: duplicate keys, binary strings,
// text that is not UTF-8, NaN and infinity.
class StrictBuilder : public CborHandler {
 public:
  StrictBuilder(Value& root, InvalidText invalid_text) : root_(root), invalid_text_(invalid_text) {}

  bool null() override {
    return add(nullptr);
  }
  bool boolean(bool value) override {
    return add(value);
  }
  bool number_integer(number_integer_t value) override {
    return add(value);
  }
  bool number_unsigned(number_unsigned_t value) override {
    return add(value);
  }
  bool number_float(number_float_t value, const string_t&) override {
    return std::isfinite(value) && add(value);
  }
  bool string(string_t& value) override {
    return make_valid(value) && add(std::move(value));
  }
  bool binary(binary_t&) override {
    return false;
  }
  bool start_object(std::size_t) override {
    return open(Value::object());
  }
  bool start_array(std::size_t) override {
    return open(Value::array());
  }
  bool end_object() override {
    return close();
  }
  bool end_array() override {
    return close();
  }
  bool key(string_t& name) override {
    if (!make_valid(name) || stack_.back()->contains(name))
      return false;
    key_ = std::move(name);
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  // Returns whether the text is UTF-8, if necessary after the replacement of invalid sequences.
  bool make_valid(string_t& text) const {
    if (is_utf8(text))
      return true;
    if (invalid_text_ == InvalidText::refuse)
      return false;
    text = replace_invalid_utf8(text);
    return true;
  }
  template <typename T>
  bool add(T&& value) {
    place(Value(std::forward<T>(value)));
    return true;
  }
  bool open(Value value) {
    stack_.push_back(place(std::move(value)));
    return true;
  }
  bool close() {
    stack_.pop_back();
    return true;
  }
  // Stores the value as the root, or in the innermost list or map being read. Returns where it is stored.
  Value* place(Value value) {
    if (stack_.empty()) {
      root_ = std::move(value);
      return &root_;
    }
    Value& parent = *stack_.back();
    if (parent.is_array()) {
      parent.push_back(std::move(value));
      return &parent.back();
    }
    Value& member = parent[key_];
    member = std::move(value);
    return &member;
  }

  Value& root_;
  InvalidText invalid_text_;
  std::vector<Value*> stack_;  // the lists and maps being read, outermost first
  std::string key_;            // the key of the next value in a map
};

}  // namespace

Result<Value> decode_cbor(std::string_view bytes, InvalidText invalid_text) {
  Value root;
  StrictBuilder builder(root, invalid_text);
  if (auto read = read_cbor(bytes, builder); !read)
    return tl::make_unexpected(std::move(read.error()));
  return root;
}

std::string encode_cbor(const Value& value) {
  std::string bytes;
  Value::to_cbor(value, nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

const Value* find(const Value& map, const char* key) {
  if (!map.is_object())
    return nullptr;
  const auto member = map.find(key);
  return member == map.end() || member->is_null() ? nullptr : &*member;
}

std::optional<std::string> text(const Value& map, const char* key) {
  const Value* value = find(map, key);
  if (!value || !value->is_string())
    return std::nullopt;
  return value->get<std::string>();
}

std::optional<double> amount(const Value& map, const char* key) {
  const Value* value = find(map, key);
  if (!value || !value->is_number())
    return std::nullopt;
  return value->get<double>();
}

std::optional<std::uint64_t> count(const Value& map, const char* key) {
  const Value* value = find(map, key);
  if (!value)
    return std::nullopt;
  if (value->is_number_unsigned())
    return value->get<std::uint64_t>();
  if (value->is_number_integer() && value->get<std::int64_t>() >= 0)
    return value->get<std::uint64_t>();
  // Senders written in a language without integers may encode 4 as 4.0.
  if (value->is_number_float()) {
    const double number = value->get<double>();
    if (number >= 0 && number <= kMaxExactInteger && std::floor(number) == number)
      return static_cast<std::uint64_t>(number);
  }
  return std::nullopt;
}

std::optional<bool> flag(const Value& map, const char* key) {
  const Value* value = find(map, key);
  if (!value || !value->is_boolean())
    return std::nullopt;
  return value->get<bool>();
}

}  // namespace wingtrail::wire
