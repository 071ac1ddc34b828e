// Unit tests of remote placements, checked against a model of which cell may run which job, of the offload
// planner, checked against an exhaustive search, and of the settings for cells.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <fstream>
#include <iterator>
#include <pcg_random.hpp>

#include "cells/offload_planner.hpp"
#include "cells/remote_placements.hpp"
#include "settings/settings.hpp"

namespace wingtrail::cells {
namespace {

// The model of a neighbour: what its state service has recorded of each job, and whether tasks have started.
struct Neighbour {
  enum class State { absent, live, done, cancelled };
  struct Job {
    State state = State::absent;
    bool started = false;
  };
  std::map<std::string, Job> jobs;
  bool accepts_offers = true;

  peer::JobMessage answer(const peer::JobMessage& request) {
    Job& job = jobs[request.ref];
    const auto reply = [&request](JobVerb verb) {
      return peer::JobMessage{request.ref, static_cast<std::uint8_t>(verb), {}, 0, 0};
    };
    if (job.state == State::done)
      return reply(JobVerb::done);
    if (job.state == State::cancelled)
      return reply(JobVerb::cancelled);
    const bool live = job.state == State::live;
    switch (request.verb()) {
      case JobVerb::offer:
        if (!live && !accepts_offers)
          return reply(JobVerb::refused);
        job.state = State::live;
        return reply(JobVerb::held);
      case JobVerb::state:
        return reply(live ? JobVerb::held : JobVerb::unknown);
      case JobVerb::recall:
        if (live && job.started)
          return reply(JobVerb::held);
        [[fallthrough]];
      case JobVerb::cancel:
        job.state = State::cancelled;
        return reply(JobVerb::cancelled);
      default:
        return reply(JobVerb::none);
    }
  }
};

// The model of the origin cell: its state service, whose transactions may get no reply and be applied late,
// and its leader, which may be replaced at any time.
class OriginCell {
 public:
  explicit OriginCell(std::uint64_t seed) : rng_(seed), placements_(names(), kPageBytes) {}

  static std::vector<std::string> names() {
    return {"south", "west"};
  }
  static constexpr std::size_t kPageBytes = 200;  // room for some ten names

  void run() {
    for (int n = 0; n < 40; ++n)
      jobs_["req-" + std::to_string(n)];
    for (int step = 0; step < 4000; ++step) {
      now_ += 0.1;
      faults_enabled_ = step < 2500;
      const std::uint32_t action = rng_(16);
      if (faults_enabled_ && action == 0)
        offload();
      if (faults_enabled_ && action == 1)
        recall();
      if (faults_enabled_ && action == 2 && rng_(12) == 0)
        replace_leader();
      if (faults_enabled_ && action == 3)
        there_[rng_(2)].accepts_offers ^= true;
      // A late transaction may have written a page again after its deletion. The next leader reads that page
      // and asks the neighbour about its jobs.
      if (step == 3000)
        replace_leader();
      write();
      if (step == 2999) {
        for (int n = 0; n < 50; ++n)
          write();
        EXPECT_TRUE(placements_.pages_to_read().empty() && placements_.next_write(1).empty())
            << "pages are still to be read or written after 50 rounds without faults";
      }
      for (std::size_t c = 0; c < 2; ++c)
        send_requests(c);
      run_remote_jobs();
      deliver_late();
      check();
      if (testing::Test::HasFailure())
        return;
    }
    for (const auto& [ref, job] : jobs_) {
      if (job.cancelled && !job.over) {
        EXPECT_EQ(placements_.find(ref), nullptr) << ref << " is cancelled, but no final state was recorded";
      }
    }
    EXPECT_EQ(store_.size(), 0U) << "expected no page when all jobs have returned or ended";
  }
  int offloaded = 0, returned = 0, done = 0, cancelled = 0, leaders = 1, late_writes = 0;

