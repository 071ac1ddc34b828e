// Jobs that other cells hold: the home's account of them against a plain model of what may run where, and the
// planner against a plain reference.
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

// A neighbour as far as its state service goes: what is recorded of each job, and whether tasks have begun.
struct Neighbour {
  enum class State { absent, live, done, cancelled };
  struct Job {
    State state = State::absent;
    bool begun = false;
  };
  std::map<std::string, Job> jobs;
  bool takes = true;

  peer::JobMessage answer(const peer::JobMessage& asked) {
    Job& job = jobs[asked.ref];
    const auto say = [&asked](JobVerb w) {
      return peer::JobMessage{asked.ref, static_cast<std::uint8_t>(w), {}, 0, 0};
    };
    if (job.state == State::done)
      return say(JobVerb::done);
    if (job.state == State::cancelled)
      return say(JobVerb::cancelled);
    const bool live = job.state == State::live;
    switch (asked.verb()) {
      case JobVerb::offer:
        if (!live && !takes)
          return say(JobVerb::refused);
        job.state = State::live;
        return say(JobVerb::held);
      case JobVerb::state:
        return say(live ? JobVerb::held : JobVerb::unknown);
      case JobVerb::recall:
        if (live && job.begun)
          return say(JobVerb::held);
        [[fallthrough]];
      case JobVerb::cancel:
        job.state = State::cancelled;
        return say(JobVerb::cancelled);
      default:
        return say(JobVerb::none);
    }
  }
};

// The home: its state service, whose transactions may get no answer and be carried out late, and its leader,
// which may end at any time.
class Home {
 public:
  explicit Home(std::uint64_t seed) : rng_(seed), stays_(names(), kPage) {}

  static std::vector<std::string> names() {
    return {"south", "west"};
  }
  static constexpr std::size_t kPage = 200;  // some ten names

  void play() {
    for (int n = 0; n < 40; ++n)
      jobs_["req-" + std::to_string(n)];
    for (int step = 0; step < 4000; ++step) {
      now_ += 0.1;
      troubled_ = step < 2500;
      const std::uint32_t what = rng_(16);
      if (troubled_ && what == 0)
        leave();
      if (troubled_ && what == 1)
        recall();
      if (troubled_ && what == 2 && rng_(12) == 0)
        end_leader();
      if (troubled_ && what == 3)
        there_[rng_(2)].takes ^= true;
      // A page that was written late, after it had gone, is found by the next leader, who asks about its
      // jobs.
      if (step == 3000)
        end_leader();
      write();
      if (step == 2999) {
        for (int n = 0; n < 50; ++n)
          write();
        EXPECT_TRUE(stays_.pages_to_read().empty() && stays_.next_write(1).empty())
            << "a page that cannot be written";
      }
      for (std::size_t c = 0; c < 2; ++c)
        ask(c);
      run_elsewhere();
      late();
      check();
      if (testing::Test::HasFailure())
        return;
    }
    for (const auto& [ref, job] : jobs_) {
      if (job.cancelled && !job.over) {
        EXPECT_EQ(stays_.find(ref), nullptr) << ref << " is cancelled, and nobody knows";
      }
    }
    EXPECT_EQ(store_.size(), 0U) << "pages that nobody needs stay";
  }
  int handed_on = 0, back = 0, done = 0, withdrawn = 0, leaders = 1, old_pages = 0;

 private:
  struct Job {
    bool over = false, cancelled = false;
  };
  struct Stored {
    std::vector<RemotePlacements::Page> pages;
    int leader = 0;
  };
  bool odds(int of) {
    return troubled_ && rng_(static_cast<std::uint32_t>(of)) == 0;
  }

