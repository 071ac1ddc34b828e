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
  Endpoint e;
  e.host = raw.substr(0, colon);
  in_addr ignored{};
  unsigned port = 0;
  const auto [p, ec] = std::from_chars(raw.data() + colon + 1, raw.data() + raw.size(), port);
  if (ec != std::errc() || p != raw.data() + raw.size() || port < 1 || port > 65535 ||
      inet_pton(AF_INET, e.host.c_str(), &ignored) != 1)
    return std::nullopt;
  e.port = static_cast<std::uint16_t>(port);
  return e;
}

// Reads fields by path and collects what is wrong, so that one run tells an operator of every mistake.
class Reader {
 public:
  Reader(const toml::table& table, std::string where, std::vector<std::string>& problems)
      : table_(table), where_(std::move(where)), problems_(problems) {}

  std::string text(const char* key) {
    const toml::node* n = table_.get(key);
    if (!n)
      return missing(key, "text"), "";
    auto v = n->value_exact<std::string>();
    if (!v || v->empty())
      return wrong(key, "text that is not empty"), "";
    return *v;
  }
  double number(const char* key, double lowest, double highest,
                std::optional<double> otherwise = std::nullopt) {
    const toml::node* n = table_.get(key);
    if (!n) {
      if (!otherwise)
        missing(key, "a number");
      return otherwise.value_or(lowest);
    }
    auto v = n->is_number() ? n->value<double>() : std::nullopt;
    if (!v || !std::isfinite(*v) || *v < lowest || *v > highest) {
      std::ostringstream range;
      range << "a number from " << lowest << " to " << highest;
      wrong(key, range.str());
      return lowest;
    }
    return *v;
  }
  Endpoint endpoint(const char* key) {
    const std::string raw = text(key);
    if (raw.empty())
      return {};
    const auto e = parse_endpoint(raw);
    if (!e)
      wrong(key, "IPV4:PORT, found \"" + raw + "\"");
    return e.value_or(Endpoint{});
  }
  std::vector<std::string> texts(const char* key) {
    std::vector<std::string> out;
    const toml::array* a = table_.get_as<toml::array>(key);
    if (!a)
      return wrong(key, "a list of text"), out;
    for (const toml::node& n : *a) {
      auto v = n.value_exact<std::string>();
      if (!v || v->empty())
        return wrong(key, "a list of text"), out;
      out.push_back(*v);
    }
    return out;
  }
  // Calls `each` for every table of the list; a missing list is an empty one.
  template <typename F>
  void tables(const char* key, F each) {
    const toml::node* n = table_.get(key);
    if (!n)
      return;
    const toml::array* a = n->as_array();
    if (!a)
      return wrong(key, "a list of tables");
    std::size_t i = 0;
    for (const toml::node& item : *a) {
      const std::string where = path(key) + "[" + std::to_string(i++) + "]";
      if (const toml::table* t = item.as_table()) {
        each(Reader(*t, where, problems_));
      } else {
        problems_.push_back(where + ": expected a table");
      }
    }
  }
  template <typename F>
  void table(const char* key, F each) {
    const toml::table* t = table_.get_as<toml::table>(key);
    if (!t)
      return missing(key, "a table");
    each(Reader(*t, path(key), problems_));
  }
  template <typename F>
  void table_if_any(const char* key, F each) {
    const toml::node* n = table_.get(key);
    if (!n)
      return;
    if (!n->is_table())
      return wrong(key, "a table");
    table(key, each);
  }
  void wrong(const char* key, const std::string& expected) {
    problems_.push_back(path(key) + ": expected " + expected);
  }

 private:
  void missing(const char* key, const std::string& what) {
    problems_.push_back(path(key) + ": missing, expected " + what);
  }
  std::string path(const char* key) const {
    return where_.empty() ? key : where_ + "." + key;
  }

  const toml::table& table_;
  std::string where_;
  std::vector<std::string>& problems_;
};

constexpr double kDay = 86400;

