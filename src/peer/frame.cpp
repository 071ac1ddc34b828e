#include "peer/frame.hpp"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <string_view>

#include "peer/codec.hpp"
#include "wire/utf8.hpp"

namespace wingtrail::peer {
namespace {

bool has_valid_text(const Frame& frame) {
  const std::initializer_list<std::string_view> texts = {frame.node, frame.leader, frame.method, frame.path,
                                                         frame.cell};
  return std::all_of(texts.begin(), texts.end(), wire::is_utf8);
}

bool has_valid_numbers(const Frame& frame) {
  const auto is_nan = [](double number) {
    return std::isnan(number);
  };
  const auto is_finite = [](double number) {
    return std::isfinite(number);
  };
  // A duration may be infinite, for "never".
  const std::initializer_list<double> durations = {frame.retry_after_s,
                                                   frame.process_age_s,
                                                   frame.since_delegated_renewal_s,
                                                   frame.all_support_delegation_s,
                                                   frame.max_delegation_s,
                                                   frame.delegation_s,
                                                   frame.final_state_lag_s};
  const std::initializer_list<double> shares = {frame.requested_write_share, frame.requested_request_share,
                                                frame.lent_write_share, frame.lent_request_share};
  return std::none_of(durations.begin(), durations.end(), is_nan) &&
         std::all_of(shares.begin(), shares.end(), is_finite);
}

}  // namespace

std::string encode(const Frame& frame) {
  return pack(frame);
}

std::optional<Frame> decode(std::string_view bytes) {
  // A frame is a flat map of scalars. Its longest text is the body of a forwarded request.
  constexpr std::size_t kMaxArrayItems = 16;
  constexpr std::size_t kMaxMapItems = 64;
  constexpr std::size_t kMaxTextBytes = 128UL * 1024;
  constexpr std::size_t kMaxBinaryBytes = 128UL * 1024;
  constexpr std::size_t kMaxExtensionBytes = 0;
  constexpr std::size_t kMaxDepth = 3;
  auto frame = unpack<Frame>(bytes, msgpack::unpack_limit(kMaxArrayItems, kMaxMapItems, kMaxTextBytes,
                                                          kMaxBinaryBytes, kMaxExtensionBytes, kMaxDepth));
  if (frame && !(has_valid_text(*frame) && has_valid_numbers(*frame)))
    return std::nullopt;
  return frame;
}

}  // namespace wingtrail::peer