  void leave() {
    auto it =
        std::next(jobs_.begin(), static_cast<std::ptrdiff_t>(rng_(static_cast<std::uint32_t>(jobs_.size()))));
    // What runs at home is not handed on; here nothing ever does for long.
    if (it->second.over || it->second.cancelled || stays_.find(it->first))
      return;
    stays_.offload(it->first, rng_(2));
    ++handed_on;
  }
  void recall() {
    auto it =
        std::next(jobs_.begin(), static_cast<std::ptrdiff_t>(rng_(static_cast<std::uint32_t>(jobs_.size()))));
    const bool cancel = rng_(4) == 0;
    if (!stays_.find(it->first))
      return;
    it->second.cancelled |= cancel;
    stays_.recall(it->first, cancel, now_);
  }
  void end_leader() {
    ++leaders;
    ++leader_;
    stays_.clear();
    const auto live = [this](const std::string& ref) {
      return !jobs_[ref].over;
    };
    for (const auto& [key, page] : store_)
      EXPECT_TRUE(stays_.load(key, page.second, page.first, live, now_));
    for (const auto& [ref, job] : jobs_) {
      if (job.cancelled)
        stays_.recall(ref, true, now_);
    }
  }
  // Compares and applies, as the state service does.
  bool apply(const Stored& txn) {
    if (txn.leader != leader_)
      return false;
    for (const auto& p : txn.pages) {
      const auto it = store_.find(p.key);
      if ((it == store_.end() ? 0 : it->second.first) != p.version)
        return false;
    }
    ++revision_;
    for (const auto& p : txn.pages) {
      if (p.refs.empty())
        store_.erase(p.key);
      else
        store_[p.key] = {revision_, p.value()};
    }
    return true;
  }
  void write() {
    if (odds(3))
      return;
    for (const std::string& key : stays_.pages_to_read())
      stays_.on_page_read(key, store_.contains(key) ? store_[key].first : 0);
    Stored txn{stays_.next_write(1 + rng_(3)), leader_};
    if (txn.pages.empty())
      return;
    if (odds(4)) {  // no answer: carried out now, late, or never
      const auto fate = rng_(3);
      if (fate == 0)
        (void)apply(txn);
      if (fate == 1)
        late_.push_back({now_ + 0.1 * rng_(80), txn});
      return stays_.on_write_failed(true);
    }
    if (!apply(txn))
      return stays_.on_write_failed(true);
    for (const std::string& ref : stays_.on_written(revision_))
      back += !jobs_[ref].over;
  }
  void late() {
    for (std::size_t i = 0; i < late_.size();) {
      if (late_[i].first > now_) {
        ++i;
        continue;
      }
      old_pages += apply(late_[i].second);
      late_.erase(late_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      const auto [c, word] = messages_.begin()->second;
      messages_.erase(messages_.begin());
      (void)there_[c].answer(word);
    }
  }
  void ask(std::size_t c) {
    for (const peer::JobMessage& w : stays_.next_requests(c, 5, now_)) {
      if (odds(5))
        messages_.emplace(now_ + 0.1 * rng_(300), std::pair(c, w));  // once more, much later
      if (odds(4))
        continue;
      const peer::JobMessage said = there_[c].answer(w);
      if (odds(4))
        continue;
      const auto event = stays_.on_reply(c, said, now_);
      Job& job = jobs_[w.ref];
      if (event == RemotePlacements::Event::none)
        continue;
      EXPECT_FALSE(job.over) << w.ref << " ends twice";
      EXPECT_EQ(event == RemotePlacements::Event::done,
                there_[c].jobs[w.ref].state == Neighbour::State::done);
      ++(event == RemotePlacements::Event::done ? done : withdrawn);
      job.over = true;  // recorded at home, and told
      stays_.on_job_over(w.ref);
    }
  }
  void run_elsewhere() {
    for (Neighbour& n : there_) {
      for (auto& [ref, job] : n.jobs) {
        if (job.state != Neighbour::State::live)
          continue;
        if (rng_(40) == 0)
          job.begun = true;
        if (job.begun && rng_(80) == 0)
          job.state = Neighbour::State::done;
      }
    }
  }
  // One holder at most: what the home's leader takes for its own is live nowhere else.
  void check() {
    for (const auto& [ref, job] : jobs_) {
      int holders = !stays_.find(ref) && !job.over;
      for (Neighbour& n : there_) {
        const auto it = n.jobs.find(ref);
        holders += it != n.jobs.end() && it->second.state == Neighbour::State::live;
      }
      ASSERT_LE(holders, 1) << ref << " at " << now_;
      // And so it is for any leader to come: it knows what the pages say.
      bool named = false;
      for (const auto& [key, page] : store_) {
        for (const auto& r : page.second["refs"])
          named |= r == ref;
      }
      for (Neighbour& n : there_) {
        const auto it = n.jobs.find(ref);
        const bool live = it != n.jobs.end() && it->second.state == Neighbour::State::live;
        ASSERT_TRUE(!live || named || job.over) << ref << " would start here under the next leader, " << now_;
      }
    }
  }

  pcg32 rng_;
  double now_ = 0;
  bool troubled_ = true;
  int leader_ = 1;
  std::uint64_t revision_ = 0;
  std::map<std::string, Job> jobs_;
  std::map<std::string, std::pair<std::uint64_t, wire::Value>> store_;
  std::deque<std::pair<double, Stored>> late_;
  std::multimap<double, std::pair<std::size_t, peer::JobMessage>> messages_;
  Neighbour there_[2];
  RemotePlacements stays_;
};

TEST(RemotePlacements, OneHolderAtMostWhateverIsLostLateOrNew) {
  int handed_on = 0, back = 0, done = 0, withdrawn = 0, leaders = 0, old_pages = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Home home(seed);
    home.play();
    if (HasFailure())
      return;
    handed_on += home.handed_on, back += home.back, done += home.done, withdrawn += home.withdrawn;
    leaders += home.leaders, old_pages += home.old_pages;
  }
  // The runs must have come to what they are for.
  EXPECT_GT(handed_on, 2000);
  EXPECT_GT(back, 500);
  EXPECT_GT(done, 300);
  EXPECT_GT(withdrawn, 50);
  EXPECT_GT(leaders, 300);
  EXPECT_GT(old_pages, 30);
}

