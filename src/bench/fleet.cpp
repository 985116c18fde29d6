#include "bench/fleet.hpp"

#include <signal.h>

#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace madderdeck::bench {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

Fleet::Fleet(FleetPlan plan, HttpSession& http) : plan_(std::move(plan)), http_(http) {
  std::filesystem::remove_all(plan_.folder);
  std::filesystem::create_directories(plan_.folder);
  plan_platform();
  plan_engines();
  plan_services();
  plan_nodes();
}

Part& Fleet::add(const std::string& name, const std::string& program) {
  auto part = std::make_unique<Part>();
  part->name = name;
  part->program = plan_.binaries + "/" + program;
  order_.push_back(name);
  return *(parts_[name] = std::move(part));
}

std::string Fleet::log_file(const std::string& name) const { return plan_.folder + "/" + name + ".log"; }

void Fleet::plan_platform() {
  Part& platform = add("platform", "madderdeck-emulator");
  platform.address = plan_.subnet + ".4.1:9000";
  platform.arguments = {"platform", "--address=" + platform.address, "--state=" + plan_.folder + "/platform.state"};
}

void Fleet::plan_engines() {
  for (unsigned number = 1; number <= plan_.engines; ++number) {
    const std::string name = "engine-" + std::to_string(number);
    Part& engine = add(name, "madderdeck-emulator");
    engine.address = plan_.subnet + ".2." + std::to_string(number) + ":9000";
    engine.arguments = {"engine",
                        "--address=" + engine.address,
                        "--models=" + plan_.models,
                        "--zone=" + plan_.zones[number % plan_.zones.size()],
                        "--platform=" + part("platform").address,
                        "--slots=" + std::to_string(plan_.engine_slots),
                        "--step_us=" + std::to_string(plan_.engine_step_us),
                        "--ends_on=" + plan_.engine_ends_on};
    engines_.push_back(name);
  }
}

void Fleet::plan_services() {
  for (unsigned number = 1; number <= plan_.services; ++number) {
    const std::string name = "service-" + std::to_string(number);
    Part& service = add(name, "madderdeck-emulator");
    service.address = plan_.subnet + ".3." + std::to_string(number) + ":9000";
    service.arguments = {"service",
                         "--address=" + service.address,
                         "--service=" + plan_.service_name,
                         "--zone=" + plan_.zones[number % plan_.zones.size()],
                         "--platform=" + part("platform").address,
                         "--work_ms=" + std::to_string(plan_.service_work_ms),
                         "--journal=" + plan_.folder + "/" + name + ".journal"};
    services_.push_back(name);
  }
}

void Fleet::plan_nodes() {
  const std::string seeds =
      "\"" + plan_.subnet + ".1.1:7000\", \"" + plan_.subnet + ".1.2:7000\", \"" + plan_.subnet + ".1.3:7000\"";
  for (unsigned number = 1; number <= plan_.nodes; ++number) {
    const std::string name = "node-" + std::to_string(number);
    const std::string ip = plan_.subnet + ".1." + std::to_string(number);
    Part& node = add(name, "madderdeckd");
    node.address = ip + ":8000";
    node.data_folder = plan_.folder + "/" + name + ".data";
    const std::string settings = plan_.folder + "/" + name + ".toml";
    std::ofstream file(settings);
    file << "[node]\nid = \"" << name << "\"\nzone = \"" << plan_.zones[(number - 1) % plan_.zones.size()]
         << "\"\npeer_address = \"" << ip << ":7000\"\napi_address = \"" << node.address << "\"\nseeds = [" << seeds
         << "]\ndata_folder = \"" << node.data_folder << "\"\n\n[platform]\nendpoint = \"" << part("platform").address
         << "\"\n\n[drain]\ngrace_ms = 1000\n";
    node.arguments = {"--settings=" + settings};
    nodes_.push_back(name);
  }
}

Status Fleet::start() {
  for (const std::string& name : order_) {
    const Status started = restart(name);
    if (!succeeded(started)) {
      return started;
    }
  }
  return Ok{};
}

Status Fleet::restart(const std::string& name) {
  Part& chosen = part(name);
  chosen.process.kill();
  return chosen.process.start(chosen.program, chosen.arguments, log_file(name));
}