void read_params(Reader& r, Settings& s) {
  s.zones = r.texts("zones");
  std::set<std::string> names;
  r.tables("teams", [&](Reader t) {
    Team team;
    team.name = t.text("name");
    team.cpus = t.number("cpus", 0, 1e9, 0);
    team.cpus_max = t.number("cpus_max", 0, 1e9, 0);
    team.gpus = t.number("gpus", 0, 1e9, 0);
    team.gpus_max = t.number("gpus_max", 0, 1e9, 0);
    if (!names.insert(team.name).second)
      t.wrong("name", "names that occur once, found \"" + team.name + "\" again");
    if (team.cpus_max > 0 && team.cpus > team.cpus_max)
      t.wrong("cpus", "no more than cpus_max");
    if (team.gpus_max > 0 && team.gpus > team.gpus_max)
      t.wrong("gpus", "no more than gpus_max");
    s.teams.push_back(team);
  });
  r.tables("objectives", [&](Reader o) {
    Objective objective;
    objective.kind = o.text("kind");
    objective.job_class = o.text("class");
    objective.within_s = o.number("within_s", 0, kDay, 0);
    objective.share = o.number("share", 0, 1, 0);
    objective.times = o.number("times", 0, 1000, 1);
    s.objectives.push_back(objective);
  });
  r.table("workers", [&](Reader w) {
    s.heartbeat_interval_s = w.number("report_s", 0.1, 600);
    s.worker_lease_s = w.number("lease_s", 0.5, kDay);
    s.cancellation_limit_s = w.number("cancel_s", 0.5, kDay);
    if (s.worker_lease_s <= s.heartbeat_interval_s)
      w.wrong("lease_s", "more than report_s");
    // A worker that cannot be reached ends its tasks when its lease is over, and nothing ends them sooner.
    if (s.cancellation_limit_s <= s.worker_lease_s)
      w.wrong("cancel_s", "more than lease_s");
  });
  r.table("state", [&](Reader t) {
    struct {
      const char* key;
      double lowest;
      double value;
    } limits[] = {{"rps", 1, 0}, {"write_rps", 1, 0}, {"value_kb", 1, 0}, {"txn_ops", 4, 0}};
    for (auto& l : limits)
      l.value = t.number(l.key, l.lowest, 1e6);
    t.table_if_any("next", [&](Reader next) {
      for (auto& l : limits)
        l.value = std::min(l.value, next.number(l.key, l.lowest, 1e6, l.value));
    });
    s.state_requests_per_s = limits[0].value;
    s.state_writes_per_s = limits[1].value;
    s.state_value_kb = limits[2].value;
    s.max_transaction_changes = static_cast<int>(limits[3].value);
  });
  r.table("cloud", [&](Reader c) {
    s.cloud_requests_per_s = c.number("rps", 0.5, 1e6);
    s.cloud_list_lag_s = c.number("list_lag_s", 0, 600);
  });
  r.table("limits", [&](Reader l) {
    s.max_connections = static_cast<int>(l.number("max_connections", 32, 1e6));
    s.memory_mb = l.number("mem_mb", 16, 1e9, 1e9);
  });
}

void read_toml(const toml::table& table, LoadResult& out) {
  Settings& s = out.settings;
  Reader r(table, "", out.problems);
  s.node = r.text("node_name");
  s.zone = r.text("area");
  s.client_listen = r.endpoint("client_listen");
  s.peer_listen = r.endpoint("peer_listen");
  std::set<std::string> names{s.node};
  r.tables("seeds", [&](Reader p) {
    Peer peer{p.text("node_name"), p.text("area"), p.endpoint("endpoint")};
    if (!names.insert(peer.name).second)
      p.wrong("node_name", "names that occur once, found \"" + peer.name + "\"");
    s.peers.push_back(peer);
  });
  r.table("external", [&](Reader e) {
    s.cloud = e.endpoint("cloud");
    s.state = e.endpoint("state");
  });
  r.table("params", [&](Reader p) { read_params(p, s); });
}

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
    {"cutoff_s", &Tunables::long_job_cutoff_s, nullptr, 0, kDay},
    {"begin_within_s", &Tunables::begin_within_s, nullptr, 0, kDay},
    {"reservations_per_task", &Tunables::reservations_per_task, nullptr, 1, 20},
    {"steal_sample", nullptr, &Tunables::steal_sample, 1, 1000},
    {"short_partition", &Tunables::short_partition, nullptr, 0, 0.9},
    {"silent_reports", &Tunables::silent_heartbeats, nullptr, 1.5, 20},
    {"idle_return_s", &Tunables::idle_return_s, nullptr, 1, kDay},
    {"replica_moves", &Tunables::replica_migration_rate, nullptr, 0, 1},
    {"headroom", &Tunables::headroom, nullptr, 0, 5},
    {"spread", nullptr, &Tunables::load_balancing, 0, 1},
    {"moves", &Tunables::migrations_per_machine, nullptr, 0, 1},
    {"surge_spare", &Tunables::surge_headroom, nullptr, 0, 10},
    {"progress_flush_s", &Tunables::progress_flush_s, nullptr, 0.1, 60},
};

// What is said of the cells; every problem names where it is.
class CellsReader {
 public:
  explicit CellsReader(LoadResult& out) : out_(out), cells_(out.settings.cells) {}

