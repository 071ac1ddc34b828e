#include "settings/settings.hpp"

#include <arpa/inet.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

namespace wingtrail::settings {
namespace {

std::optional<Endpoint> parse_endpoint(const std::string& raw) {
  const auto colon = raw.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  Endpoint endpoint;
  endpoint.host = raw.substr(0, colon);
  in_addr parsed_address{};
  unsigned port = 0;
  const auto [end, error] = std::from_chars(raw.data() + colon + 1, raw.data() + raw.size(), port);
  if (error != std::errc() || end != raw.data() + raw.size() || port < 1 || port > 65535 ||
      inet_pton(AF_INET, endpoint.host.c_str(), &parsed_address) != 1)
    return std::nullopt;
  endpoint.port = static_cast<std::uint16_t>(port);
  return endpoint;
}

// Reads the fields of a TOML table. Collects all problems instead of stopping at the first one, so that an
// operator sees every mistake in one run.
class TomlReader {
 public:
  // `path` names the table in error texts; it is empty for the root.
  TomlReader(const toml::table& table, std::string path, std::vector<std::string>& problems)
      : table_(table), path_(std::move(path)), problems_(problems) {}

  std::string text(const char* key) {
    const toml::node* node = table_.get(key);
    if (!node)
      return report_missing(key, "text"), "";
    auto value = node->value_exact<std::string>();
    if (!value || value->empty())
      return report_invalid(key, "text that is not empty"), "";
    return *value;
  }
  // Returns the default if the field is absent. A field without a default must be present.
  double number(const char* key, double lowest, double highest,
                std::optional<double> default_value = std::nullopt) {
    const toml::node* node = table_.get(key);
    if (!node) {
      if (!default_value)
        report_missing(key, "a number");
      return default_value.value_or(lowest);
    }
    auto value = node->is_number() ? node->value<double>() : std::nullopt;
    if (!value || !std::isfinite(*value) || *value < lowest || *value > highest) {
      std::ostringstream range;
      range << "a number from " << lowest << " to " << highest;
      report_invalid(key, range.str());
      return lowest;
    }
    return *value;
  }
  Endpoint endpoint(const char* key) {
    const std::string raw = text(key);
    if (raw.empty())
      return {};
    const auto parsed = parse_endpoint(raw);
    if (!parsed)
      report_invalid(key, "IPV4:PORT, found \"" + raw + "\"");
    return parsed.value_or(Endpoint{});
  }
  std::vector<std::string> texts(const char* key) {
    std::vector<std::string> values;
    const toml::array* list = table_.get_as<toml::array>(key);
    if (!list)
      return report_invalid(key, "a list of text"), values;
    for (const toml::node& item : *list) {
      auto value = item.value_exact<std::string>();
      if (!value || value->empty())
        return report_invalid(key, "a list of non-empty text"), values;
      values.push_back(*value);
    }
    return values;
  }
  // Calls `each` with a reader for every table of the list. An absent list counts as empty, whereas an absent
  // list in texts() is an error.
  template <typename F>
  void tables(const char* key, F each) {
    const toml::node* node = table_.get(key);
    if (!node)
      return;
    const toml::array* list = node->as_array();
    if (!list)
      return report_invalid(key, "a list of tables");
    std::size_t index = 0;
    for (const toml::node& item : *list) {
      const std::string item_path = path(key) + "[" + std::to_string(index++) + "]";
      if (const toml::table* item_table = item.as_table()) {
        each(TomlReader(*item_table, item_path, problems_));
      } else {
        problems_.push_back(item_path + ": expected a table");
      }
    }
  }
  template <typename F>
  void table(const char* key, F each) {
    const toml::table* child = table_.get_as<toml::table>(key);
    if (!child)
      return report_missing(key, "a table");
    each(TomlReader(*child, path(key), problems_));
  }
  template <typename F>
  void optional_table(const char* key, F each) {
    const toml::node* node = table_.get(key);
    if (!node)
      return;
    if (!node->is_table())
      return report_invalid(key, "a table");
    table(key, each);
  }
  void report_invalid(const char* key, const std::string& expected) {
    problems_.push_back(path(key) + ": expected " + expected);
  }

 private:
  void report_missing(const char* key, const std::string& expected) {
    problems_.push_back(path(key) + ": missing, expected " + expected);
  }
  std::string path(const char* key) const {
    return path_.empty() ? key : path_ + "." + key;
  }

