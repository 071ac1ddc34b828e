/// @file
/// Remote placements: the origin cell's record of the jobs that another cell holds or has been offered. A
/// change of holder is persisted before it takes effect. From the write of a page that names a job until the
/// write of that page without it, no task of the job starts in this cell; the second write follows only after
/// the holding cell has recorded that the job never runs there again (docs/cells.md has the table of states
/// and messages).
///
/// Each page j/away/CELL/N names many jobs, since the state service limits the number of changes. Only the
/// leader writes pages; each write requires that it still leads and that the page has the version it knows. A
/// transaction without a reply may be applied after newer ones, and an older page in place of a newer one
/// would return jobs to this cell that another cell holds.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "peer/cell_message.hpp"
#include "ports/outbox.hpp"

namespace wingtrail::cells {

using peer::JobVerb;
using ports::Seconds;

inline constexpr const char* kRemotePlacementPrefix = "j/away/";
/// Whether the key of the state service is that of a page of remote placements.
inline bool is_remote_placement_key(std::string_view key) {
  return key.starts_with(kRemotePlacementPrefix);
}

/// The remote placements of all jobs of this cell, with the pages to write and the requests to send for them.
/// Does no input or output itself.
class RemotePlacements {
 public:
  /// Where a remote placement stands in its course.
  enum class State : std::uint8_t {
    recording,  ///< the page that names the job is being written
    offered,    ///< the neighbour has been or may have been offered the job, and may hold it
    remote,     ///< the neighbour confirmed that it holds the job
    recalling,  ///< the neighbour is asked to give the job back or to cancel it
    returning,  ///< the job never runs there again; the page without it is being written
    ended,      ///< the job has ended there; its final state is being recorded in this cell
  };
  /// What a reply changes for the job: it is done, or it was cancelled in the holding cell.
  enum class Event : std::uint8_t { none, done, cancelled };
  struct RemotePlacement {
    std::size_t cell = 0;  ///< index of the neighbour
    std::size_t page = 0;  ///< of the page that names the job
    State state = State::recording;
    bool cancel = false;                  ///< the user has cancelled the job
    Seconds next_request_at = 0;          ///< when the neighbour is asked about the job next
    std::uint32_t done = 0, running = 0;  ///< tasks, by the neighbour's last reply
  };

  /// `cells`: the neighbours' names, in the order of their indices. `page_bytes`: the largest size of a page.
  RemotePlacements(std::vector<std::string> cells, std::size_t page_bytes)
      : cells_(std::move(cells)), page_bytes_(page_bytes), requests_due_(cells_.size()) {}

  /// Forgets everything, when a leadership starts or ends.
  void clear();
  /// Takes over a page that an earlier leader persisted; `live` says whether a job has no final state yet.
  /// Returns false if the page is malformed.
  bool load(const std::string& key, const wire::Value& value, std::uint64_t version,
            const std::function<bool(const std::string&)>& live, Seconds now);

  /// Begins to offload the job to the cell. The caller ensures that none of its tasks has started here, or
  /// will.
  void offload(const std::string& ref, std::size_t cell);
  /// Asks the holding cell to give the job back unless a task of it has started there; with `cancel`, to
  /// cancel the job in any case.
  void recall(const std::string& ref, bool cancel, Seconds now);
  /// Forgets the job: its final state is recorded in this cell.
  void on_job_over(const std::string& ref);
  /// Returns all jobs of a neighbour that its operators have declared decommissioned to this cell.
  void abandon_cell(std::size_t cell);

  // ---- persistence; at most one write is in flight

  /// A page to write or delete.
  struct Page {
    std::string key, cell;
    std::vector<std::string> refs;  ///< if empty, the page is deleted
    std::uint64_t version = 0;      ///< the version that the write requires; 0: the page must not exist
    wire::Value value() const;
  };
  /// The next pages to write, `max_pages` at most; empty while a write is in flight.
  std::vector<Page> next_write(std::size_t max_pages);
  /// The write was applied at that revision. Returns the jobs that now belong to this cell again.
  std::vector<std::string> on_written(std::uint64_t revision);
  /// The write was not applied or, if `unsure`, may have been or may still be: its pages are then read before
  /// they are written again.
  void on_write_failed(bool unsure);
  /// The write can never be applied: its pages are too large for the state service. Returns the jobs that
  /// were to be offloaded by it; they remain in this cell.
  std::vector<std::string> on_write_refused();
  bool writing() const {
    return !pending_writes_.empty();
  }
  /// Keys of the pages to read after an unsure write.
  std::vector<std::string> pages_to_read() const;
  /// The page was read with that version; 0: it does not exist.
  void on_page_read(const std::string& key, std::uint64_t version);

  // ---- messages between cells

  /// The requests to send to the cell now, `max_requests` at most. Each is repeated at an interval until a
  /// reply settles the job.
  std::vector<peer::JobMessage> next_requests(std::size_t cell, std::size_t max_requests, Seconds now);
  /// Takes a reply in. A reply that does not fit the placement's cell or state has no effect.
  Event on_reply(std::size_t cell, const peer::JobMessage& reply, Seconds now);

  /// The job's remote placement; null if it has none.
  const RemotePlacement* find(const std::string& ref) const;
  std::size_t size() const {
    return placements_.size();
  }
  /// Number of jobs with a remote placement at the cell, in any state.
  std::size_t count_at(std::size_t cell) const;
  /// Jobs that the cell holds with no task running or done, `max_jobs` at most. Scans all placements: call at
  /// most once a second.
  std::vector<std::string> idle_jobs(std::size_t cell, std::size_t max_jobs) const;

 private:
  struct PageState {
    std::size_t cell = 0, number = 0, bytes = 0;
    std::set<std::string> refs;          // the jobs that it is to name
    std::uint64_t version = 0;           // the last one known
    bool unsure = false;                 // a write without a reply may have changed it
    std::vector<std::string> returning;  // removed from refs, until that is written
  };
  std::string key(const PageState& page) const;
  void schedule_request(const std::string& ref, RemotePlacement& placement, Seconds at);
  void unschedule_request(const std::string& ref, const RemotePlacement& placement);
  void delete_if_empty(std::size_t page);
  void begin_return(const std::string& ref, RemotePlacement& placement);
  void mark_due(std::size_t page);

  std::vector<std::string> cells_;
  std::size_t page_bytes_;
  std::unordered_map<std::string, RemotePlacement> placements_;
  std::vector<std::set<std::pair<Seconds, std::string>>> requests_due_;  // by cell
  std::map<std::size_t, PageState> pages_;
  std::set<std::size_t> pages_due_;
  struct PendingWrite {
    std::size_t page;
    std::vector<std::string> named, returning;
  };
  std::vector<PendingWrite> pending_writes_;
  std::map<std::size_t, std::size_t> open_page_by_cell_;  // by cell: the page that new jobs join
  std::size_t last_page_ = 0;
};

}  // namespace wingtrail::cells