TEST(RemotePlacements, ManyJobsGoWithOneChange) {
  RemotePlacements stays({"south"}, 6000);
  for (int n = 0; n < 200; ++n)
    stays.offload("req-" + std::to_string(100000 + n), 0);
  const auto pages = stays.next_write(12);
  ASSERT_EQ(pages.size(), 1U);
  EXPECT_EQ(pages[0].refs.size(), 200U);
  EXPECT_LT(pages[0].value().dump().size(), 6000U);
  EXPECT_TRUE(stays.next_requests(0, 500, 100).empty()) << "nothing is said before it is written";
  EXPECT_TRUE(stays.on_written(7).empty());
  EXPECT_EQ(stays.next_requests(0, 500, 100).size(), 200U);
}

TEST(RemotePlacements, APageThatIsFullIsFollowedByAnother) {
  RemotePlacements stays({"south"}, 400);
  for (int n = 0; n < 100; ++n)
    stays.offload("req-" + std::to_string(100000 + n), 0);
  std::set<std::string> keys;
  for (const auto& p : stays.next_write(100)) {
    keys.insert(p.key);
    EXPECT_LE(p.value().dump().size(), 400U);
  }
  EXPECT_GT(keys.size(), 3U);
}

TEST(RemotePlacements, WhatTheStateServiceCallsTooLargeStaysHome) {
  RemotePlacements stays({"south"}, 6000);
  for (int n = 0; n < 100; ++n)
    stays.offload("req-" + std::to_string(100000 + n), 0);
  ASSERT_EQ(stays.next_write(1).size(), 1U);
  EXPECT_EQ(stays.on_write_refused().size(), 100U);
  EXPECT_EQ(stays.size(), 0U);
  EXPECT_TRUE(stays.next_write(1).empty());
  for (int n = 0; n < 400; ++n)
    stays.offload("req-" + std::to_string(100000 + n), 0);
  for (const auto& page : stays.next_write(100))
    EXPECT_LE(page.value().dump().size(), 3000U);
}

TEST(RemotePlacements, ANeighbourThatIsGoneForGoodGivesEverythingBack) {
  RemotePlacements stays({"south"}, 6000);
  stays.offload("req-1", 0);
  (void)stays.next_write(1);
  (void)stays.on_written(3);
  stays.abandon_cell(0);
  ASSERT_EQ(stays.next_write(1).size(), 1U);
  EXPECT_EQ(stays.on_written(4), std::vector<std::string>{"req-1"});
  EXPECT_EQ(stays.size(), 0U);
}

