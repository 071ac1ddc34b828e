// The home's account of jobs that another cell holds, or is asked to. Each step that changes the holder is
// persisted here before it counts: a job is *away* from when a page that names it is written, and home again
// from when one without it is, after the other cell has recorded that it never runs there again. In between
// nothing of it starts here (docs/cells.md has the table of states and messages).
//
// Pages: j/away/CELL/N, each the names of many jobs, since the state service counts changes. Only the leader
// writes them, on condition that it still leads and that the page is the one it knows: a transaction without
// an answer may be carried out after newer ones, and an older page in place of a newer one would give jobs
// back that are held elsewhere.
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
inline bool is_remote_placement_key(std::string_view key) {
  return key.starts_with(kRemotePlacementPrefix);
}

class RemotePlacements {
 public:
  enum class State : std::uint8_t {
    leaving,    // the page that names it is being written
    offered,    // it may be held there, for all that is known
    remote,     // it is held there
    recalling,  // it is to come back, or to end there
    returning,  // it never runs there again; the page without it is being written
    ended,      // it is over there; its end is being recorded here
  };
  enum class Event : std::uint8_t { none, done, withdrawn };
  struct RemotePlacement {
    std::size_t cell = 0, page = 0;
    State state = State::leaving;
    bool cancel = false;  // its user wants it cancelled
    Seconds ask_at = 0;   // when it is asked about next
    std::uint32_t done = 0, running = 0;
  };

  // `cells`: names, in the order in which neighbours are numbered. `page_bytes`: that a page may have.
  RemotePlacements(std::vector<std::string> cells, std::size_t page_bytes)
      : cells_(std::move(cells)), page_bytes_(page_bytes), questions_due_(cells_.size()) {}

  void clear();
  // What an earlier leadership persisted; `live`: whether the job is not over. False: the page makes no
  // sense.
  bool load(const std::string& key, const wire::Value& value, std::uint64_t version,
            const std::function<bool(const std::string&)>& live, Seconds now);

  // Hands the job on. The caller sees to it that nothing of it has started, or will.
  void offload(const std::string& ref, std::size_t cell);
  // It is to come back, if nothing of it has started there, or, with `cancel`, to end there.
  void recall(const std::string& ref, bool cancel, Seconds now);
  // Its end is recorded here.
  void on_job_over(const std::string& ref);
  // The neighbour never comes back, on its operators' word: what it held is home again.
  void abandon_cell(std::size_t cell);

  // ---- what is persisted; one write is under way at a time
  struct Page {
    std::string key, cell;
    std::vector<std::string> refs;  // empty: the page goes
    std::uint64_t version = 0;      // that it must have; 0: there must be none
    wire::Value value() const;
  };
  std::vector<Page> next_write(std::size_t most);
  // As of that revision. Returns the jobs that are home again.
  std::vector<std::string> on_written(std::uint64_t revision);
  // It was not applied or, if `unsure`, may have been or may yet be: then its pages are looked at before they
  // are written again.
  void on_write_failed(bool unsure);
  // It never will be: its pages are too large for the state service. Who was to go is home again.
  std::vector<std::string> on_write_refused();
  bool writing() const {
    return !pending_writes_.empty();
  }
  std::vector<std::string> pages_to_read() const;                    // keys of pages
  void on_page_read(const std::string& key, std::uint64_t version);  // 0: it is not there

  // ---- what is said
  // What is to be asked of that cell now, and is not being asked; the answer, or that there is none, is told
  // by heard() for each.
  std::vector<peer::JobMessage> next_questions(std::size_t cell, std::size_t most, Seconds now);
  Event on_reply(std::size_t cell, const peer::JobMessage& said, Seconds now);

  const RemotePlacement* find(const std::string& ref) const;
  std::size_t size() const {
    return placements_.size();
  }
  std::size_t count_at(std::size_t cell) const;  // that are away there, or on their way
  // Jobs that are held there with nothing running; for what is done once a second at most.
  std::vector<std::string> idle_jobs(std::size_t cell, std::size_t most) const;

 private:
  struct PageState {
    std::size_t cell = 0, number = 0, bytes = 0;
    std::set<std::string> refs;  // that it is to name
    std::uint64_t version = 0;   // as far as it is known
    bool unsure = false;
    std::vector<std::string> returning;  // no longer among them
  };
  std::string key(const PageState& s) const;
  void ask_later(const std::string& ref, RemotePlacement& stay, Seconds at);
  void stop_asking(const std::string& ref, const RemotePlacement& stay);
  void on_page_settled(std::size_t page);
  void return_home(const std::string& ref, RemotePlacement& stay);
  void mark_due(std::size_t page);

  std::vector<std::string> cells_;
  std::size_t page_bytes_;
  std::unordered_map<std::string, RemotePlacement> placements_;
  std::vector<std::set<std::pair<Seconds, std::string>>> questions_due_;  // by cell
  std::map<std::size_t, PageState> pages_;
  std::set<std::size_t> pages_due_;
  struct PendingWrite {
    std::size_t page;
    std::vector<std::string> named, returning;
  };
  std::vector<PendingWrite> pending_writes_;
  std::map<std::size_t, std::size_t> open_page_by_cell_;  // by cell: the page that takes more
  std::size_t last_page_ = 0;
};

}  // namespace wingtrail::cells
