/// @file
/// The origin cell's side of offloading: the leader offers jobs to neighbouring cells and follows their state
/// there. remote_jobs.cpp is the holding cell's side. docs/cells.md has the table of states and messages,
/// docs/safety.md the reasons why each rule holds across cells.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/cell_timing.hpp"
#include "controller/controller.hpp"
#include "wire/job_messages.hpp"
#include "wire/state_messages.hpp"

namespace wingtrail::controller {
namespace {
constexpr Seconds kDigestInterval = 1.0;  // between digests sent to one neighbour
constexpr Seconds kPlanInterval = 1.0;
constexpr Seconds kUnknownCellsLogInterval = 60;
// Limit for the values in a transaction; the protocol allows 64 KiB for the whole transaction.
constexpr std::size_t kMaxTransactionBytes = 40UL * 1024;
constexpr std::size_t kMaxJobMessages = 60;  // in a message; their records fit a frame of 64 KiB

using peer::JobVerb;
}  // namespace

std::size_t page_bytes(const settings::Settings& settings) {
  return settings.value_bytes() * 3 / 4;
}

// Whether all peers support cells. If a peer of an older version became leader, it would start jobs that are
// placed remotely.
bool Controller::peers_support_cells() const {
  return peers_.all_have_level(peer::kLevelCells);
}

void Controller::load_remote_placements() {
  for (const wire::Item& page : std::exchange(remote_placement_pages_, {})) {
    const auto live = [this](const std::string& ref) {
      jobs::Job* job = registry_.find(ref);
      if (job)
        job->placed_remotely = true;
      return job != nullptr;
    };
    if (!remote_placements_.load(page.key, page.value, page.version, live, out_.now()))
      spdlog::error("cells: malformed remote placement page key={}", page.key);
  }
}

void Controller::update_cells() {
  if (!settings_.cells.enabled() && remote_placements_.size() == 0)
    return;
  for (std::size_t c = 0; c < neighbours_.size(); ++c) {
    const auto& decommissioned = settings_.cells.decommissioned;
    if (std::find(decommissioned.begin(), decommissioned.end(), settings_.cells.neighbours[c].name) !=
        decommissioned.end()) {
      remote_placements_.abandon_cell(c);
    } else {
      query_cell(c);
      log_reachability(c);
    }
  }
  if (out_.now() > unknown_cells_logged_at_ + kUnknownCellsLogInterval) {
    unknown_cells_logged_at_ = out_.now();
    std::size_t unknown = remote_placements_.size();
    for (std::size_t c = 0; c < neighbours_.size(); ++c)
      unknown -= remote_placements_.count_at(c);
    if (unknown > 0)
      spdlog::error("cells: jobs held by unknown cells jobs={}", unknown);
  }
  if (settings_.cells.enabled() && out_.now() >= offloading_planned_at_ + kPlanInterval) {
    offloading_planned_at_ = out_.now();
    plan_offloading();
  }
  write_remote_placements();
}

void Controller::query_cell(std::size_t c) {
  NeighbourState& neighbour = neighbours_[c];
  if (neighbour.query_in_flight)
    return;
  peer::CellMessage message;
  message.jobs = remote_placements_.next_requests(c, kMaxJobMessages, out_.now());
  for (peer::JobMessage& request : message.jobs) {
    const jobs::Job* job = registry_.find(request.ref);
    if (request.verb() != JobVerb::offer || !job)
      continue;
    // The dependencies of an offloaded job are done, and only this cell has their records.
    wire::JobSpec spec = job->spec;
    spec.depends_on.clear();
    request.record =
        wire::encode_cbor(wire::job_record(spec, out_.time_of_day() - (out_.now() - job->submitted_at)));
  }
  const bool digest_due = out_.now() >= neighbour.digest_sent_at + kDigestInterval;
  if (message.jobs.empty() && !digest_due)
    return;
  if (digest_due) {
    message.digest.push_back(make_digest(c));
    neighbour.digest_sent_at = out_.now();
  }
  ports::Call call;
  call.target = ports::Target::cell;
  call.cell = static_cast<std::uint32_t>(c);
  call.peer = static_cast<std::uint32_t>(neighbour.controller);
  call.method = "POST";
  call.path = peer::kPeerPath;
  call.frame = make_cell_frame(settings_.cells.name, peer::encode(message));
  call.timeout_s = kCellCallTimeout;
  call.not_after = election_.lease_expires_at();
  neighbour.query_in_flight = true;
  out_.call(std::move(call), [this, c, term = term_](const ports::Reply& reply) {
    NeighbourState& replying = neighbours_[c];
    replying.query_in_flight = false;
    const bool answered = reply.frame && reply.frame->status == 200;
    if (!answered)
      replying.controller = (replying.controller + 1) % settings_.cells.neighbours[c].nodes.size();
    if (answered && term == term_ && is_active_leader())
      on_cell_reply(c, *reply.frame);
  });
}

// Ignores a delayed digest of an earlier leader.
void Controller::on_digest(NeighbourState& neighbour, const peer::CapacityDigest& digest) {
  if (neighbour.digest && digest.leadership < neighbour.digest->leadership)
    return;
  neighbour.digest = digest;
  neighbour.last_digest_at = out_.now();
}

peer::Frame Controller::make_cell_frame(const std::string& cell, std::string cell_message) const {
  peer::Frame frame = make_frame();
  frame.cell = cell;
  frame.cell_message = std::move(cell_message);
  frame.deferred_attempts.clear();  // these concern only this cell
  return frame;
}

void Controller::on_cell_reply(std::size_t c, const peer::Frame& frame) {
  const auto reply = peer::decode_cell_message(frame.cell_message);
  if (!reply || frame.cell != settings_.cells.neighbours[c].name)
    return;
  NeighbourState& neighbour = neighbours_[c];
  if (!reply->digest.empty()) {
    on_digest(neighbour, reply->digest.front());
    while (!neighbour.offered.empty() && neighbour.offered.front().first < out_.now() - kOfferInTransit)
      neighbour.offered.pop_front();
  }
  for (const peer::JobMessage& message : reply->jobs)
    on_job_message(c, message);
}

void Controller::on_job_message(std::size_t c, const peer::JobMessage& message) {
  const cells::RemotePlacements::Event event = remote_placements_.on_reply(c, message, out_.now());
  jobs::Job* job = registry_.find(message.ref);
  if (!job || event == cells::RemotePlacements::Event::none)
    return;
  if (event == cells::RemotePlacements::Event::done) {
    // The holding cell has recorded the final state. Users see it once it is recorded here, too.
    ++stats_.remote_jobs_done;
    return state_writer_.record_final_state(*job, wire::Phase::done, {});
  }
  job->placed_remotely = false;  // cancellation_ records its final state
  cancellation_.cancel(*job);
}

void Controller::log_reachability(std::size_t c) {
  NeighbourState& neighbour = neighbours_[c];
  const bool reachable = out_.now() < neighbour.last_digest_at + kReachableWithin;
  if (reachable == neighbour.reachable)
    return;
  neighbour.reachable = reachable;
  const std::string& name = settings_.cells.neighbours[c].name;
  if (reachable)
    spdlog::info("cells: reachable cell={} accepts_cores={:.0f} wait_s={:.0f}", name,
                 neighbour.digest->accepts_cores, neighbour.digest->wait_s);
  else
    spdlog::warn("cells: unreachable cell={} jobs_held={}", name, remote_placements_.count_at(c));
}

// Reads the pages that a write without a reply may have changed.
void Controller::read_uncertain_pages() {
  for (const std::string& key : remote_placements_.pages_to_read()) {
    if (!pages_being_read_.insert(key).second)
      continue;
    store_.get(key, store::RequestPriority::user, [this, key, term = term_](const store::Reply& reply) {
      pages_being_read_.erase(key);
      if (term != term_)
        return;
      const auto item = reply.status == 200 ? wire::parse_item(reply.body) : wire::malformed("");
      if (item)
        remote_placements_.on_page_read(key, item->version);
      if (reply.status == 404)
        remote_placements_.on_page_read(key, 0);
    });
  }
}

void Controller::write_remote_placements() {
  if (remote_placements_.writing())
    return;
  read_uncertain_pages();
  const std::size_t pages_that_fit = kMaxTransactionBytes / std::max<std::size_t>(1, page_bytes(settings_));
  const auto pages = remote_placements_.next_write(std::clamp<std::size_t>(
      pages_that_fit, 1, static_cast<std::size_t>(settings_.max_transaction_changes)));
  if (pages.empty())
    return;
  wire::Transaction txn;
  txn.require(leadership::kLeaderKey, election_.fencing_token());
  for (const auto& page : pages) {
    txn.require(page.key, page.version);
    page.refs.empty() ? txn.erase(page.key) : txn.put(page.key, page.value());
  }
  store_.transact(std::move(txn), store::RequestPriority::user, election_.lease_expires_at(),
                  [this, term = term_](const store::Reply& reply) {
                    if (term == term_)
                      on_remote_placements_reply(reply);
                  });
}

void Controller::on_remote_placements_reply(const store::Reply& reply) {
  if (reply.status == 200)
    return schedule_locally(remote_placements_.on_written(wire::revision(reply.body).value_or(0)));
  if (reply.status == 400) {
    spdlog::error("cells: remote placement page refused as malformed");
    return schedule_locally(remote_placements_.on_write_refused());
  }
  const auto failed = reply.status == 409 ? wire::failed_keys(reply.body) : std::vector<std::string>{};
  // A write that was throttled here or refused, or whose conditions failed, was certainly not applied.
  remote_placements_.on_write_failed(reply.delivered && reply.status != 429 && reply.status != 503);
  if (std::find(failed.begin(), failed.end(), leadership::kLeaderKey) != failed.end())
    election_.on_superseded("a write of remote placements found another leader");
}

void Controller::schedule_locally(const std::vector<std::string>& refs) {
  for (const std::string& ref : refs) {
    jobs::Job* job = registry_.find(ref);
    if (!job || !job->is_open())
      continue;
    ++stats_.remote_jobs_returned;
    job->placed_remotely = false;
    if (!job->is_held())
      scheduler_.on_job_ready(*job);
  }
}

}  // namespace wingtrail::controller
