#include "filters/filter.hpp"

namespace wingtrail::filters {
namespace {

class Needs : public Filter {
 public:
  std::string_view name() const override {
    return "needs";
  }
  bool admits(const Job& job) const override {
    return job.is_open() && !job.is_held();
  }
};

}  // namespace

std::unique_ptr<Filter> dependency_filter() {
  return std::make_unique<Needs>();
}

}  // namespace wingtrail::filters