TEST(RemotePlacements, WhatACellHoldsThatIsNoLongerNamedStaysAway) {
  RemotePlacements stays({"south"}, 6000);
  const wire::Value page{{"cell", "north"}, {"refs", {"req-1", "req-2"}}};
  EXPECT_TRUE(stays.load(
      "j/away/north/1", page, 9, [](const std::string& r) { return r == "req-1"; }, 0));
  EXPECT_NE(stays.find("req-1"), nullptr);
  EXPECT_EQ(stays.find("req-2"), nullptr) << "it is over";
  EXPECT_TRUE(stays.next_requests(0, 10, 100).empty());
  EXPECT_FALSE(stays.load(
      "j/away/north/x", page, 9, [](const std::string&) { return true; }, 0));
}

// ---------------------------------------------------------------- the planner

NeighbourCapacity open(double takes, Seconds wait) {
  return {true, takes, wait, 0.5, {{"red", 1e9}}};
}
WaitingJob job(double cores, double run_s) {
  return {"red", cores, cores * run_s, 0.2, {true, true}};
}

TEST(OffloadPlanner, WhatWouldBeginSoonerElsewhereGoes) {
  LocalCapacity here{10, {}, ports::kNever, false};
  std::vector<WaitingJob> waiting(6, job(10, 10));  // each takes 10 s of all that there is
  const auto spills = plan_offloads(here, waiting, {open(1000, 0), open(1000, 0)}, 100).offloads;
  ASSERT_EQ(spills.size(), 5U) << "the first begins at once";
  EXPECT_EQ(spills[0].waiting, 1U);
}

TEST(OffloadPlanner, NothingGoesWhereItWouldWaitAsLong) {
  LocalCapacity here{10, {}, ports::kNever, false};
  std::vector<WaitingJob> waiting(3, job(10, 10));
  EXPECT_TRUE(plan_offloads(here, waiting, {open(1000, 60)}, 100).offloads.empty());
  EXPECT_TRUE(plan_offloads(here, waiting, {NeighbourCapacity{}}, 100).offloads.empty()) << "not heard of";
  here.boot_s = 2;
  EXPECT_TRUE(plan_offloads(here, waiting, {open(1000, 0)}, 100).offloads.empty())
      << "more is had here as soon";
}

TEST(OffloadPlanner, KeepsToWhatIsTakenAndToLimits) {
  LocalCapacity here{1, {}, ports::kNever, false};
  std::vector<WaitingJob> waiting(50, job(10, 10));
  EXPECT_EQ(plan_offloads(here, waiting, {open(95, 0)}, 100).offloads.size(), 10U)
      << "the last may begin with what there is";
  EXPECT_TRUE(plan_offloads(here, waiting, {open(3, 0)}, 100).offloads.empty()) << "many times as large";
  EXPECT_EQ(plan_offloads(here, waiting, {open(95, 0)}, 100).soon.size(), 39U)
      << "not begun, but for the first";
  NeighbourCapacity limited = open(1000, 0);
  limited.teams["red"] = 30;
  EXPECT_EQ(plan_offloads(here, waiting, {limited}, 100).offloads.size(), 3U);
  EXPECT_EQ(plan_offloads(here, waiting, {open(1000, 0)}, 4).offloads.size(), 4U);
  limited.teams.clear();
  EXPECT_TRUE(plan_offloads(here, waiting, {limited}, 100).offloads.empty()) << "it has no such team";
}

TEST(OffloadPlanner, ATeamsOwnLimitIsAReasonToo) {
  LocalCapacity here{1000, {{"red", 10}}, 1, false};
  std::vector<WaitingJob> waiting(4, job(10, 20));
  EXPECT_EQ(plan_offloads(here, waiting, {open(1000, 0)}, 100).offloads.size(), 3U);
}

TEST(OffloadPlanner, ADrainedCellHandsOnWhatMayGo) {
  LocalCapacity here{1000, {}, 0, true};
  std::vector<WaitingJob> waiting(4, job(10, 20));
  waiting[2].may_offload.clear();
  EXPECT_EQ(plan_offloads(here, waiting, {open(1000, 5)}, 100).offloads.size(), 3U);
  EXPECT_EQ(plan_offloads(here, waiting, {open(0, 500)}, 100).offloads.size(), 3U)
      << "they wait as well there";
}

