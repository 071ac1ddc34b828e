// Which jobs wait for which, and what follows from the end of one. Jobs and ends go in; out come the jobs
// that may start now, those that never can, and the names of those that nothing is known of yet.
//
// A need is met only by an end that is committed: a job that is merely unknown may be live (its creation can
// be seen before that of a job it needs) or over (before this leadership), so it has to be asked about.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/registry.hpp"

namespace wingtrail::jobs {

class Chains {
 public:
  struct End {
    bool done = false;
    Seconds at = 0;  // by the steady clock
  };
  struct Link {
    std::function<std::optional<End>(const std::string&)> ended;  // what is known to be committed
    std::function<Seconds(const Job&)> span;                      // from when it may start until it is over
  };
  Chains(Registry& registry, Link link) : registry_(registry), link_(std::move(link)) {}

  void clear();
  void join(Job& job);                          // it is new to the registry
  void ended(const std::string& ref, End end);  // committed; again does no harm
  bool asks_for(const std::string& ref) const;  // somebody needs it and it is not known here
  // Whether the job may be an orphan for all that is known: something that it needs, directly or through
  // others, is still to be asked about.
  bool undecided(const Job& job) const;
  // Highest priority and earliest finish travel from each job to those that it needs.
  void spread_urgency();

  std::vector<Ix> take_ready() {
    return std::exchange(ready_, {});
  }
  std::vector<Ix> take_orphans() {
    return std::exchange(orphans_, {});
  }
  std::vector<std::string> take_unknown() {
    return std::exchange(unknown_, {});
  }
  std::size_t nodes() const {
    return by_ref_.size();
  }
  std::uint64_t visits() const {
    return visits_;
  }  // for the tests: the work that all this took

 private:
  using N = std::uint32_t;
  struct Node {
    std::string ref;
    Ix job = kNone;  // kNone: not known here
    std::uint64_t created = 0;
    std::vector<N> needs;
    std::set<N> needed_by;
  };
  N node(const std::string& ref, Job* job);
  void release(N n);
  void orphan(N n, Seconds since);
  void changed(N n);

  Registry& registry_;
  Link link_;
  std::unordered_map<std::string, N> by_ref_;  // only jobs that need some or are needed
  std::vector<Node> nodes_;
  std::vector<N> free_;
  // Jobs whose urgency is to be reckoned anew, the youngest first: a job names only jobs that were accepted
  // before it, so everybody that needs a job is done before it, and each is reckoned once.
  std::set<std::pair<std::uint64_t, N>, std::greater<>> changed_;
  std::vector<Ix> ready_, orphans_;
  std::vector<std::string> unknown_;
  std::uint64_t visits_ = 0;
};

}  // namespace wingtrail::jobs
