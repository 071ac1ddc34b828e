// What may hold a task back, one rule a gate. Gates are asked in the order of their cost; the first one that
// is shut is the reason why a job waits, for whoever decides and for the operator alike.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "balancing/load_snapshot.hpp"
#include "workers/worker_manager.hpp"

namespace wingtrail::filters {

using jobs::Job;
using jobs::MachineTypeIndex;
using jobs::TeamIndex;
using jobs::ZoneIndex;
using ports::Seconds;
using workers::Machine;

class Filter {
 public:
  Filter() = default;
  Filter(const Filter&) = delete;
  Filter& operator=(const Filter&) = delete;
  virtual ~Filter() = default;
  // One word, for metrics and logs.
  virtual std::string_view name() const = 0;
  // Whether the job's next task may start at all, wherever that is.
  virtual bool admits(const Job&) const {
    return true;
  }
  // Whether it may start on this machine, the job itself being let through.
  virtual bool admits(const Machine&, const Job&) const {
    return true;
  }
};

// Whether the machine's kind is one that the job allows.
bool placement_allowed(const Job& job, MachineTypeIndex type, ZoneIndex zone, bool spot);

// The job is over, or waits for others, or for its own cancellation.
std::unique_ptr<Filter> dependency_filter();
// It failed a moment ago; it failed on this machine.
std::unique_ptr<Filter> failure_filter(const ports::Outbox& out);
// An earlier leader could have started the task where this one has not looked yet.
class ReconciledFilter : public Filter {
 public:
  ReconciledFilter(const workers::WorkerManager& agents, std::function<std::uint64_t()> token)
      : workers_(agents), fencing_token_(std::move(token)) {}
  std::string_view name() const override {
    return "accounted";
  }
  bool admits(const Job& job) const override;

 private:
  const workers::WorkerManager& workers_;
  std::function<std::uint64_t()> fencing_token_;
};
// One zone for all tasks, or at most half of them in one.
class ZoneFilter : public Filter {
 public:
  std::string_view name() const override {
    return "zones";
  }
  bool admits(const Machine& m, const Job& job) const override {
    return admits_zone(m.zone, job);
  }
  bool admits_zone(ZoneIndex zone, const Job& job) const;
};
// What is to go to another cell is not begun here. What another cell handed on starts only while no work of
// this cell's own waits in its team: it counts within the team's limit, and must not stand in its way.
class CellFilter : public Filter {
 public:
  std::string_view name() const override {
    return "cells";
  }
  bool admits(const Job& job) const override {
    if (job.selected_for_offload)
      return false;
    return job.origin_cell.empty() || job.team >= own_work_waits_.size() || !own_work_waits_[job.team];
  }
  // Told anew with every pass: teams whose own work waits.
  void begin_pass() {
    own_work_waits_.assign(own_work_waits_.size(), false);
  }
  void note_own_work_waiting(TeamIndex team) {
    if (own_work_waits_.size() <= team)
      own_work_waits_.resize(team + 1);
    own_work_waits_[team] = true;
  }

 private:
  std::vector<bool> own_work_waits_;
};
// The most that a team may use.
class QuotaFilter : public Filter {
 public:
  QuotaFilter(const ports::Outbox& out, const settings::Settings& settings,
              const workers::WorkerManager& agents, const balancing::LoadSnapshot& picture)
      : out_(out), settings_(settings), workers_(agents), load_(picture) {}
  std::string_view name() const override {
    return "limits";
  }
  bool admits(const Machine&, const Job& job) const override {
    return admits_tasks(job, 1);
  }
  // Room within the limit for that many tasks at once.
  bool admits_tasks(const Job& job, double tasks) const;

 private:
  double reserved_for_services(const Job& job) const;
  const ports::Outbox& out_;
  const settings::Settings& settings_;
  const workers::WorkerManager& workers_;
  const balancing::LoadSnapshot& load_;
};

// The gates in their order.
class FilterChain {
 public:
  FilterChain(const ports::Outbox& out, const settings::Settings& settings,
              const workers::WorkerManager& agents, const balancing::LoadSnapshot& picture,
              std::function<std::uint64_t()> token);
  // Whether the job's next task may start somewhere, were there room.
  bool admits(const Job& job) const {
    return !first_refusal(job);
  }
  bool admits(const Machine& m, const Job& job) const;
  // The first gate that is shut for the job as such.
  const Filter* first_refusal(const Job& job) const;
  // Why it waits: that gate, its team's limit, or room.
  std::string_view waiting_reason(const Job& job) const;
  const ReconciledFilter& reconciled() const {
    return *reconciled_;
  }
  const ZoneFilter& zones() const {
    return *zones_;
  }
  CellFilter& cells() {
    return *cells_;
  }
  const QuotaFilter& quota() const {
    return *quota_;
  }
  const std::vector<std::unique_ptr<Filter>>& filters() const {
    return filters_;
  }

 private:
  template <typename G>
  G* add(std::unique_ptr<G> gate) {
    G* raw = gate.get();
    filters_.push_back(std::move(gate));
    return raw;
  }
  std::vector<std::unique_ptr<Filter>> filters_;
  const ReconciledFilter* reconciled_ = nullptr;
  const ZoneFilter* zones_ = nullptr;
  CellFilter* cells_ = nullptr;
  const QuotaFilter* quota_ = nullptr;
};

}  // namespace wingtrail::filters
