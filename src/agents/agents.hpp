// The workers as the leader knows them: their sessions, what is on them, and the orders under way to them.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "agents/index.hpp"
#include "agents/machine.hpp"
#include "jobs/ledger.hpp"
#include "jobs/registry.hpp"
#include "ports/outbox.hpp"
#include "settings/settings.hpp"
#include "wire/messages.hpp"
#include "zones/zones.hpp"

namespace wingtrail::agents {

class Agents {
 public:
  struct Events {
    std::function<void(Machine&)> up;                   // can take work
    std::function<void(Machine&)> room;                 // something ended on it
    std::function<void(Machine&)> gone;                 // it and all that was on it
    std::function<void(Machine&, const Slot&)> exited;  // a copy; its cause tells how
    std::function<void()> superseded;                   // a worker knows a newer token
  };
  struct Link {
    std::function<std::uint64_t()> token;
    std::function<Seconds()> authority_until;
    // When a lease is over that this node renewed so that it ends at the time given: others may have renewed
    // it.
    std::function<Seconds(Seconds)> lease_end;
    // Whether attempts may say that this leadership tells no cancellation before its tasks are gone.
    std::function<bool()> honest;
  };
  // Machines that may hold tasks this leader does not know of: not settled, or with unknown tasks.
  struct Doubt {
    Ix type = kNone, zone = kNone;
    bool spot = false;
    int unsettled = 0;
  };
  Agents(ports::Outbox& out, const settings::Settings& settings, jobs::Registry& registry,
         jobs::Ledger& ledger, Link link, Events events);

  // ---- leadership
  void begin();
  void end();
  void set_catalog(const std::vector<wire::MachineType>& catalog);

  Machine& roster(const wire::Value& record);
  Machine& learn(const std::string& host, const std::string& addr, const std::string& type,
                 const std::string& zone, bool spot);
  Machine* find(const std::string& host);
  Machine& at(Ix ix) {
    return machines_[ix];
  }
  const std::deque<Machine>& all() const {
    return machines_;
  }
  // Those that are not gone; for what is done once a second at most.
  const std::vector<Ix>& live() const {
    return live_;
  }
  const std::set<Ix>& silent() const {
    return silent_;
  }

  /// Whether the answer to a report may hold orders. A leader past its authority answers without any.
  enum class OrdersInAnswer : std::uint8_t { allowed, withheld };
  /// Takes in a report. Returns the answer's body, or nothing if the report must not be answered: the
  /// leadership is over, the machine is gone, or the report is of a session that is.
  std::optional<wire::Value> report(const wire::Report& report,
                                    OrdersInAnswer orders_in_answer = OrdersInAnswer::allowed);
  bool start(Machine& m, jobs::Job& job, std::uint32_t task);
  void stop(Machine& m, Slot& slot, double grace_s);
  // Keeps room for a task that moves here (sign 1), or gives it up (-1).
  void keep(Machine& m, const wire::Resources& need, double sign);
  void cancel(jobs::Job& job);
  // Ends of tasks that are persisted now: their workers need not report them any longer.
  void forget(const std::vector<jobs::Ledger::Ended>& ended);
  void gone(Machine& m);
  void doubt_until(Machine& m, Seconds until);  // it takes nothing new before
  void changed(Machine& m);                     // something that decides whether, or for what, it takes work
  void flush();                                 // send the orders that have gathered
  void tick();
  const zones::Zones& zones() const {
    return zones_;
  }
  // When every lease of a zone out of reach is certainly over, if it is not heard before.
  Seconds zone_ends(Ix zone) const {
    return link_.lease_end(lease_end(zones_.heard_at(zone)));
  }
  // A machine of which nothing is heard, while others of its zone are.
  bool lost_alone(const Machine& m) const {
    return zones_.lost_alone(m.zone, m.addr.empty() ? m.last_contact + silent_s() : m.unanswered_since);
  }
  Seconds silence(const Machine& m) const {
    return out_.now() - m.last_contact;
  }
  Seconds silent_s() const {
    return settings_.tunables.silent_reports * settings_.report_s;
  }
  wire::Value record(Ix ix) const;  // for the roster
  void enlisted(Ix ix);

  // ---- what an earlier leader may have left
  // Whether every task it may have started is accounted for.
  bool clear() const {
    return in_doubt_ == 0;
  }
  const std::vector<Doubt>& doubts() const {
    return doubts_;
  }
  // What tasks that are not known here can use at most; nothing if not even that is known.
  std::optional<wire::Resources> unaccounted() const;

  // Whether a machine shows a task of the job beside those that are placed: one that can't be adopted there.
  bool holds_unplaced(const std::string& ref) const {
    return copies_.contains(ref);
  }
  // The same, of one task.
  bool holds_unplaced(const std::string& ref, std::uint32_t task) const;
  // Gives each pending task of a job that a machine shows its place there. For jobs whose record is read only
  // now; of the others no pending task is shown by any machine.
  void claim(jobs::Job& job);

  const Index& index();  // up to date
  bool may_start(const Machine& m) const;
  // How often a spot machine is taken, per second of its time, as seen so far.
  double spot_loss_rate() const {
    return (spot_lost_ + 1) / (spot_seconds_ + kSpotPrior);
  }
  void watch_spot(Seconds span);  // that much time has passed for all of them
  const wire::Resources& team_use(Ix team) const {
    return team_use_[team];
  }
  std::uint64_t orders_sent() const {
    return orders_sent_;
  }
  std::uint64_t direct_calls() const {
    return direct_calls_;
  }
  std::uint64_t checks() const {
    return checks_;
  }
  std::uint64_t sweeps() const {
    return sweeps_;
  }  // alarms that asked every machine
  Seconds cleared_after() const {
    return cleared_after_;
  }  // since the take-over; 0: not yet

