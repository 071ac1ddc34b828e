#include "wire/value.hpp"

#include <cmath>
#include <vector>

namespace wingtrail::wire {
namespace {

// Builds the value while it checks what the library's own builder lets pass: depth, duplicate keys, binary
// strings and numbers that are none. Returning false ends the parse at once, which bounds the recursion.
class StrictBuilder : public nlohmann::json_sax<Value> {
 public:
  explicit StrictBuilder(Value& root) : root_(root) {}

  bool null() override {
    return add(nullptr);
  }
  bool boolean(bool v) override {
    return add(v);
  }
  bool number_integer(number_integer_t v) override {
    return add(v);
  }
  bool number_unsigned(number_unsigned_t v) override {
    return add(v);
  }
  bool number_float(number_float_t v, const string_t&) override {
    return std::isfinite(v) && add(v);
  }
  bool string(string_t& v) override {
    return add(std::move(v));
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
  bool key(string_t& k) override {
    if (stack_.back()->contains(k))
      return false;
    key_ = std::move(k);
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  template <typename T>
  bool add(T&& v) {
    place(Value(std::forward<T>(v)));
    return true;
  }
  bool open(Value v) {
    if (stack_.size() >= static_cast<std::size_t>(kMaxDepth))
      return false;
    stack_.push_back(place(std::move(v)));
    return true;
  }
  bool close() {
    stack_.pop_back();
    return true;
  }
  Value* place(Value v) {
    if (stack_.empty()) {
      root_ = std::move(v);
      return &root_;
    }
    Value& parent = *stack_.back();
    if (parent.is_array()) {
      parent.push_back(std::move(v));
      return &parent.back();
    }
    Value& slot = parent[key_];
    slot = std::move(v);
    return &slot;
  }

  Value& root_;
  std::vector<Value*> stack_;
  std::string key_;
};

}  // namespace

std::optional<Value> decode_cbor(std::string_view bytes) {
  Value root;
  StrictBuilder builder(root);
  try {
    if (!Value::sax_parse(bytes.begin(), bytes.end(), &builder, nlohmann::json::input_format_t::cbor)) {
      return std::nullopt;
    }
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return root;
}

std::string encode_cbor(const Value& value) {
  std::string out;
  Value::to_cbor(value, nlohmann::detail::output_adapter<char>(out));
  return out;
}

const Value* find(const Value& map, const char* key) {
  if (!map.is_object())
    return nullptr;
  auto it = map.find(key);
  return it == map.end() || it->is_null() ? nullptr : &*it;
}

std::optional<std::string> text(const Value& map, const char* key) {
  const Value* v = find(map, key);
  if (!v || !v->is_string())
    return std::nullopt;
  return v->get<std::string>();
}

std::optional<double> amount(const Value& map, const char* key) {
  const Value* v = find(map, key);
  if (!v || !v->is_number())
    return std::nullopt;
  return v->get<double>();
}

std::optional<std::uint64_t> count(const Value& map, const char* key) {
  const Value* v = find(map, key);
  if (!v)
    return std::nullopt;
  if (v->is_number_unsigned())
    return v->get<std::uint64_t>();
  if (v->is_number_integer() && v->get<std::int64_t>() >= 0)
    return v->get<std::uint64_t>();
  // A sender in a language without integers may write 4.0; 2^53 is where doubles stop being exact.
  if (v->is_number_float()) {
    const double d = v->get<double>();
    if (d >= 0 && d <= 9007199254740992.0 && std::floor(d) == d)
      return static_cast<std::uint64_t>(d);
  }
  return std::nullopt;
}

std::optional<bool> flag(const Value& map, const char* key) {
  const Value* v = find(map, key);
  if (!v || !v->is_boolean())
    return std::nullopt;
  return v->get<bool>();
}

}  // namespace wingtrail::wire
