#include <algorithm>

#include "gates/gate.hpp"

namespace wingtrail::gates {
namespace {

class Failures : public Gate {
 public:
  explicit Failures(const ports::Outbox& out) : out_(out) {}
  std::string_view name() const override {
    return "failures";
  }
  bool open(const Job& job) const override {
    return out_.now() >= job.not_before;
  }
  bool open(const Machine& m, const Job& job) const override {
    return std::find(job.failed_on.begin(), job.failed_on.end(), m.ix) == job.failed_on.end();
  }

 private:
  const ports::Outbox& out_;
};

}  // namespace

std::unique_ptr<Gate> failures(const ports::Outbox& out) {
  return std::make_unique<Failures>(out);
}

}  // namespace wingtrail::gates
