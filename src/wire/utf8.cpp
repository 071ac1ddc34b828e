#include "wire/utf8.hpp"

#include <utf8.h>

#include <iterator>

namespace wingtrail::wire {

bool is_utf8(std::string_view bytes) {
  return utf8::is_valid(bytes.begin(), bytes.end());
}

std::string replace_invalid_utf8(std::string_view bytes) {
  std::string valid;
  utf8::replace_invalid(bytes.begin(), bytes.end(), std::back_inserter(valid));
  return valid;
}

}  // namespace wingtrail::wire