TEST(OffloadPlanner, TakesWhatIsFreeThenWhatCanBeHad) {
  EXPECT_EQ(acceptable_foreign_cores({100, 800, 30, 20, 0, false, false}), 50);
  EXPECT_EQ(acceptable_foreign_cores({100, 800, 80, 30, 0, false, false}), 70) << "a tenth of what may be had";
  EXPECT_EQ(acceptable_foreign_cores({100, 80000, 400, 30, 2000, false, false}), 7870);
  EXPECT_EQ(acceptable_foreign_cores({100, 800, 400, 30, 2000, false, false}), 370)
      << "at most a quarter of what there is";
  EXPECT_EQ(acceptable_foreign_cores({100, 0, 80, 30, 0, false, false}), 0);
  EXPECT_EQ(acceptable_foreign_cores({0, 0, 0, 20, 1000, false, false}), 80) << "some wait for what ends next";
  EXPECT_EQ(acceptable_foreign_cores({0, 0, 150, 0, 1000, false, false}), 0) << "unless own work does";
  EXPECT_EQ(acceptable_foreign_cores({100, 800, 0, 0, 0, true, false}), 0) << "drained";
  EXPECT_EQ(acceptable_foreign_cores({100, 800, 0, 0, 0, false, true}), 0) << "its own users are put off";
}

// Against all ways to divide a few jobs between two cells that serve them one after the other: the sum of the
// times at which they begin is at most what it is without spilling, and within the margins of the best.
TEST(OffloadPlanner, ComesNearTheBestDivision) {
  pcg32 rng(7);
  double planned = 0, best_of_all = 0, stay_of_all = 0;
  for (int round = 0; round < 300; ++round) {
    const std::size_t n = 3 + rng(5);
    LocalCapacity here{10.0 + rng(30), {}, ports::kNever, false};
    const double there_cores = 10.0 + rng(30);
    std::vector<WaitingJob> waiting;
    for (std::size_t i = 0; i < n; ++i)
      waiting.push_back(job(2.0 + rng(8), 5.0 + rng(60)));
    const auto cost = [&](std::uint32_t goes) {
      double ahead_here = 0, ahead_there = 0, sum = 0;
      for (std::size_t i = 0; i < n; ++i) {
        const bool away = (goes >> i & 1U) != 0;
        double& ahead = away ? ahead_there : ahead_here;
        sum += ahead / (away ? there_cores : here.cores) + (away ? 2.2 : 0);
        ahead += waiting[i].core_seconds;
      }
      return sum;
    };
    double best = 1e18;
    for (std::uint32_t goes = 0; goes < 1U << n; ++goes)
      best = std::min(best, cost(goes));
    // What it takes at a time is what it has free, told anew once a second; here all of it at once.
    std::uint32_t goes = 0;
    double room = there_cores;
    for (const Offload& s : plan_offloads(here, waiting, {open(room, 0)}, 100).offloads)
      goes |= 1U << s.waiting;
    planned += cost(goes), best_of_all += best, stay_of_all += cost(0);
    EXPECT_LE(cost(goes), cost(0) * 1.5 + 5);
  }
  EXPECT_LT(planned, stay_of_all * 0.75);
  EXPECT_LT(planned, best_of_all * 1.6);
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

TEST(CellSettings, AreRead) {
  const auto loaded = settings::parse(
      toml(),
      "cells:\n  name: north\n  neighbours:\n    south: [\"10.0.0.1:8081\", \"10.0.0.2:8081\"]\n"
      "  most_away: 40\n  drain: true\n  gone: [south]\n");
  EXPECT_EQ(loaded.problems, std::vector<std::string>{});
  const settings::Cells& c = loaded.settings.cells;
  EXPECT_TRUE(c.enabled());
  EXPECT_EQ(c.name, "north");
  ASSERT_EQ(c.neighbours.size(), 1U);
  EXPECT_EQ(c.neighbours[0].nodes[1].text(), "10.0.0.2:8081");
  EXPECT_EQ(c.max_remote_jobs, 40);
  EXPECT_TRUE(c.drain);
  EXPECT_FALSE(settings::parse(toml(), "").settings.cells.enabled());
}

TEST(CellSettings, TheExampleIsInOrderAndWhatIsRunHasNone) {
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

TEST(CellSettings, ProblemsNameTheirPlace) {
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
