#pragma once
/// @file A whole fleet of real processes on loopback, for demos and experiments.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/http_session.hpp"
#include "bench/process.hpp"

namespace madderdeck::bench {

/// What to start.
struct FleetPlan {
  std::string subnet = "127.77";  ///< First two numbers of every address.
  std::string folder;             ///< For settings, data and logs; made anew.
  std::string binaries;           ///< Where the programs lie.
  std::vector<std::string> zones{"abdali-hall", "sweileh-hall", "marka-hall"};
  unsigned nodes = 3;
  unsigned engines = 12;
  unsigned services = 3;
  std::string models = "booking-7b";
  std::string service_name = "slots";
  unsigned engine_slots = 16;
  unsigned engine_step_us = 8000;
  std::string engine_ends_on;  ///< Text in a prompt that ends the engine which begins it; empty for none.
  unsigned service_work_ms = 5;
};

/// One process of the fleet.
struct Part {
  std::string name;
  std::string address;  ///< Where it serves HTTP.
  std::string program;
  std::vector<std::string> arguments;
  std::string data_folder;
  Process process;
};

/// Starts, breaks and mends the processes. All end with this object.
class Fleet {
 public:
  Fleet(FleetPlan plan, HttpSession& http);

  Status start();
  /// Waits until every running node reports ready.
  /// @return whether that came to pass within @p limit.
  bool wait_ready(std::chrono::milliseconds limit);
  /// Waits until every node knows at least @p machines back ends.
  bool wait_machines(std::size_t machines, std::chrono::milliseconds limit);
  /// Declares every object of a JSON file.
  Status declare_file(const std::string& path);
  Status declare(const std::string& kind, const std::string& name, const std::string& body);

  void kill(const std::string& name);
  Status restart(const std::string& name);
  void freeze(const std::string& name);
  void thaw(const std::string& name);
  /// Kills the node, empties its data folder and starts it again.
  Status lose_disk(const std::string& name);
  void terminate(const std::string& name);
  /// Sends SIGHUP.
  void reload(const std::string& name);
  /// Starts engines again that have ended by themselves, @p after that.
  /// @return how many ended since the last look.
  unsigned restart_ended_engines(std::chrono::milliseconds after);
  /// Sends a control message to an emulated system.
  bool control(const std::string& name, const std::string& json);

  Part& part(const std::string& name) { return *parts_.at(name); }
  std::vector<std::string> node_names() const { return nodes_; }
  std::vector<std::string> engine_names() const { return engines_; }
  std::vector<std::string> service_names() const { return services_; }
  /// @return API addresses of all nodes.
  std::vector<std::string> gateways() const;
  const FleetPlan& plan() const { return plan_; }
  /// @return journal lines of all services, read from their files.
  std::vector<std::string> journal() const;
  /// @return the sum of a field of all engines' totals.
  double engine_total(const std::string& field);

 private:
  void plan_platform();
  void plan_engines();
  void plan_services();
  void plan_nodes();
  Part& add(const std::string& name, const std::string& program);
  std::string log_file(const std::string& name) const;

  const FleetPlan plan_;
  HttpSession& http_;
  std::map<std::string, std::unique_ptr<Part>> parts_;
  std::vector<std::string> order_;
  std::vector<std::string> nodes_;
  std::vector<std::string> engines_;
  std::vector<std::string> services_;
};

}  // namespace madderdeck::bench