 private:
  // A machine that shows a task whose place is taken, or whose job is over or unknown.
  struct Copy {
    Ix machine;
    std::uint32_t task;
  };
  /// A report that the worker sent by itself, or the one in its answer to a direct command. Only the former
  /// shows that it has acted on the answer to the report before, or never will.
  enum class ReportSource : std::uint8_t { worker, command_answer };
  void apply(Machine& m, const wire::Report& r, ReportSource source);
  void note_contact(Machine& m, const wire::Report& r, ReportSource source);
  bool take_tasks(Machine& m, const wire::Report& r, ReportSource source);
  static std::optional<std::size_t> find_slot(const Machine& m, const wire::TaskReport& t, std::size_t known,
                                              std::size_t hint);
  void note_idleness(Machine& m);
  bool tell_ended(Machine& m);
  void adopt(Machine& m, const wire::TaskReport& t);
  void update(Machine& m, Slot& s, const wire::TaskReport& t);
  void release(Machine& m, Slot& s);  // it no longer occupies anything
  // Whether the report tells more than what is known of its machine.
  static bool is_newer(const Machine& m, const wire::Report& r);
  void add_copy(Machine& m, const Slot& s);
  void remove_copy(Machine& m, const Slot& s);
  void stop_copies(const std::string& ref, std::optional<std::uint32_t> task = std::nullopt);
  Slot* copy_on(Ix machine, const std::string& ref, std::uint32_t task);
  // Whether the machine that has the task's place may show it there only because of an old report.
  bool place_in_doubt(const jobs::Task& task) const;
  void unplace(jobs::Job& job, std::uint32_t task, const Machine& m);
  bool claim(jobs::Job& job, std::uint32_t task);
  void complete(Machine& m, Slot& s, jobs::Job& job);
  void give_up_place(jobs::Job& job, std::uint32_t task);
  void drop_slot(Machine& m, std::size_t i);
  void end_session(Machine& m);
  void touch_image(Machine& m, Ix image);
  void settle(Machine& m);
  void account(Machine& m);  // whether it is in doubt
  void expect(Machine& m);   // whether it should report
  void ask_again(Ix zone);
  bool near_its_end(const Machine& m) const;
  Doubt& doubt(const Machine& m);
  Seconds lease_end(Seconds from) const;  // of a lease that starts then at the latest
  void check(Machine& m);
  void check_lease(Machine& m);
  void ask_in_cut_zone(Machine& m);
  void repeat_orders(Machine& m);
  bool may_probe(const Machine& m) const;
  void judge_silence(Machine& m);
  void ask_if_late(Machine& m);
  void raise_alarm();
  void sweep();
  void look_again(Machine& m, Seconds at);
  void want(Machine& m);
  int call_limit() const;
  void prune(Machine& m);
  std::vector<wire::Order> orders(Machine& m, bool direct);
  void push(Machine& m);
  void send_direct(Machine& m, const std::vector<wire::Order>& list, std::vector<std::uint64_t> starts,
                   Seconds timeout);
  bool wants_orders(const Machine& m) const;
  void commands_answered(Ix ix, std::uint64_t session, const std::vector<std::uint64_t>& starts,
                         const ports::Reply& reply);
  void enlist(Machine& m);

  static constexpr Seconds kResend = 1.0;      // until what had no answer is sent again
  static constexpr Seconds kAlarmLasts = 3.0;  // see raise_alarm()
  static constexpr double kLateReport = 1.3;   // of the report interval; reports are up to a quarter late

  ports::Outbox& out_;
  const settings::Settings& settings_;
  jobs::Registry& registry_;
  jobs::Ledger& ledger_;
  Link link_;
  Events events_;
  std::vector<wire::MachineType> catalog_;  // by type index; name empty: unknown
  std::deque<Machine> machines_;            // references stay valid as it grows
  std::vector<Ix> live_;
  std::set<Ix> silent_;
  std::unordered_map<std::string, Ix> by_host_;
  Index index_;
  zones::Zones zones_;
  std::vector<Seconds> ask_at_;  // by zone out of reach: when to ask one of its machines again
  std::vector<Ix> stale_;
  std::deque<Ix> orders_due_, tokens_due_;  // machines to be called, those with orders first
  struct Due {
    Seconds at;
    Ix ix;
    bool operator>(const Due& o) const {
      return at != o.at ? at > o.at : ix > o.ix;
    }
  };
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::vector<Slot> ended_;  // by the report being taken in
  std::vector<wire::Resources> team_use_;
  std::vector<Doubt> doubts_;
  int in_doubt_ = 0, unsized_ = 0;
  std::unordered_map<std::string, std::vector<Copy>> copies_;  // by the reference of their job
  wire::Resources doubt_sum_;
  bool active_ = false;
  static constexpr double kSpotPrior = 3600;  // as if one had been taken in an hour, until more is known
  double spot_lost_ = 0, spot_seconds_ = 0;   // of all leaderships of this process
  int calls_ = 0;
  Seconds alarm_from_ = -1e9, alarm_until_ = 0;
  std::deque<Ix> sweep_;  // machines to be asked whether they live
  Seconds fence_until_ = 0, began_ = 0, cleared_after_ = 0;
  std::uint64_t counter_ = 0, term_ = 0, orders_sent_ = 0, direct_calls_ = 0, checks_ = 0, sweeps_ = 0;
};

}  // namespace wingtrail::agents
