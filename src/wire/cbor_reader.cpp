#include "wire/cbor_reader.hpp"

#include <cbor.h>

#include <utility>

namespace wingtrail::wire {
namespace {

// Passes everything on to a handler, and ends the reading at a list or map that is nested too deeply. The
// parser of nlohmann::json recurses once for each level.
class DepthLimit final : public CborHandler {
 public:
  explicit DepthLimit(CborHandler& handler) : handler_(handler) {}

  // Why the reading has ended early.
  ParseError error() const {
    if (depth_ > kMaxDepth)
      return {"", "nested too deeply", RefusalReason::nesting};
    if (malformed_)
      return {"", "not CBOR", RefusalReason::malformed};
    return {"", "a value is not allowed", RefusalReason::content};
  }

  bool null() override {
    return handler_.null();
  }
  bool boolean(bool value) override {
    return handler_.boolean(value);
  }
  bool number_integer(number_integer_t value) override {
    return handler_.number_integer(value);
  }
  bool number_unsigned(number_unsigned_t value) override {
    return handler_.number_unsigned(value);
  }
  bool number_float(number_float_t value, const string_t& text) override {
    return handler_.number_float(value, text);
  }
  bool string(string_t& value) override {
    return handler_.string(value);
  }
  bool binary(binary_t& value) override {
    return handler_.binary(value);
  }
  bool start_object(std::size_t size) override {
    return enter() && handler_.start_object(size);
  }
  bool key(string_t& name) override {
    return handler_.key(name);
  }
  bool end_object() override {
    --depth_;
    return handler_.end_object();
  }
  bool start_array(std::size_t size) override {
    return enter() && handler_.start_array(size);
  }
  bool end_array() override {
    --depth_;
    return handler_.end_array();
  }
  bool parse_error(std::size_t position, const std::string& token,
                   const nlohmann::detail::exception& error) override {
    malformed_ = true;
    return handler_.parse_error(position, token, error);
  }

 private:
  bool enter() {
    return ++depth_ <= kMaxDepth;
  }

  CborHandler& handler_;
  int depth_ = 0;  // the number of lists and maps around the current value
  bool malformed_ = false;
};

// What the heads of the strings in a message have shown so far.
struct StringHeads {
  bool in_parts = false;  // within a text of indefinite length
  bool nested = false;    // a text of indefinite length was a part of another one
  bool binary = false;    // there was a binary string
};

StringHeads& heads(void* context) {
  return *static_cast<StringHeads*>(context);
}

cbor_callbacks string_head_callbacks() {
  cbor_callbacks callbacks = cbor_empty_callbacks;
  callbacks.byte_string = [](void* context, cbor_data, std::size_t) {
    heads(context).binary = true;
  };
  callbacks.byte_string_start = [](void* context) {
    heads(context).binary = true;
  };
  callbacks.string_start = [](void* context) {
    heads(context).nested |= std::exchange(heads(context).in_parts, true);
  };
  callbacks.indef_break = [](void* context) {
    heads(context).in_parts = false;
  };
  return callbacks;
}

// Refuses messages with strings that the parser of nlohmann::json reads by recursion: it calls itself for
// each part of a string of indefinite length, also where RFC 8949, section 3.2.3, forbids the part.
Result<void> check_strings(std::string_view bytes) {
  static const cbor_callbacks kCallbacks = string_head_callbacks();
  StringHeads seen;
  const auto* next = reinterpret_cast<cbor_data>(bytes.data());
  std::size_t left = bytes.size();
  while (left > 0) {
    const cbor_decoder_result head = cbor_stream_decode(next, left, &kCallbacks, &seen);
    if (head.status != CBOR_DECODER_FINISHED)
      return malformed("not CBOR", RefusalReason::malformed);
    if (seen.nested)
      return malformed("a part of a text is in parts itself", RefusalReason::nesting);
    if (seen.binary)
      return malformed("a binary string");
    next += head.read;
    left -= head.read;
  }
  return {};
}

}  // namespace

Result<void> read_cbor(std::string_view bytes, CborHandler& handler) {
  if (auto checked = check_strings(bytes); !checked)
    return checked;
  DepthLimit limited(handler);
  try {
    if (Value::sax_parse(bytes.begin(), bytes.end(), &limited, nlohmann::json::input_format_t::cbor))
      return {};
  } catch (const std::exception& error) {
    return malformed(error.what());
  }
  return tl::make_unexpected(limited.error());
}

}  // namespace wingtrail::wire