 private:
  struct Job {
    bool over = false, cancelled = false;
  };
  struct PendingTransaction {
    std::vector<RemotePlacements::Page> pages;
    int leader = 0;
  };
  // True once in `n` times on average while faults are enabled.
  bool one_in(int n) {
    return faults_enabled_ && rng_(static_cast<std::uint32_t>(n)) == 0;
  }

  void offload() {
    auto it =
        std::next(jobs_.begin(), static_cast<std::ptrdiff_t>(rng_(static_cast<std::uint32_t>(jobs_.size()))));
    // A job with started tasks is never offloaded. The model starts no tasks in the origin cell.
    if (it->second.over || it->second.cancelled || placements_.find(it->first))
      return;
    placements_.offload(it->first, rng_(2));
    ++offloaded;
  }
  void recall() {
    auto it =
        std::next(jobs_.begin(), static_cast<std::ptrdiff_t>(rng_(static_cast<std::uint32_t>(jobs_.size()))));
    const bool cancel = rng_(4) == 0;
    if (!placements_.find(it->first))
      return;
    it->second.cancelled |= cancel;
    placements_.recall(it->first, cancel, now_);
  }
  void replace_leader() {
    ++leaders;
    ++leader_;
    placements_.clear();
    const auto live = [this](const std::string& ref) {
      return !jobs_[ref].over;
    };
    for (const auto& [key, page] : store_)
      EXPECT_TRUE(placements_.load(key, page.second, page.first, live, now_));
    for (const auto& [ref, job] : jobs_) {
      if (job.cancelled)
        placements_.recall(ref, true, now_);
    }
  }
  // Applies the transaction if its conditions hold, as the state service does.
  bool apply(const PendingTransaction& txn) {
    if (txn.leader != leader_)
      return false;
    for (const auto& page : txn.pages) {
      const auto it = store_.find(page.key);
      if ((it == store_.end() ? 0 : it->second.first) != page.version)
        return false;
    }
    ++revision_;
    for (const auto& page : txn.pages) {
      if (page.refs.empty())
        store_.erase(page.key);
      else
        store_[page.key] = {revision_, page.value()};
    }
    return true;
  }
  void write() {
    if (one_in(3))
      return;
    for (const std::string& key : placements_.pages_to_read())
      placements_.on_page_read(key, store_.contains(key) ? store_[key].first : 0);
    PendingTransaction txn{placements_.next_write(1 + rng_(3)), leader_};
    if (txn.pages.empty())
      return;
    if (one_in(4)) {  // no reply: applied now, late, or never
      const auto fate = rng_(3);
      if (fate == 0)
        (void)apply(txn);
      if (fate == 1)
        late_transactions_.push_back({now_ + 0.1 * rng_(80), txn});
      return placements_.on_write_failed(true);
    }
    if (!apply(txn))
      return placements_.on_write_failed(true);
    for (const std::string& ref : placements_.on_written(revision_))
      returned += !jobs_[ref].over;
  }
  void deliver_late() {
    for (std::size_t i = 0; i < late_transactions_.size();) {
      if (late_transactions_[i].first > now_) {
        ++i;
        continue;
      }
      late_writes += apply(late_transactions_[i].second);
      late_transactions_.erase(late_transactions_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    while (!duplicates_.empty() && duplicates_.begin()->first <= now_) {
      const auto [c, request] = duplicates_.begin()->second;
      duplicates_.erase(duplicates_.begin());
      (void)there_[c].answer(request);
    }
  }
  void send_requests(std::size_t c) {
    for (const peer::JobMessage& request : placements_.next_requests(c, 5, now_)) {
      if (one_in(5))
        duplicates_.emplace(now_ + 0.1 * rng_(300), std::pair(c, request));  // a duplicate, up to 30 s later
      if (one_in(4))
        continue;
      const peer::JobMessage reply = there_[c].answer(request);
      if (one_in(4))
        continue;
      const auto event = placements_.on_reply(c, reply, now_);
      Job& job = jobs_[request.ref];
      if (event == RemotePlacements::Event::none)
        continue;
      EXPECT_FALSE(job.over) << request.ref << " ended twice";
      EXPECT_EQ(event == RemotePlacements::Event::done,
                there_[c].jobs[request.ref].state == Neighbour::State::done);
      ++(event == RemotePlacements::Event::done ? done : cancelled);
      job.over = true;  // the final state is recorded in the origin cell
      placements_.on_job_over(request.ref);
    }
  }
  void run_remote_jobs() {
    for (Neighbour& neighbour : there_) {
      for (auto& [ref, job] : neighbour.jobs) {
        if (job.state != Neighbour::State::live)
          continue;
        if (rng_(40) == 0)
          job.started = true;
        if (job.started && rng_(80) == 0)
          job.state = Neighbour::State::done;
      }
    }
  }
  // At most one cell holds a job: one that the origin's leader may start is live in no other cell.
  void check() {
    for (const auto& [ref, job] : jobs_) {
      int holders = !placements_.find(ref) && !job.over;
      for (Neighbour& neighbour : there_) {
        const auto it = neighbour.jobs.find(ref);
        holders += it != neighbour.jobs.end() && it->second.state == Neighbour::State::live;
      }
      ASSERT_LE(holders, 1) << ref << " has several holders at " << now_ << " s";
      // The same holds for the next leader, which knows only what the pages name.
      bool named = false;
      for (const auto& [key, page] : store_) {
        for (const auto& listed : page.second["refs"])
          named |= listed == ref;
      }
      for (Neighbour& neighbour : there_) {
        const auto it = neighbour.jobs.find(ref);
        const bool live = it != neighbour.jobs.end() && it->second.state == Neighbour::State::live;
        ASSERT_TRUE(!live || named || job.over)
            << ref << " is live in a neighbour, but no page names it at " << now_ << " s";
      }
    }
  }

  pcg32 rng_;
  double now_ = 0;
  bool faults_enabled_ = true;
  int leader_ = 1;
  std::uint64_t revision_ = 0;
  std::map<std::string, Job> jobs_;
  std::map<std::string, std::pair<std::uint64_t, wire::Value>> store_;
  std::deque<std::pair<double, PendingTransaction>> late_transactions_;
  std::multimap<double, std::pair<std::size_t, peer::JobMessage>> duplicates_;
  Neighbour there_[2];
  RemotePlacements placements_;
};

TEST(RemotePlacements, AJobHasAtMostOneHolderDespiteLateWritesLostRepliesAndNewLeaders) {
  int offloaded = 0, returned = 0, done = 0, cancelled = 0, leaders = 0, late_writes = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    OriginCell origin(seed);
    origin.run();
    if (HasFailure())
      return;
    offloaded += origin.offloaded, returned += origin.returned, done += origin.done;
    cancelled += origin.cancelled, leaders += origin.leaders, late_writes += origin.late_writes;
  }
  // Each kind of event must have occurred often.
  EXPECT_GT(offloaded, 2000);
  EXPECT_GT(returned, 500);
  EXPECT_GT(done, 300);
  EXPECT_GT(cancelled, 50);
  EXPECT_GT(leaders, 300);
  EXPECT_GT(late_writes, 30);
}

TEST(RemotePlacements, OnePageNamesManyJobs) {
  RemotePlacements placements({"south"}, 6000);
  for (int n = 0; n < 200; ++n)
    placements.offload("req-" + std::to_string(100000 + n), 0);
  const auto pages = placements.next_write(12);
  ASSERT_EQ(pages.size(), 1U);
  EXPECT_EQ(pages[0].refs.size(), 200U);
  EXPECT_LT(pages[0].value().dump().size(), 6000U);
  EXPECT_TRUE(placements.next_requests(0, 500, 100).empty())
      << "an offer was sent before its page was written";
  EXPECT_TRUE(placements.on_written(7).empty());
  EXPECT_EQ(placements.next_requests(0, 500, 100).size(), 200U);
}

TEST(RemotePlacements, AFullPageIsFollowedByAnother) {
  RemotePlacements placements({"south"}, 400);
  for (int n = 0; n < 100; ++n)
    placements.offload("req-" + std::to_string(100000 + n), 0);
  std::set<std::string> keys;
  for (const auto& page : placements.next_write(100)) {
    keys.insert(page.key);
    EXPECT_LE(page.value().dump().size(), 400U);
  }
  EXPECT_GT(keys.size(), 3U);
}

TEST(RemotePlacements, JobsOfAPageThatTheStateServiceRefusesRemainInTheOriginCell) {
  RemotePlacements placements({"south"}, 6000);
  for (int n = 0; n < 100; ++n)
    placements.offload("req-" + std::to_string(100000 + n), 0);
  ASSERT_EQ(placements.next_write(1).size(), 1U);
  EXPECT_EQ(placements.on_write_refused().size(), 100U);
  EXPECT_EQ(placements.size(), 0U);
  EXPECT_TRUE(placements.next_write(1).empty());
  for (int n = 0; n < 400; ++n)
    placements.offload("req-" + std::to_string(100000 + n), 0);
  for (const auto& page : placements.next_write(100))
    EXPECT_LE(page.value().dump().size(), 3000U);
}

TEST(RemotePlacements, JobsOfADecommissionedNeighbourReturn) {
  RemotePlacements placements({"south"}, 6000);
  placements.offload("req-1", 0);
  (void)placements.next_write(1);
  (void)placements.on_written(3);
  placements.abandon_cell(0);
  ASSERT_EQ(placements.next_write(1).size(), 1U);
  EXPECT_EQ(placements.on_written(4), std::vector<std::string>{"req-1"});
  EXPECT_EQ(placements.size(), 0U);
}

TEST(RemotePlacements, JobsHeldByACellThatTheSettingsNoLongerNameRemainRemote) {
  RemotePlacements placements({"south"}, 6000);
  const wire::Value page{{"cell", "north"}, {"refs", {"req-1", "req-2"}}};
  EXPECT_TRUE(placements.load(
      "j/away/north/1", page, 9, [](const std::string& ref) { return ref == "req-1"; }, 0));
  EXPECT_NE(placements.find("req-1"), nullptr);
  EXPECT_EQ(placements.find("req-2"), nullptr) << "a job with a final state was loaded";
  EXPECT_TRUE(placements.next_requests(0, 10, 100).empty());
  EXPECT_FALSE(placements.load(
      "j/away/north/x", page, 9, [](const std::string&) { return true; }, 0));
}

// The requests that were due for the first page's cell were looked up after the job was over, which ended the
// leader.
TEST(RemotePlacements, AJobNamedByTwoPagesIsRequestedOfOneCell) {
  RemotePlacements placements({"south", "north"}, 6000);
  const auto live = [](const std::string&) {
    return true;
  };
  EXPECT_TRUE(
      placements.load("j/away/south/1", {{"cell", "south"}, {"refs", {"req-1", "req-1"}}}, 8, live, 0));
  EXPECT_TRUE(placements.load("j/away/north/2", {{"cell", "north"}, {"refs", {"req-1"}}}, 9, live, 1));
  EXPECT_EQ(placements.next_requests(1, 10, 5).size(), 1U);
  placements.on_job_over("req-1");
  EXPECT_TRUE(placements.next_requests(0, 10, 100).empty());
  EXPECT_TRUE(placements.next_requests(1, 10, 100).empty());
}

// The jobs behind a malformed item counted as jobs of this cell, and could start in two cells.
TEST(RemotePlacements, JobsBehindAMalformedItemRemainRemote) {
  RemotePlacements placements({"south"}, 6000);
  const wire::Value page{{"cell", "south"}, {"refs", {"req-1", 7, "req-2"}}};
  EXPECT_FALSE(placements.load(
      "j/away/south/1", page, 9, [](const std::string&) { return true; }, 0));
  EXPECT_NE(placements.find("req-1"), nullptr);
  EXPECT_NE(placements.find("req-2"), nullptr);
}

// ---------------------------------------------------------------- the planner

NeighbourCapacity accepting(double cores, Seconds wait_s) {
  return {true, cores, wait_s, 0.5, {{"red", 1e9}}};
}
WaitingJob job(double cores, double run_s) {
  return {"red", cores, cores * run_s, 0.2, {true, true}};
}

TEST(OffloadPlanner, JobsThatWouldStartSoonerInANeighbourAreOffloaded) {
  LocalCapacity here{10, {}, ports::kNever, false};
  std::vector<WaitingJob> waiting(6, job(10, 10));  // each needs all local cores for 10 s
  const auto offloads = plan_offloads(here, waiting, {accepting(1000, 0), accepting(1000, 0)}, 100).offloads;
  ASSERT_EQ(offloads.size(), 5U) << "expected all but the first, which starts here at once";
  EXPECT_EQ(offloads[0].waiting, 1U);
}

TEST(OffloadPlanner, JobsThatWouldWaitAsLongInTheNeighbourRemain) {
  LocalCapacity here{10, {}, ports::kNever, false};
  std::vector<WaitingJob> waiting(3, job(10, 10));
  EXPECT_TRUE(plan_offloads(here, waiting, {accepting(1000, 60)}, 100).offloads.empty());
  EXPECT_TRUE(plan_offloads(here, waiting, {NeighbourCapacity{}}, 100).offloads.empty())
      << "offloaded to an unreachable neighbour";
  here.boot_s = 2;
  EXPECT_TRUE(plan_offloads(here, waiting, {accepting(1000, 0)}, 100).offloads.empty())
      << "offloaded although a local machine boots as soon";
}

TEST(OffloadPlanner, RespectsAcceptedCoresAndQuotas) {
  LocalCapacity here{1, {}, ports::kNever, false};
  std::vector<WaitingJob> waiting(50, job(10, 10));
  EXPECT_EQ(plan_offloads(here, waiting, {accepting(95, 0)}, 100).offloads.size(), 10U)
      << "expected nine whole jobs and one that starts with the rest";
  EXPECT_TRUE(plan_offloads(here, waiting, {accepting(3, 0)}, 100).offloads.empty())
      << "offloaded a job of more than three times the accepted cores";
  EXPECT_EQ(plan_offloads(here, waiting, {accepting(95, 0)}, 100).soon.size(), 39U)
      << "expected the remaining 40 jobs except the first, which starts here";
  NeighbourCapacity limited = accepting(1000, 0);
  limited.teams["red"] = 30;
  EXPECT_EQ(plan_offloads(here, waiting, {limited}, 100).offloads.size(), 3U);
  EXPECT_EQ(plan_offloads(here, waiting, {accepting(1000, 0)}, 4).offloads.size(), 4U);
  limited.teams.clear();
  EXPECT_TRUE(plan_offloads(here, waiting, {limited}, 100).offloads.empty())
      << "offloaded to a cell without the team";
}

TEST(OffloadPlanner, JobsThatWaitForTheirTeamsQuotaAreOffloaded) {
  LocalCapacity here{1000, {{"red", 10}}, 1, false};
  std::vector<WaitingJob> waiting(4, job(10, 20));
  EXPECT_EQ(plan_offloads(here, waiting, {accepting(1000, 0)}, 100).offloads.size(), 3U);
}

TEST(OffloadPlanner, ADrainingCellOffloadsAllJobsThatMayBe) {
  LocalCapacity here{1000, {}, 0, true};
  std::vector<WaitingJob> waiting(4, job(10, 20));
  waiting[2].may_offload.clear();
  EXPECT_EQ(plan_offloads(here, waiting, {accepting(1000, 5)}, 100).offloads.size(), 3U);
  EXPECT_EQ(plan_offloads(here, waiting, {accepting(0, 500)}, 100).offloads.size(), 3U)
      << "expected offloads even to a neighbour without free cores";
}

TEST(OffloadPlanner, AcceptsForeignJobsForFreeThenForRentableCores) {
  EXPECT_EQ(acceptable_foreign_cores({100, 800, 30, 20, 0, false, false}), 50);
  EXPECT_EQ(acceptable_foreign_cores({100, 800, 80, 30, 0, false, false}), 70)
      << "expected a tenth of the rentable cores, less the 10 that are short";
  EXPECT_EQ(acceptable_foreign_cores({100, 80000, 400, 30, 2000, false, false}), 7870);
  EXPECT_EQ(acceptable_foreign_cores({100, 800, 400, 30, 2000, false, false}), 370)
      << "expected a quarter of the cell's cores, less the 130 that are short";
  EXPECT_EQ(acceptable_foreign_cores({100, 0, 80, 30, 0, false, false}), 0);
  EXPECT_EQ(acceptable_foreign_cores({0, 0, 0, 20, 1000, false, false}), 80)
      << "expected a queue of a tenth of the cores, less the 20 that wait";
  EXPECT_EQ(acceptable_foreign_cores({0, 0, 150, 0, 1000, false, false}), 0)
      << "expected none while own work fills that queue";
  EXPECT_EQ(acceptable_foreign_cores({100, 800, 0, 0, 0, true, false}), 0) << "expected none while draining";
  EXPECT_EQ(acceptable_foreign_cores({100, 800, 0, 0, 0, false, true}), 0)
      << "expected none while overloaded";
}

// The order in which a random job's properties are drawn.
enum class DrawOrder : std::uint8_t { run_time_first, resources_first };

WaitingJob random_job(pcg32& rng, DrawOrder order) {
  if (order == DrawOrder::run_time_first) {
    const double run_time = 5.0 + rng(60);
    return job(2.0 + rng(8), run_time);
  }
  const double resources = 2.0 + rng(8);
  return job(resources, 5.0 + rng(60));
}

// Compares the plan with all ways to divide a few jobs between two cells that serve them one after the other.
// The sum of the start times must be clearly below the sum without offloading, and near that of the best
// division.
void compare_with_all_divisions(DrawOrder order) {
  pcg32 rng(7);
  double planned_total = 0, best_total = 0, local_total = 0;
  for (int round = 0; round < 300; ++round) {
    const std::size_t n = 3 + rng(5);
    LocalCapacity here{10.0 + rng(30), {}, ports::kNever, false};
    const double there_cores = 10.0 + rng(30);
    std::vector<WaitingJob> waiting;
    for (std::size_t i = 0; i < n; ++i)
      waiting.push_back(random_job(rng, order));
    const auto cost = [&](std::uint32_t offloaded) {
      double ahead_here = 0, ahead_there = 0, sum = 0;
      for (std::size_t i = 0; i < n; ++i) {
        const bool remote = (offloaded >> i & 1U) != 0;
        double& ahead = remote ? ahead_there : ahead_here;
        sum += ahead / (remote ? there_cores : here.cores) + (remote ? 2.2 : 0);
        ahead += waiting[i].core_seconds;
      }
      return sum;
    };
    double best = 1e18;
    for (std::uint32_t offloaded = 0; offloaded < 1U << n; ++offloaded)
      best = std::min(best, cost(offloaded));
    // A neighbour accepts its free cores anew with each digest, once a second. Here there is one plan for all
    // jobs.
    std::uint32_t offloaded = 0;
    const double accepted_cores = there_cores;
    for (const Offload& offload : plan_offloads(here, waiting, {accepting(accepted_cores, 0)}, 100).offloads)
      offloaded |= 1U << offload.waiting;
    planned_total += cost(offloaded), best_total += best, local_total += cost(0);
    EXPECT_LE(cost(offloaded), cost(0) * 1.5 + 5);
  }
  EXPECT_LT(planned_total, local_total * 0.75);
  EXPECT_LT(planned_total, best_total * 1.6);
}

TEST(OffloadPlanner, TotalWaitIsNearThatOfTheBestDivision) {
  compare_with_all_divisions(DrawOrder::run_time_first);
}

TEST(OffloadPlanner, TotalWaitIsNearThatOfTheBestDivisionWithOtherJobs) {
  compare_with_all_divisions(DrawOrder::resources_first);
}

// ---------------------------------------------------------------- settings

std::string toml() {
  return "node_name = \"n0\"\narea = \"z0\"\nclient_listen = \"127.0.0.1:1\"\npeer_listen = \"127.0.0.1:2\"\n"
         "[external]\ncloud = \"127.0.0.1:3\"\nstate = \"127.0.0.1:4\"\n[params]\nsize = 1\nzones = "
         "[\"z0\"]\n"
         "[params.workers]\nreport_s = 5.0\nlease_s = 27.0\ncancel_s = 47.0\n[params.state]\nrps = 150.0\n"
         "write_rps = 35.0\nvalue_kb = 8.0\ntxn_ops = 12\n[params.cloud]\nrps = 9.0\nlist_lag_s = 5.0\n"
         "[params.limits]\nmax_connections = 1000\n";
}

TEST(CellSettings, AllFieldsAreRead) {
  const auto loaded = settings::parse(
      toml(),
      "cells:\n  name: north\n  neighbours:\n    south: [\"10.0.0.1:8081\", \"10.0.0.2:8081\"]\n"
      "  most_away: 40\n  drain: true\n  gone: [south]\n");
  EXPECT_EQ(loaded.problems, std::vector<std::string>{});
  const settings::Cells& cells = loaded.settings.cells;
  EXPECT_TRUE(cells.enabled());
  EXPECT_EQ(cells.name, "north");
  ASSERT_EQ(cells.neighbours.size(), 1U);
  EXPECT_EQ(cells.neighbours[0].nodes[1].text(), "10.0.0.2:8081");
  EXPECT_EQ(cells.max_remote_jobs, 40);
  EXPECT_TRUE(cells.drain);
  EXPECT_FALSE(settings::parse(toml(), "").settings.cells.enabled());
}

TEST(CellSettings, TheExampleIsValidAndTheDeployedSettingsHaveNoCells) {
  const auto text = [](const char* name) {
    std::ifstream in(std::string(WINGTRAIL_DEPLOY) + "/" + name);
    return std::string(std::istreambuf_iterator<char>(in), {});
  };
  const auto example = settings::parse(toml(), text("cells.yaml"));
  EXPECT_EQ(example.problems, std::vector<std::string>{});
  EXPECT_TRUE(example.settings.cells.enabled());
  const auto run = settings::parse(toml(), text("tunables.yaml"));
  EXPECT_EQ(run.problems, std::vector<std::string>{});
  EXPECT_FALSE(run.settings.cells.enabled());
}

TEST(CellSettings, EachProblemNamesItsField) {
  const auto problems = [](const std::string& yaml) {
    return settings::parse(toml(), yaml).problems;
  };
  const auto one = [&](const std::string& yaml) {
    const auto p = problems(yaml);
    EXPECT_EQ(p.size(), 1U);
    return p.empty() ? std::string() : p[0];
  };
  EXPECT_EQ(one("cells: 3\n"), "tunables.cells: expected a map");
  EXPECT_EQ(one("cells: {neighbours: {s: [\"1.2.3.4:5\"]}}\n"),
            "tunables.cells.name: expected the name of this cell");
  EXPECT_EQ(problems("cells: {name: n, neighbours: {s: [\"1.2.3.4\", \"1.2.3.4:5\"]}}\n"),
            std::vector<std::string>{"tunables.cells.neighbours.s: expected a list of IPV4:PORT"});
  EXPECT_EQ(one("cells: {name: n, neighbours: {n: [\"1.2.3.4:5\"]}}\n"),
            "tunables.cells.neighbours: expected other cells, found \"n\" itself");
  EXPECT_EQ(one("cells: {name: n, gone: [s]}\n"),
            "tunables.cells.gone: expected names of neighbours, found \"s\"");
  EXPECT_EQ(one("cells: {name: n, most_away: -1}\n"),
            "tunables.cells.most_away: expected a whole number from 0 to 100000");
  EXPECT_EQ(one("cells: {name: n, drian: true}\n"), "tunables.cells.drian: unknown name");
}

}  // namespace
}  // namespace wingtrail::cells
