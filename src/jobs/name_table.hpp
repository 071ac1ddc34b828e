/// @file
/// Table of the names of one kind of objects and their dense indices.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/dense_index.hpp"

namespace wingtrail::jobs {

/// Maps names to dense indices and back. Indices stay valid for the lifetime of the process.
template <typename Index>
class NameTable {
 public:
  /// Returns the name's index, adding the name if it is new.
  Index add(const std::string& name) {
    const auto [it, inserted] = index_by_name_.try_emplace(name, Index(names_.size()));
    if (inserted)
      names_.push_back(name);
    return it->second;
  }
  /// Returns kNoIndex if the name is unknown.
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