  const toml::table& table_;
  std::string path_;
  std::vector<std::string>& problems_;
};

constexpr double kDayS = 86400;

void read_params(TomlReader& params, Settings& settings) {
  settings.zones = params.texts("zones");
  std::set<std::string> names;
  params.tables("teams", [&](TomlReader item) {
    Team team;
    team.name = item.text("name");
    team.cpus = item.number("cpus", 0, 1e9, 0);
    team.cpus_max = item.number("cpus_max", 0, 1e9, 0);
    team.gpus = item.number("gpus", 0, 1e9, 0);
    team.gpus_max = item.number("gpus_max", 0, 1e9, 0);
    if (!names.insert(team.name).second)
      item.report_invalid("name", "names that occur once, found \"" + team.name + "\" again");
    if (team.cpus_max > 0 && team.cpus > team.cpus_max)
      item.report_invalid("cpus", "no more than cpus_max");
    if (team.gpus_max > 0 && team.gpus > team.gpus_max)
      item.report_invalid("gpus", "no more than gpus_max");
    settings.teams.push_back(team);
  });
  params.tables("objectives", [&](TomlReader item) {
    Objective objective;
    objective.kind = item.text("kind");
    objective.job_class = item.text("class");
    objective.within_s = item.number("within_s", 0, kDayS, 0);
    objective.share = item.number("share", 0, 1, 0);
    objective.times = item.number("times", 0, 1000, 1);
    settings.objectives.push_back(objective);
  });
  params.table("workers", [&](TomlReader workers) {
    settings.heartbeat_interval_s = workers.number("report_s", 0.1, 600);
    settings.worker_lease_s = workers.number("lease_s", 0.5, kDayS);
    settings.cancellation_limit_s = workers.number("cancel_s", 0.5, kDayS);
    if (settings.worker_lease_s <= settings.heartbeat_interval_s)
      workers.report_invalid("lease_s", "more than report_s");
    // An unreachable worker stops its tasks only when its lease expires; a cancellation may take that long.
    if (settings.cancellation_limit_s <= settings.worker_lease_s)
      workers.report_invalid("cancel_s", "more than lease_s");
  });
  params.table("state", [&](TomlReader state) {
    struct {
      const char* key;
      double lowest;
      double value;
    } limits[] = {{"rps", 1, 0}, {"write_rps", 1, 0}, {"value_kb", 1, 0}, {"txn_ops", 4, 0}};
    for (auto& limit : limits)
      limit.value = state.number(limit.key, limit.lowest, 1e6);
    // `next` holds limits that will replace the present ones at a time that is not announced, so the lower of
    // both applies from the start.
    state.optional_table("next", [&](TomlReader next) {
      for (auto& limit : limits)
        limit.value = std::min(limit.value, next.number(limit.key, limit.lowest, 1e6, limit.value));
    });
    settings.state_requests_per_s = limits[0].value;
    settings.state_writes_per_s = limits[1].value;
    settings.state_value_kb = limits[2].value;
    settings.max_transaction_changes = static_cast<int>(limits[3].value);
  });
  params.table("cloud", [&](TomlReader cloud) {
    settings.cloud_requests_per_s = cloud.number("rps", 0.5, 1e6);
    settings.cloud_list_lag_s = cloud.number("list_lag_s", 0, 600);
  });
  params.table("limits", [&](TomlReader limits) {
    settings.max_connections = static_cast<int>(limits.number("max_connections", 32, 1e6));
    settings.memory_mb = limits.number("mem_mb", 16, 1e9, 1e9);
  });
}

void read_toml(const toml::table& table, LoadResult& result) {
  Settings& settings = result.settings;
  TomlReader root(table, "", result.problems);
  settings.node = root.text("node_name");
  settings.zone = root.text("area");
  settings.client_listen = root.endpoint("client_listen");
  settings.peer_listen = root.endpoint("peer_listen");
  std::set<std::string> names{settings.node};
  root.tables("seeds", [&](TomlReader item) {
    Peer peer{item.text("node_name"), item.text("area"), item.endpoint("endpoint")};
    if (!names.insert(peer.name).second)
      item.report_invalid("node_name", "names that occur once, found \"" + peer.name + "\" again");
    settings.peers.push_back(peer);
  });
  root.table("external", [&](TomlReader external) {
    settings.cloud = external.endpoint("cloud");
    settings.state = external.endpoint("state");
  });
  root.table("params", [&](TomlReader params) { read_params(params, settings); });
}

// A numeric tunable and its range. `real` or `whole`, whichever is not null, points to the field that holds
// the value.
struct Tunable {
  const char* key;
  double Tunables::*real;
  int Tunables::*whole;
  double lowest, highest;
};
constexpr Tunable kTunables[] = {
    {"leader_lease_s", &Tunables::leader_lease_s, nullptr, 0.5, 60},
    {"custody_leases", &Tunables::delegation_leases, nullptr, 0, 100},
    {"custody_consent", nullptr, &Tunables::peer_agreement, 0, 1},
    {"zones", nullptr, &Tunables::zone_tracking, 0, 1},
    {"admission", nullptr, &Tunables::fair_admission, 0, 1},
    {"cutoff_s", &Tunables::long_job_cutoff_s, nullptr, 0, kDayS},
    {"begin_within_s", &Tunables::begin_within_s, nullptr, 0, kDayS},
    {"reservations_per_task", &Tunables::reservations_per_task, nullptr, 1, 20},
    {"steal_sample", nullptr, &Tunables::steal_sample, 1, 1000},
    {"short_partition", &Tunables::short_partition, nullptr, 0, 0.9},
    {"silent_reports", &Tunables::silent_heartbeats, nullptr, 1.5, 20},
    {"idle_return_s", &Tunables::idle_return_s, nullptr, 1, kDayS},
    {"replica_moves", &Tunables::replica_migration_rate, nullptr, 0, 1},
    {"headroom", &Tunables::headroom, nullptr, 0, 5},
    {"spread", nullptr, &Tunables::load_balancing, 0, 1},
    {"moves", &Tunables::migrations_per_machine, nullptr, 0, 1},
    {"surge_spare", &Tunables::surge_headroom, nullptr, 0, 10},
    {"progress_flush_s", &Tunables::progress_flush_s, nullptr, 0.1, 60},
};

// Reads the `cells` section of the tunables and collects its problems, each with the path of its field.
class CellsReader {
 public:
  explicit CellsReader(LoadResult& result) : result_(result), cells_(result.settings.cells) {}

