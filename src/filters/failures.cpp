#include <algorithm>

#include "filters/filter.hpp"

namespace wingtrail::filters {
namespace {

class Failures : public Filter {
 public:
  explicit Failures(const ports::Outbox& out) : out_(out) {}
  std::string_view name() const override {
    return "failures";
  }
  bool admits(const Job& job) const override {
    return out_.now() >= job.not_before;
  }
  bool admits(const Machine& m, const Job& job) const override {
    return std::find(job.failed_machines.begin(), job.failed_machines.end(), m.index) ==
           job.failed_machines.end();
  }

 private:
  const ports::Outbox& out_;
};

}  // namespace

std::unique_ptr<Filter> failure_filter(const ports::Outbox& out) {
  return std::make_unique<Failures>(out);
}

}  // namespace wingtrail::filters
