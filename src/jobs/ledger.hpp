// What the leader persists: final states, completed tasks, and the roster of machines. One transaction is
// under way at a time; what gathers meanwhile goes into the next one (group commit). Every one is conditioned
// on the leader's key, so a copy that is applied late fails once somebody else leads.
//
// Keys: j/REF the job while it is not over, j/REF/abort that its user wants it cancelled, f/REF its final
// state. Progress and roster are kept in pages, many jobs or machines to a value, since the state service
// counts writes: p/N the completed tasks of some jobs, r/N some machines that may hold tasks.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/pages.hpp"
#include "jobs/progress.hpp"
#include "jobs/registry.hpp"
#include "jobs/sheets.hpp"
#include "jobs/write_shares.hpp"
#include "store/client.hpp"

namespace wingtrail::jobs {

inline constexpr const char* kLive = "j/";
inline constexpr const char* kProgress = "p/";
inline constexpr const char* kFinal = "f/";
inline constexpr const char* kRoster = "r/";
inline constexpr const char* kAbortMark = "/abort";
// In the record of a job that another cell handed on: that cell.
inline constexpr const char* kGuest = "guest";

class Ledger {
 public:
  struct Link {
    std::function<std::uint64_t()> token;
    std::function<Seconds()> authority_until;
    std::function<void()> superseded;
    std::string leader_key;
  };
  // A completed task that its worker still reports.
  struct Ended {
    Ix machine;
    std::uint32_t task;
    std::uint64_t attempt;
  };
  struct Events {
    std::function<void(Job&)> closed;
    std::function<void(const std::vector<Ended>&)> persisted;
    std::function<void(Ix)> enlisted;       // the machine is in the persisted roster
    std::function<wire::Value(Ix)> record;  // what the roster holds of a machine
  };
  Ledger(ports::Outbox& out, store::Client& store, Registry& registry, const settings::Settings& settings,
         Link link);
  void set_events(Events events) {
    events_ = std::move(events);
  }

  void begin();  // a leadership begins: nothing is pending
  void end();
  // What an earlier leader persisted, and at which revision; both return false if the record makes no sense.
  bool load_progress(const std::string& key, const wire::Value& value, std::uint64_t version);
  bool load_roster(const std::string& key, const wire::Value& value, std::uint64_t version,
                   const std::function<Ix(const wire::Value&)>& learn);

  // Persist the job's final state; `then` runs when that is certain. More than one may wait for it.
  void close(Job& job, wire::Phase phase, std::function<void()> then);
  // The same for one that can never start, since a job that it needs is cancelled.
  void close_orphan(Job& job);
  void progress(Job& job, std::uint32_t task, Ix machine, std::uint64_t attempt);  // a task was completed
  void enlist(Ix machine);
  void refresh(Ix machine);  // its record has changed; written in passing
  void delist(Ix machine);

  // The records of jobs on sheets. Whoever reads one says what it holds.
  Sheets& sheets() {
    return sheets_;
  }
  void sweep_empty_sheets();    // deleted in passing
  void sweep(std::string key);  // the same, of any key that is of no use any more
  // Gives the job a key of its own, so that its sheets can go; for when sheets are no longer wanted.
  void unfold(Job& job);

  const ProgressCodec& codec() const {
    return codec_;
  }
  std::uint64_t commits() const {
    return commits_;
  }
  struct Writes {  // puts and deletes, by what they were for
    std::uint64_t ends = 0, roster = 0, progress = 0, swept = 0;
  };
  const Writes& writes() const {
    return writes_;
  }
  std::uint64_t divided() const {
    return divided_;
  }  // pages found too large
  std::uint64_t refused() const {
    return refused_;
  }  // transactions called malformed
  std::size_t pages() const {
    return progress_.size() + roster_.size();
  }
  std::uint64_t looked_up() const {
    return looked_up_;
  }  // pages that a write without an answer had changed
  // Ends of one kind that are decided and not recorded.
  struct Backlog {
    std::size_t waiting = 0;
    Seconds oldest_s = 0;
    std::uint64_t recorded = 0;     // so far
    std::uint64_t no_room_for = 0;  // transactions that had to leave some of them out
  };
  using Backlogs = std::array<Backlog, kEndKinds>;
  Backlogs backlogs() const;
  // Since when the oldest end of that kind has been decided; nothing: all are recorded.
  std::optional<Seconds> oldest_unrecorded(RecordKind kind) const;

