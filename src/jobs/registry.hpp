// The jobs that are not over yet, as the leader sees them. Names become dense indices here.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/write_shares.hpp"
#include "ports/outbox.hpp"
#include "settings/settings.hpp"
#include "wire/messages.hpp"

namespace wingtrail::jobs {

using ports::Seconds;
using Ix = std::uint32_t;
inline constexpr Ix kNone = ~Ix{0};

// Text to dense index, for as long as the process lives.
class Names {
 public:
  Ix add(const std::string& name) {
    auto [it, fresh] = map_.try_emplace(name, static_cast<Ix>(list_.size()));
    if (fresh)
      list_.push_back(name);
    return it->second;
  }
  Ix find(const std::string& name) const {
    auto it = map_.find(name);
    return it == map_.end() ? kNone : it->second;
  }
  const std::string& operator[](Ix ix) const {
    return list_[ix];
  }
  std::size_t size() const {
    return list_.size();
  }

 private:
  std::unordered_map<std::string, Ix> map_;
  std::vector<std::string> list_;
};

enum class TaskState : std::uint8_t { pending, placed, done };

struct Task {
  TaskState state = TaskState::pending;
  bool running = false;
  Ix machine = kNone;
  std::uint32_t at = 0;  // where it stands in `pending`
};

struct Job {
  Ix ix = kNone;
  wire::JobSpec spec;
  Ix team = kNone, image = kNone, job_class = kNone, zone = kNone;
  std::vector<Ix> types;      // empty: any
  std::uint64_t created = 0;  // revision of its creation
  bool own_key = true;        // it has a key j/REF; else it is on sheets alone (jobs/sheets.hpp)
  Seconds submitted = 0;      // what its own deadline counts from
  Seconds since = 0;          // what all other times count from: it was submitted, and all it needs is done
  // Set by Chains. A job that waits for others has no part in anything but their ends.
  std::uint32_t unmet = 0;    // jobs that it needs and that are not known to be done
  bool orphan = false;        // one of them is cancelled
  Seconds orphan_since = 0;   // since then, or since it came if that was later
  bool away = false;          // another cell holds it, or may (cells/stays.hpp): nothing of it starts here
  std::uint64_t been = 0;     // cells that it was handed on to, a bit each: it is over there
  bool going = false;         // it would begin sooner there, and goes once there is room: not begun here
  std::string guest;          // the cell that it came from; empty: it is this one's own
  wire::Priority priority{};  // its own, or that of a job that needs it
  Seconds latest = ports::kNever;  // when it must be over for those that need it
  std::vector<Task> tasks;
  std::vector<std::uint32_t> pending;  // task numbers, in no order that matters; the next one last
  std::uint32_t done = 0, running = 0, placed = 0;
  std::vector<std::uint32_t> in_zone;  // placed tasks by zone
  bool aborting = false;               // its user wants it cancelled; its tasks must be gone first
  bool closing = false;                // its final state is being persisted
  bool closed = false;                 // and has been
  bool end_sent = false;               // so it may have been, for all that is known here
  bool intent = false;                 // there is a record that its user wants it cancelled
  wire::Phase final_phase = wire::Phase::queued;
  RecordKind end_kind = RecordKind::completed;  // while it is closing
  Seconds closing_since = 0;                    // when its end was decided
  Seconds record_from = 0;                      // its place among ends of its kind: the earlier go first
  // A task that fails where others succeed points at its machine; one that fails everywhere, at the job.
  std::vector<Ix> failed_on;
  std::uint32_t errors = 0;
  Seconds last_start = 0;
  std::uint32_t lost = 0;  // starts that came to nothing, for whatever cause
  bool ever_ok = false;
  Seconds not_before = 0;
  std::uint64_t gang_attempt = 0;  // what the tasks of a gang that are placed now were started as

  bool service() const {
    return spec.shape == wire::Shape::service;
  }
  bool gang() const {
    return spec.shape == wire::Shape::gang;
  }
  bool open() const {
    return !closing && !closed;
  }
  bool held() const {
    return unmet > 0 || orphan || aborting || away;
  }
  wire::Phase phase() const {
    return running > 0 ? wire::Phase::running : wire::Phase::queued;
  }
};

class Registry {
 public:
  explicit Registry(const settings::Settings& settings);

  Names teams, images, classes, zones, types;

  std::function<void(Job&)> on_pending;  // one of its tasks waits again
  // So many of its tasks came to that zone, or left it if there are less than none.
  std::function<void(const Job&, Ix zone, int tasks)> on_placed;

  Job& add(const wire::JobSpec& spec, std::uint64_t created, Seconds submitted);
  double image_gb(Ix image) const {
    return image < image_gb_.size() ? image_gb_[image] : 0;
  }
  Job* find(const std::string& ref);
  Job* at(Ix ix) {
    return ix < jobs_.size() ? jobs_[ix].get() : nullptr;
  }
  void clear();
  // Frees a job that is over and that no machine holds a task of.
  void drop_if_over(Job& job);
  // A record was read of a job that turns out to have been over; nothing else knows of it yet.
  void forget(const std::string& ref);
  // Those that are not over; for what is done once a second at most.
  template <typename F>
  void each(F f) {
    for (const auto& [ref, ix] : by_ref_)
      f(*jobs_[ix]);
  }
  std::size_t live() const {
    return by_ref_.size();
  }
  std::size_t held() const {
    return static_cast<std::size_t>(std::count_if(by_ref_.begin(), by_ref_.end(),
                                                  [this](const auto& j) { return jobs_[j.second]->held(); }));
  }

  void place(Job& job, std::uint32_t task, Ix machine, Ix zone);
  void set_running(Job& job, std::uint32_t task, bool running);
  void unplace(Job& job, std::uint32_t task, Ix zone);
  void complete(Job& job, std::uint32_t task, Ix zone);  // zone kNone: it was not placed

 private:
  static void wait(Job& job, std::uint32_t task);
  static void wait_no_more(Job& job, std::uint32_t task);

  std::unordered_map<std::string, Ix> by_ref_;
  std::vector<std::unique_ptr<Job>> jobs_;
  std::vector<double> image_gb_;
};

}  // namespace wingtrail::jobs