void Fleet::kill(const std::string& name) { part(name).process.kill(); }
void Fleet::freeze(const std::string& name) { part(name).process.signal(SIGSTOP); }
void Fleet::thaw(const std::string& name) { part(name).process.signal(SIGCONT); }
void Fleet::reload(const std::string& name) {
  if (part(name).process.running()) {
    part(name).process.signal(SIGHUP);
  }
}

unsigned Fleet::restart_ended_engines(milliseconds after) {
  unsigned ended = 0;
  for (const std::string& name : engines_) {
    if (part(name).process.poll_ended()) {
      ++ended;
      http_.after(after, [this, name] {
        if (!part(name).process.running()) {
          restart(name);
        }
      });
    }
  }
  return ended;
}

void Fleet::terminate(const std::string& name) { part(name).process.signal(SIGTERM); }

Status Fleet::lose_disk(const std::string& name) {
  part(name).process.kill();
  std::filesystem::remove_all(part(name).data_folder);
  return restart(name);
}

bool Fleet::control(const std::string& name, const std::string& text) {
  const char* path = name == "platform" ? "/control/faults" : "/control";
  const auto response = http_.call(part(name).address, "POST", path, text);
  return response && response->status == 200;
}

std::vector<std::string> Fleet::gateways() const {
  std::vector<std::string> addresses;
  for (const std::string& name : nodes_) {
    addresses.push_back(parts_.at(name)->address);
  }
  return addresses;
}

bool Fleet::wait_ready(milliseconds limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  for (const std::string& name : nodes_) {
    while (part(name).process.running()) {
      const auto response = http_.call(part(name).address, "GET", "/readyz", "", {}, milliseconds(1000));
      if (response && response->status == 200) {
        break;
      }
      if (std::chrono::steady_clock::now() > deadline) {
        return false;
      }
      http_.run_for(milliseconds(50));
    }
  }
  return true;
}

bool Fleet::wait_machines(std::size_t machines, milliseconds limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  for (const std::string& name : nodes_) {
    while (part(name).process.running()) {
      const auto response = http_.call(part(name).address, "GET", "/admin/status", "", {}, milliseconds(1000));
      boost::system::error_code failure;
      const json::value status = response ? json::parse(response->body, failure) : json::value();
      if (status.is_object() && status.at("backends").as_array().size() >= machines) {
        break;
      }
      if (std::chrono::steady_clock::now() > deadline) {
        return false;
      }
      http_.run_for(milliseconds(50));
    }
  }
  return true;
}

Status Fleet::declare(const std::string& kind, const std::string& name, const std::string& body) {
  const std::string path = "/admin/objects/" + kind + "/" + name;
  const auto present = http_.call(gateways().front(), "GET", path);
  std::string expected = "0";
  if (present && present->status == 200) {
    expected = std::to_string(json::parse(present->body).at("revision").to_number<std::uint64_t>());
  }
  const auto response = http_.call(gateways().front(), "PUT", path + "?expected=" + expected, body);
  if (!response || response->status != 200) {
    return Error{ErrorKind::unavailable,
                 "declaring " + kind + " " + name + ": " + (response ? response->body : "no answer")};
  }
  return Ok{};
}

Status Fleet::declare_file(const std::string& path) {
  boost::system::error_code failure;
  const json::value objects = json::parse(read_file(path), failure);
  if (failure || !objects.is_array()) {
    return Error{ErrorKind::invalid_argument, path + ": a JSON list of objects is needed"};
  }
  for (const json::value& object : objects.as_array()) {
    const std::string kind(object.at("kind").as_string());
    const std::string name(object.at("name").as_string());
    const Status declared = declare(kind, name, json::serialize(object));
    if (!succeeded(declared)) {
      return declared;
    }
  }
  return Ok{};
}

std::vector<std::string> Fleet::journal() const {
  std::vector<std::string> lines;
  for (const std::string& name : services_) {
    std::ifstream file(plan_.folder + "/" + name + ".journal");
    for (std::string line; std::getline(file, line);) {
      lines.push_back(line);
    }
  }
  return lines;
}

double Fleet::engine_total(const std::string& field) {
  double total = 0;
  for (const std::string& name : engines_) {
    if (!part(name).process.running()) {
      continue;
    }
    if (const auto response = http_.call(part(name).address, "GET", "/totals")) {
      total += json::parse(response->body).at(field).to_number<double>();
    }
  }
  return total;
}

}  // namespace madderdeck::bench
