#include "gates/gate.hpp"

namespace wingtrail::gates {
namespace {

class Needs : public Gate {
 public:
  std::string_view name() const override {
    return "needs";
  }
  bool open(const Job& job) const override {
    return job.open() && !job.held();
  }
};

}  // namespace

std::unique_ptr<Gate> needs() {
  return std::make_unique<Needs>();
}

}  // namespace wingtrail::gates