 private:
  using Chunk = std::pair<Ix, std::uint32_t>;  // job, chunk
  struct Commit {
    std::vector<Ix> closes;
    std::vector<std::pair<std::size_t, std::vector<std::pair<Chunk, Ended>>>>
        progress;                                                 // page, what it covers
    std::vector<std::pair<std::size_t, std::vector<Ix>>> roster;  // page, who joins
    std::vector<Due> was_due;                                     // the roster's pages
    std::vector<std::string> swept;
    std::vector<Ix> unfolded;
    WriteShares shares_before;
    std::array<bool, kEndKinds> left_out{};  // kinds of ends that it had no room for some of
    std::size_t records() const {
      return closes.size() + progress.size() + roster.size() + swept.size() + unfolded.size();
    }
  };
  wire::Value progress_value(std::size_t page) const;
  wire::Value roster_value(std::size_t page) const;
  std::size_t names_bytes() const {
    return page_bytes_ / 8;
  }
  std::size_t images_bytes() const;
  std::size_t roster_bytes() const {
    return page_bytes_ - names_bytes();
  }
  std::size_t record_size(const wire::Value& record) const;
  // The page's value; nothing if it has to wait: for others, or because it was too large and has been
  // divided.
  template <typename Entry, typename Encode>
  std::optional<wire::Value> writable(Pages<Entry>& pages, std::size_t n, std::size_t limit, Encode encode);
  void arm(Seconds delay);
  void flush();
  void decide_end(Job& job, wire::Phase phase, RecordKind kind, Seconds since);
  void queue_end(const Job& job);
  static int ops_of_end(const Job& job);
  void add_end(wire::Txn& txn, Commit& c, Job& job);
  // What of a transaction's changes is for pages, and which ends go into it.
  struct PageRoom {
    int machines = 0, progress = 0, rest = 0;
  };
  PageRoom add_by_shares(wire::Txn& txn, Commit& c);
  bool pressing(RecordKind kind) const;
  void count_left_out(const Commit& c);
  void see_left_out(Commit& c) const;
  Seconds roster_page_due(std::size_t n) const;
  Seconds progress_page_due(std::size_t n) const;
  int roster_pages_due() const;
  int progress_pages_due() const;
  void add_roster(wire::Txn& txn, Commit& c, int& room, std::size_t& bytes, Due least);
  void add_progress(wire::Txn& txn, Commit& c, int& room, std::size_t& bytes);
  void add_sweeps(wire::Txn& txn, Commit& c, int& room);
  void add_unfolded(wire::Txn& txn, Commit& c, int& room, std::size_t& bytes);
  void rearm();
  bool beaten(const wire::Value& refusal, const Commit& c);
  void look_up(const char* prefix, std::size_t page);
  void failed(Commit& c);
  void malformed(const Commit& c, int ops);
  void committed(const Commit& c, std::uint64_t revision);

  ports::Outbox& out_;
  store::Client& store_;
  Registry& registry_;
  const settings::Settings& settings_;
  Link link_;
  Events events_;
  ProgressCodec codec_;
  std::size_t page_bytes_;  // that a page may have; less once the state service has refused one
  int most_ops_;            // in a transaction; the same
  // Ends to be recorded, by kind: the next one first.
  std::array<std::set<std::pair<Seconds, Ix>>, kEndKinds> ends_;
  // When those that are not recorded were decided, also of those that a transaction under way holds.
  std::array<std::multiset<Seconds>, kEndKinds> unrecorded_since_;
  std::array<std::uint64_t, kEndKinds> recorded_{}, no_room_for_{};
  WriteShares shares_;
  Sheets sheets_;
  std::deque<std::string> sweeps_;
  std::deque<Ix> unfolds_;
  Seconds swept_at_ = 0;
  Pages<Chunk> progress_;
  Pages<Ix> roster_;
  std::set<Ix> joining_;                          // machines to be told of once their page is written
  std::map<Chunk, std::vector<Ended>> awaiting_;  // completed, not persisted
  std::map<Ix, std::vector<std::function<void()>>> close_waiters_;
  bool active_ = false, in_flight_ = false, armed_ = false;
  Seconds armed_at_ = 0, passed_at_ = 0;
  std::uint64_t term_ = 0, commits_ = 0, divided_ = 0, refused_ = 0, looked_up_ = 0;
  Writes writes_;
};

}  // namespace wingtrail::jobs