  void read(const YAML::Node& node) {
    if (!node.IsMap())
      return wrong("", "a map");
    for (const auto& pair : node) {
      const auto key = pair.first.as<std::string>("");
      const YAML::Node& value = pair.second;
      if (key == "name") {
        cells_.name = name(key, value);
      } else if (key == "neighbours") {
        neighbours(value);
      } else if (key == "most_away") {
        double most = NAN;
        if (!value.IsScalar() || !YAML::convert<double>::decode(value, most) || std::floor(most) != most ||
            most < 0 || most > 100'000)
          wrong(".most_away", "a whole number from 0 to 100000");
        else
          cells_.max_remote_jobs = static_cast<int>(most);
      } else if (key == "drain") {
        if (!value.IsScalar() || !YAML::convert<bool>::decode(value, cells_.drain))
          wrong(".drain", "true or false");
      } else if (key == "gone") {
        if (!value.IsSequence())
          return wrong(".gone", "a list of names of neighbours");
        for (const auto& item : value)
          cells_.decommissioned.push_back(name("gone", item));
      } else {
        out_.problems.push_back("tunables.cells." + key + ": unknown name");
      }
    }
    check();
  }

 private:
  void wrong(const std::string& where, const std::string& expected) {
    out_.problems.push_back("tunables.cells" + where + ": expected " + expected);
  }
  std::string name(const std::string& key, const YAML::Node& value) {
    auto text = value.IsScalar() ? value.as<std::string>("") : "";
    if (text.empty() || text.size() > 40)
      wrong("." + key, "a name of 1 to 40 characters");
    return text;
  }
  void neighbours(const YAML::Node& value) {
    if (!value.IsMap())
      return wrong(".neighbours", "a map of names to lists of IPV4:PORT");
    for (const auto& pair : value) {
      Neighbour n;
      n.name = name("neighbours", pair.first);
      if (pair.second.IsSequence()) {
        for (const auto& item : pair.second) {
          const auto e = item.IsScalar() ? parse_endpoint(item.as<std::string>("")) : std::nullopt;
          if (!e) {
            wrong(".neighbours." + n.name, "a list of IPV4:PORT");
            continue;
          }
          n.nodes.push_back(*e);
        }
      }
      if (n.nodes.empty())
        wrong(".neighbours." + n.name, "a list of IPV4:PORT");
      cells_.neighbours.push_back(std::move(n));
    }
  }
  void check() {
    if (cells_.name.empty())
      wrong(".name", "the name of this cell");
    const auto& all = cells_.neighbours;
    for (std::size_t i = 0; i < all.size(); ++i) {
      const auto same = [&all, i](const Neighbour& n) {
        return n.name == all[i].name;
      };
      if (all[i].name == cells_.name)
        wrong(".neighbours", "other cells, found \"" + cells_.name + "\" itself");
      if (std::count_if(all.begin(), all.end(), same) > 1)
        wrong(".neighbours", "names that occur once, found \"" + all[i].name + "\" again");
    }
    for (const std::string& g : cells_.decommissioned) {
      if (std::none_of(all.begin(), all.end(), [&g](const Neighbour& n) { return n.name == g; }))
        wrong(".gone", "names of neighbours, found \"" + g + "\"");
    }
  }

  LoadResult& out_;
  Cells& cells_;
};

void read_yaml(const std::string& text, LoadResult& out) {
  YAML::Node root;
  try {
    root = YAML::Load(text);
  } catch (const YAML::Exception& e) {
    out.problems.push_back(std::string("tunables: ") + e.what());
    return;
  }
  if (root.IsNull())
    return;
  if (!root.IsMap()) {
    out.problems.emplace_back("tunables: expected a map of names to numbers");
    return;
  }
  for (const auto& pair : root) {
    const auto key = pair.first.as<std::string>("");
    if (key == "cells") {
      CellsReader(out).read(pair.second);
      continue;
    }
    const Tunable* found = nullptr;
    for (const Tunable& t : kTunables) {
      if (key == t.key)
        found = &t;
    }
    if (!found) {
      out.problems.push_back("tunables." + key + ": unknown name");
      continue;
    }
    double value = NAN;
    // The library leaves a 0 behind where it fails.
    if (!pair.second.IsScalar() || !YAML::convert<double>::decode(pair.second, value))
      value = NAN;
    const bool whole_ok = !found->whole || std::floor(value) == value;
    if (!std::isfinite(value) || value < found->lowest || value > found->highest || !whole_ok) {
      std::ostringstream expected;
      expected << "tunables." << key << ": expected a " << (found->whole ? "whole " : "") << "number from "
               << found->lowest << " to " << found->highest;
      out.problems.push_back(expected.str());
    } else if (found->whole) {
      out.settings.tunables.*found->whole = static_cast<int>(value);
    } else {
      out.settings.tunables.*found->real = value;
    }
  }
}

std::optional<std::string> slurp(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return std::nullopt;
  std::ostringstream text;
  text << in.rdbuf();
  if (in.bad())
    return std::nullopt;
  return text.str();
}

}  // namespace

LoadResult parse(const std::string& toml_text, const std::string& yaml_text) {
  LoadResult out;
  try {
    const toml::table table = toml::parse(toml_text);
    read_toml(table, out);
  } catch (const toml::parse_error& e) {
    std::ostringstream where;
    where << "line " << e.source().begin.line << ": " << e.description();
    out.problems.push_back(where.str());
  }
  if (!yaml_text.empty())
    read_yaml(yaml_text, out);
  return out;
}

LoadResult load(const std::string& toml_path, const std::string& yaml_path) {
  LoadResult out;
  auto toml_text = slurp(toml_path);
  if (!toml_text) {
    out.problems.push_back(toml_path + ": cannot be read");
    return out;
  }
  std::string yaml_text;
  if (!yaml_path.empty()) {
    auto read = slurp(yaml_path);
    if (!read) {
      out.problems.push_back(yaml_path + ": cannot be read");
      return out;
    }
    yaml_text = *read;
  }
  return parse(*toml_text, yaml_text);
}

}  // namespace wingtrail::settings
