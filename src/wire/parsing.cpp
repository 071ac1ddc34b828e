#include "wire/parsing.hpp"

#include <cctype>

namespace wingtrail::wire {

std::optional<std::vector<std::string>> text_list(const Value& list) {
  if (!list.is_array())
    return std::nullopt;
  std::vector<std::string> texts;
  for (const Value& item : list) {
    if (!item.is_string())
      return std::nullopt;
    texts.push_back(item.get<std::string>());
  }
  return texts;
}

bool is_valid_name(const std::optional<std::string>& name) {
  return name && !name->empty() && name->size() <= kMaxNameBytes;
}

bool is_valid_amount(const std::optional<double>& amount) {
  return amount && *amount >= 0 && *amount <= kMaxAmount;
}

std::string escape_query(const std::string& text) {
  static const char* const kHexDigits = "0123456789ABCDEF";
  std::string escaped;
  for (const unsigned char byte : text) {
    if (std::isalnum(byte) || byte == '-' || byte == '_' || byte == '.' || byte == '/' || byte == '~') {
      escaped += static_cast<char>(byte);
    } else {
      escaped += '%';
      escaped += kHexDigits[byte >> 4];
      escaped += kHexDigits[byte & 15];
    }
  }
  return escaped;
}

}  // namespace wingtrail::wire
