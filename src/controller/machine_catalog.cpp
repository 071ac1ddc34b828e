#include "controller/machine_catalog.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "wire/cloud_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr const char* kCatalogKey = "catalog";
constexpr Seconds kFetchTimeout = 3;
constexpr Seconds kFetchInterval = 60;
constexpr Seconds kFirstFetchRetryDelay = 0.5;  // while no catalog is known
}  // namespace

MachineCatalog::MachineCatalog(ports::Outbox& out, store::StateClient& store,
                               const leadership::LeaderElection& election, const settings::Settings& settings,
                               Callbacks callbacks)
    : out_(out), store_(store), election_(election), settings_(settings), callbacks_(std::move(callbacks)) {}

void MachineCatalog::read_stored() {
  store_.get(kCatalogKey, store::RequestPriority::user, [this](const store::Reply& reply) {
    const auto item = reply.status == 200 ? wire::parse_item(reply.body) : wire::malformed("");
    if (item && types_.empty())
      apply_catalog(item->value);
  });
}

void MachineCatalog::start_fetching() {
  ports::Call call;
  call.target = ports::Target::cloud;
  call.method = "GET";
  call.path = wire::kCatalogPath;
  call.timeout_s = kFetchTimeout;
  out_.call(std::move(call), [this](const ports::Reply& reply) {
    if (reply.status == 200) {
      apply_catalog(reply.body);
      if (callbacks_.is_active_leader())
        save();
    }
    out_.after(types_.empty() ? kFirstFetchRetryDelay : kFetchInterval, [this] { start_fetching(); });
  });
}

void MachineCatalog::save() {
  if (catalog_.is_null() || catalog_.dump().size() > settings_.value_bytes())
    return;
  wire::Transaction txn;
  txn.require(leadership::kLeaderKey, election_.fencing_token()).put(kCatalogKey, catalog_);
  store_.transact(std::move(txn), store::RequestPriority::background, election_.lease_expires_at(),
                  [](const store::Reply&) {});
}

void MachineCatalog::apply_catalog(const wire::Value& catalog) {
  auto types = wire::parse_catalog(catalog);
  if (!types)
    return spdlog::error("catalog: malformed error=\"{}\"", types.error().text());
  types_ = std::move(*types);
  catalog_ = catalog;
  callbacks_.on_change(types_);
}

}  // namespace wingtrail::controller