  void read(const YAML::Node& node) {
    if (!node.IsMap())
      return report_invalid("", "a map");
    for (const auto& pair : node) {
      const auto key = pair.first.as<std::string>("");
      const YAML::Node& value = pair.second;
      if (key == "name") {
        cells_.name = read_name(key, value);
      } else if (key == "neighbours") {
        read_neighbours(value);
      } else if (key == "most_away") {
        double limit = NAN;
        if (!value.IsScalar() || !YAML::convert<double>::decode(value, limit) || std::floor(limit) != limit ||
            limit < 0 || limit > 100'000)
          report_invalid(".most_away", "a whole number from 0 to 100000");
        else
          cells_.max_remote_jobs = static_cast<int>(limit);
      } else if (key == "drain") {
        if (!value.IsScalar() || !YAML::convert<bool>::decode(value, cells_.drain))
          report_invalid(".drain", "true or false");
      } else if (key == "gone") {
        if (!value.IsSequence())
          return report_invalid(".gone", "a list of names of neighbours");
        for (const auto& item : value)
          cells_.decommissioned.push_back(read_name("gone", item));
      } else {
        result_.problems.push_back("tunables.cells." + key + ": unknown name");
      }
    }
    check_names();
  }

 private:
  // `field` is the path within the section, with a leading dot; empty for the section itself.
  void report_invalid(const std::string& field, const std::string& expected) {
    result_.problems.push_back("tunables.cells" + field + ": expected " + expected);
  }
  std::string read_name(const std::string& key, const YAML::Node& value) {
    auto text = value.IsScalar() ? value.as<std::string>("") : "";
    if (text.empty() || text.size() > 40)
      report_invalid("." + key, "a name of 1 to 40 characters");
    return text;
  }
  void read_neighbours(const YAML::Node& value) {
    if (!value.IsMap())
      return report_invalid(".neighbours", "a map of names to lists of IPV4:PORT");
    for (const auto& pair : value) {
      Neighbour neighbour;
      neighbour.name = read_name("neighbours", pair.first);
      if (pair.second.IsSequence()) {
        for (const auto& item : pair.second) {
          const auto endpoint = item.IsScalar() ? parse_endpoint(item.as<std::string>("")) : std::nullopt;
          if (!endpoint) {
            report_invalid(".neighbours." + neighbour.name, "a list of IPV4:PORT");
            continue;
          }
          neighbour.nodes.push_back(*endpoint);
        }
      }
      if (neighbour.nodes.empty())
        report_invalid(".neighbours." + neighbour.name, "a list of IPV4:PORT");
      cells_.neighbours.push_back(std::move(neighbour));
    }
  }
  void check_names() {
    if (cells_.name.empty())
      report_invalid(".name", "the name of this cell");
    const auto& all = cells_.neighbours;
    for (std::size_t i = 0; i < all.size(); ++i) {
      const auto same = [&all, i](const Neighbour& n) {
        return n.name == all[i].name;
      };
      if (all[i].name == cells_.name)
        report_invalid(".neighbours", "other cells, found \"" + cells_.name + "\" itself");
      if (std::count_if(all.begin(), all.end(), same) > 1)
        report_invalid(".neighbours", "names that occur once, found \"" + all[i].name + "\" again");
    }
    for (const std::string& decommissioned : cells_.decommissioned) {
      if (std::none_of(all.begin(), all.end(), [&](const Neighbour& n) { return n.name == decommissioned; }))
        report_invalid(".gone", "names of neighbours, found \"" + decommissioned + "\"");
    }
  }

  LoadResult& result_;
  Cells& cells_;
};

void read_yaml(const std::string& text, LoadResult& result) {
  YAML::Node root;
  try {
    root = YAML::Load(text);
  } catch (const YAML::Exception& e) {
    result.problems.push_back(std::string("tunables: ") + e.what());
    return;
  }
  if (root.IsNull())
    return;
  if (!root.IsMap()) {
    result.problems.emplace_back("tunables: expected a map of names to numbers");
    return;
  }
  for (const auto& pair : root) {
    const auto key = pair.first.as<std::string>("");
    if (key == "cells") {
      CellsReader(result).read(pair.second);
      continue;
    }
    const Tunable* found = nullptr;
    for (const Tunable& tunable : kTunables) {
      if (key == tunable.key)
        found = &tunable;
    }
    if (!found) {
      result.problems.push_back("tunables." + key + ": unknown name");
      continue;
    }
    double value = NAN;
    // yaml-cpp stores 0 when the conversion fails.
    if (!pair.second.IsScalar() || !YAML::convert<double>::decode(pair.second, value))
      value = NAN;
    const bool has_valid_type = !found->whole || std::floor(value) == value;
    if (!std::isfinite(value) || value < found->lowest || value > found->highest || !has_valid_type) {
      std::ostringstream expected;
      expected << "tunables." << key << ": expected a " << (found->whole ? "whole " : "") << "number from "
               << found->lowest << " to " << found->highest;
      result.problems.push_back(expected.str());
    } else if (found->whole) {
      result.settings.tunables.*found->whole = static_cast<int>(value);
    } else {
      result.settings.tunables.*found->real = value;
    }
  }
}

std::optional<std::string> read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  if (file.bad())
    return std::nullopt;
  return text.str();
}

}  // namespace

LoadResult parse(const std::string& toml_text, const std::string& yaml_text) {
  LoadResult result;
  try {
    const toml::table table = toml::parse(toml_text);
    read_toml(table, result);
  } catch (const toml::parse_error& e) {
    std::ostringstream where;
    where << "line " << e.source().begin.line << ": " << e.description();
    result.problems.push_back(where.str());
  }
  if (!yaml_text.empty())
    read_yaml(yaml_text, result);
  return result;
}

LoadResult load(const std::string& toml_path, const std::string& yaml_path) {
  LoadResult result;
  auto toml_text = read_file(toml_path);
  if (!toml_text) {
    result.problems.push_back(toml_path + ": cannot be read");
    return result;
  }
  std::string yaml_text;
  if (!yaml_path.empty()) {
    auto contents = read_file(yaml_path);
    if (!contents) {
      result.problems.push_back(yaml_path + ": cannot be read");
      return result;
    }
    yaml_text = *contents;
  }
  return parse(*toml_text, yaml_text);
}

}  // namespace wingtrail::settings
