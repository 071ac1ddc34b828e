// What may hold a task back, one rule a gate. Gates are asked in the order of their cost; the first one that
// is shut is the reason why a job waits, for whoever decides and for the operator alike.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "agents/agents.hpp"
#include "spread/picture.hpp"

namespace wingtrail::gates {

using agents::Machine;
using jobs::Ix;
using jobs::Job;
using ports::Seconds;

class Gate {
 public:
  Gate() = default;
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;
  virtual ~Gate() = default;
  // One word, for metrics and logs.
  virtual std::string_view name() const = 0;
  // Whether the job's next task may start at all, wherever that is.
  virtual bool open(const Job&) const {
    return true;
  }
  // Whether it may start on this machine, the job itself being let through.
  virtual bool open(const Machine&, const Job&) const {
    return true;
  }
};

// Whether the machine's kind is one that the job allows.
bool allowed(const Job& job, Ix type, Ix zone, bool spot);

// The job is over, or waits for others, or for its own cancellation.
std::unique_ptr<Gate> needs();
// It failed a moment ago; it failed on this machine.
std::unique_ptr<Gate> failures(const ports::Outbox& out);
// An earlier leader could have started the task where this one has not looked yet.
class Accounted : public Gate {
 public:
  Accounted(const agents::Agents& agents, std::function<std::uint64_t()> token)
      : agents_(agents), token_(std::move(token)) {}
  std::string_view name() const override {
    return "accounted";
  }
  bool open(const Job& job) const override;

 private:
  const agents::Agents& agents_;
  std::function<std::uint64_t()> token_;
};
// One zone for all tasks, or at most half of them in one.
class Zones : public Gate {
 public:
  std::string_view name() const override {
    return "zones";
  }
  bool open(const Machine& m, const Job& job) const override {
    return open_in(m.zone, job);
  }
  bool open_in(Ix zone, const Job& job) const;
};
// What is to go to another cell is not begun here. What another cell handed on starts only while no work of
// this cell's own waits in its team: it counts within the team's limit, and must not stand in its way.
class OtherCells : public Gate {
 public:
  std::string_view name() const override {
    return "cells";
  }
  bool open(const Job& job) const override {
    if (job.going)
      return false;
    return job.guest.empty() || job.team >= own_waits_.size() || !own_waits_[job.team];
  }
  // Told anew with every pass: teams whose own work waits.
  void look() {
    own_waits_.assign(own_waits_.size(), false);
  }
  void own_waits(Ix team) {
    if (own_waits_.size() <= team)
      own_waits_.resize(team + 1);
    own_waits_[team] = true;
  }

 private:
  std::vector<bool> own_waits_;
};
// The most that a team may use.
class Limits : public Gate {
 public:
  Limits(const ports::Outbox& out, const settings::Settings& settings, const agents::Agents& agents,
         const spread::Picture& picture)
      : out_(out), settings_(settings), agents_(agents), picture_(picture) {}
  std::string_view name() const override {
    return "limits";
  }
  bool open(const Machine&, const Job& job) const override {
    return open_for(job, 1);
  }
  // Room within the limit for that many tasks at once.
  bool open_for(const Job& job, double tasks) const;

 private:
  double kept_for_services(const Job& job) const;
  const ports::Outbox& out_;
  const settings::Settings& settings_;
  const agents::Agents& agents_;
  const spread::Picture& picture_;
};

// The gates in their order.
class Gates {
 public:
  Gates(const ports::Outbox& out, const settings::Settings& settings, const agents::Agents& agents,
        const spread::Picture& picture, std::function<std::uint64_t()> token);
  // Whether the job's next task may start somewhere, were there room.
  bool open(const Job& job) const {
    return !shut(job);
  }
  bool open(const Machine& m, const Job& job) const;
  // The first gate that is shut for the job as such.
  const Gate* shut(const Job& job) const;
  // Why it waits: that gate, its team's limit, or room.
  std::string_view reason(const Job& job) const;
  const Accounted& accounted() const {
    return *accounted_;
  }
  const Zones& zones() const {
    return *zones_;
  }
  OtherCells& cells() {
    return *cells_;
  }
  const Limits& limits() const {
    return *limits_;
  }
  const std::vector<std::unique_ptr<Gate>>& all() const {
    return all_;
  }

 private:
  template <typename G>
  G* add(std::unique_ptr<G> gate) {
    G* raw = gate.get();
    all_.push_back(std::move(gate));
    return raw;
  }
  std::vector<std::unique_ptr<Gate>> all_;
  const Accounted* accounted_ = nullptr;
  const Zones* zones_ = nullptr;
  OtherCells* cells_ = nullptr;
  const Limits* limits_ = nullptr;
};

}  // namespace wingtrail::gates
