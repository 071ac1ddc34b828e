/// Names of one kind of thing and their dense indices.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/dense_index.hpp"

namespace wingtrail::jobs {

/// Maps names to dense indices and back, for as long as the process lives.
template <typename Index>
class NameTable {
 public:
  /// The name's index; a new one if the name is new.
  Index add(const std::string& name) {
    const auto [it, inserted] = index_by_name_.try_emplace(name, Index(names_.size()));
    if (inserted)
      names_.push_back(name);
    return it->second;
  }
  /// kNoIndex if the name is unknown.
  Index find(const std::string& name) const {
    const auto it = index_by_name_.find(name);
    return it == index_by_name_.end() ? Index(kNoIndex) : it->second;
  }
  const std::string& operator[](Index index) const {
    return names_[index];
  }
  std::size_t size() const {
    return names_.size();
  }

 private:
  std::unordered_map<std::string, Index> index_by_name_;
  std::vector<std::string> names_;
};

}  // namespace wingtrail::jobs
