#include "leadership/leader_key.hpp"

namespace wingtrail::leadership {
namespace {
// Fields of the value.
constexpr const char* kHolder = "node";
constexpr const char* kLease = "lease";
}  // namespace

LeaderKey LeaderKey::from(const wire::Item& item) {
  return {wire::text(item.value, kHolder).value_or(""), item.version, wire::count(item.value, kLease),
          item.lease};
}

wire::Value LeaderKey::value(const std::string& holder, std::uint64_t lease) {
  return {{kHolder, holder}, {kLease, lease}};
}

const char* name(LeaderKeyView::Presence presence) {
  switch (presence) {
    case LeaderKeyView::Presence::unread:
      return "unread";
    case LeaderKeyView::Presence::absent:
      return "absent";
    case LeaderKeyView::Presence::present:
      return "present";
  }
  return "unknown";
}

}  // namespace wingtrail::leadership
