#pragma once
// Stand-ins of the platform's store and of engines, and a small deployment of the deployed program around them.

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <atomic>
#include <boost/json.hpp>
#include <condition_variable>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <vector>

#include "deploy_template.hpp"
#include "wire.hpp"

namespace trial {

namespace json = boost::json;
using std::chrono::milliseconds;

inline void sleep_ms(long count) { std::this_thread::sleep_for(milliseconds(count)); }

/// Lines of record.txt. Engines, which are processes of their own, append to the same file.
class Record {
 public:
  void open(const std::string& path, bool fresh, std::int64_t began_ms) {
    fd_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC | (fresh ? O_TRUNC : 0), 0644);
    path_ = path;
    began_ms_ = began_ms;
  }
  void line(const std::string& text) const {
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f ", static_cast<double>(unix_ms() - began_ms_) / 1000);
    const std::string whole = stamp + text + "\n";
    [[maybe_unused]] const auto written = ::write(fd_, whole.data(), whole.size());
  }
  static std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
  }
  const std::string& path() const { return path_; }
  std::int64_t began_ms() const { return began_ms_; }

 private:
  int fd_ = 2;
  std::string path_;
  std::int64_t began_ms_ = unix_ms();
};

inline Record& record() {
  static Record one;
  return one;
}

// --- the platform's store --------------------------------------------------------------------

/// Objects by kind and name with one counter of revisions, conditional writes and watches (PROTOCOL, "The platform's
/// metadata store"). It never fails.
class Store {
 public:
  bool listen(const std::string& address) {
    address_ = address;
    std::thread([this] { remove_silent(); }).detach();
    return serve(address, [this](Connection& connection, Message& request) { return handle(connection, request); });
  }
  const std::string& address() const { return address_; }

  /// Creates or replaces an object, as the operator and engines do. @return its revision.
  std::uint64_t put(const std::string& kind, const std::string& name, const json::value& spec) {
    const std::lock_guard lock(mutex_);
    Object& object = objects_[kind][name];
    if (object.revision != 0 && object.spec == spec) {
      return object.revision;
    }
    object.spec = spec;
    change(kind, name, object, false);
    return object.revision;
  }
  void remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    drop(kind, name);
  }
  /// @return what the system has written as the state of a retirement; empty where it has written none.
  std::string retirement_state(const std::string& node) {
    const std::lock_guard lock(mutex_);
    const auto& names = objects_["retirements"];
    const auto found = names.find(node);
    const json::object* status = found == names.end() ? nullptr : found->second.status.if_object();
    const json::value* state = status == nullptr ? nullptr : status->if_contains("state");
    return state != nullptr && state->is_string() ? std::string(state->as_string()) : std::string();
  }

 private:
  struct Object {
    std::uint64_t revision = 0, created = 0;
    json::value spec, status;
    json::array finalizers;
  };
  struct Change {
    std::uint64_t revision;
    std::string kind;
    json::object event;
  };

  static json::object describe(const std::string& name, const Object& object) {
    return {{"metadata", json::object{{"name", name},
                                      {"revision", object.revision},
                                      {"created", object.created},
                                      {"finalizers", object.finalizers},
                                      {"deleting", false}}},
            {"spec", object.spec},
            {"status", object.status}};
  }
  void change(const std::string& kind, const std::string& name, Object& object, bool gone) {
    object.revision = ++revision_;
    object.created = object.created == 0 ? revision_ : object.created;
    history_.push_back({revision_, kind, {{"gone", gone}, {"object", describe(name, object)}}});
    changed_.notify_all();
  }
  void drop(const std::string& kind, const std::string& name) {
    auto& names = objects_[kind];
    if (const auto entry = names.find(name); entry != names.end()) {
      Object object = entry->second;
      names.erase(entry);
      change(kind, name, object, true);
    }
  }
  void remove_silent() {
    while (true) {
      sleep_ms(200);
      const std::lock_guard lock(mutex_);
      for (auto entry = heard_.begin(); entry != heard_.end();) {
        const bool silent = Clock::now() - entry->second > milliseconds(3 * 1200 + 300);
        if (silent) {
          drop("servers", entry->first);
        }
        entry = silent ? heard_.erase(entry) : std::next(entry);
      }
    }
  }

  static std::string query(const std::string& target, const std::string& name) {
    const std::size_t mark = target.find('?');
    std::istringstream rest(mark == std::string::npos ? "" : target.substr(mark + 1));
    for (std::string part; std::getline(rest, part, '&');) {
      if (part.starts_with(name + "=")) {
        return part.substr(name.size() + 1);
      }
    }
    return "";
  }
  static bool answer(Connection& connection, unsigned status, const json::value& body) {
    return connection.send(response_text(status, json::serialize(body)));
  }

  bool handle(Connection& connection, Message& request) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    constexpr std::string_view kObjects = "/objects/";
    constexpr std::string_view kBeats = "/beats/";  // how engines write their entries; no page tells it
    json::value body;
    if (!request.body.empty()) {
      boost::system::error_code failure;
      body = json::parse(request.body, failure);
    }
    if (path.starts_with(kBeats)) {
      const std::string name = path.substr(kBeats.size());
      put("servers", name, body);
      const std::lock_guard lock(mutex_);
      heard_[name] = Clock::now();
      return answer(connection, 200, json::object{});
    }
    if (!path.starts_with(kObjects)) {
      return answer(connection, 404, json::object{});
    }
    const std::string rest = path.substr(kObjects.size());
    const std::string kind = rest.substr(0, rest.find('/'));
    std::string name = rest.find('/') == std::string::npos ? "" : rest.substr(rest.find('/') + 1);
    if (request.method == "GET") {
      return read(connection, request.target, kind, name);
    }
    return write(connection, request, kind, name, body);
  }

  bool read(Connection& connection, const std::string& target, const std::string& kind, const std::string& name) {
    std::unique_lock lock(mutex_);
    if (!name.empty()) {
      const auto& names = objects_[kind];
      const auto found = names.find(name);
      const json::value text = found == names.end() ? json::value(json::object{}) : describe(name, found->second);
      const unsigned status = found == names.end() ? 404 : 200;
      lock.unlock();
      return answer(connection, status, text);
    }
    const std::string watch = query(target, "watch");
    if (watch.empty()) {
      const std::string after = query(target, "since_rev");
      json::array items;
      for (const auto& [one, object] : objects_[kind]) {
        if (one > after) {
          items.push_back(describe(one, object));
        }
      }
      const json::object text{{"items", std::move(items)}, {"more", false}, {"at", revision_}};
      lock.unlock();
      return answer(connection, 200, text);
    }
    const std::uint64_t since = std::strtoull(watch.c_str(), nullptr, 10);
    const auto until = Clock::now() + milliseconds(std::strtoul(query(target, "wait_ms").c_str(), nullptr, 10));
    json::array events;
    while (true) {
      for (const Change& change : history_) {
        if (change.revision > since && change.kind == kind) {
          events.push_back(change.event);
        }
      }
      if (!events.empty() || Clock::now() >= until) {
        break;
      }
      changed_.wait_until(lock, std::min(until, Clock::now() + milliseconds(500)));
    }
    const json::object text{{"events", std::move(events)}, {"at", revision_}};
    lock.unlock();
    return answer(connection, 200, text);
  }

  bool write(Connection& connection, const Message& request, const std::string& kind, std::string name,
             const json::value& body) {
    const json::object fields = body.is_object() ? body.as_object() : json::object{};
    const json::object metadata = fields.contains("metadata") ? fields.at("metadata").as_object() : json::object{};
    std::unique_lock lock(mutex_);
    const auto respond = [&](unsigned status, const json::value& text) {
      lock.unlock();
      return answer(connection, status, text);
    };
    if (request.method == "POST") {
      name = std::string(metadata.at("name").as_string());
      auto& names = objects_[kind];
      if (const auto found = names.find(name); found != names.end()) {
        return respond(409, describe(name, found->second));
      }
      names[name].spec = fields.at("spec");
      change(kind, name, names[name], false);
      return respond(200, describe(name, names[name]));
    }
    const bool status_only = name.ends_with("/status");
    if (status_only) {
      name.resize(name.size() - 7);
    }
    auto& names = objects_[kind];
    const auto found = names.find(name);
    if (found == names.end()) {
      return respond(404, json::object{});
    }
    std::string expected = query(request.target, "revision");
    if (metadata.contains("revision")) {
      expected = json::serialize(metadata.at("revision"));
    }
    if (!expected.empty() && expected != std::to_string(found->second.revision)) {
      return respond(409, describe(name, found->second));
    }
    if (request.method == "DELETE") {
      drop(kind, name);
      return respond(200, json::object{});
    }
    Object& object = found->second;
    const json::value before = describe(name, object);
    if (status_only) {
      object.status = fields.contains("status") ? fields.at("status") : json::value(fields);
    } else {
      object.spec = fields.contains("spec") ? fields.at("spec") : object.spec;
      if (metadata.contains("finalizers")) {
        object.finalizers = metadata.at("finalizers").as_array();
      }
    }
    if (json::value(describe(name, object)) != before) {
      change(kind, name, object, false);
    }
    return respond(200, describe(name, object));
  }

  std::string address_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Change> history_;
  std::uint64_t revision_ = 1;
  std::map<std::string, Clock::time_point> heard_;
};

// --- an engine ---------------------------------------------------------------------------------

/// The data of event @p number of the answer to request @p id; the same at every engine.
inline std::string event_data(const std::string& id, unsigned number) {
  return id + "/" + std::to_string(number) + "/" + std::string(40, static_cast<char>('a' + number % 26));
}
inline std::string whole_text(const std::string& id, unsigned events) {
  std::string text;
  for (unsigned number = 1; number <= events; ++number) {
    text += (number > 1 ? "\n" : "") + event_data(id, number);
  }
  return text;
}

struct EngineOptions {
  std::string address, id, service, zone, store;
  unsigned slots = 8;
  unsigned event_ms = 50;
  bool until_close = false;  ///< Answers have no length and end with their connection.
};

inline std::atomic<bool> engine_drains{false};

/// Serves one engine until the process is killed. SIGUSR1: it says that it is draining, and serves on.
class Engine {
 public:
  explicit Engine(EngineOptions options) : options_(std::move(options)) {}

  int run() {
    options_.id += "-" + std::to_string(Record::unix_ms() % 1'000'000);  // every start has a new one
    signal(SIGUSR1, [](int) { engine_drains = true; });
    if (!serve(options_.address, [this](Connection& connection, Message& request) {
          return handle(connection, request);
        })) {
      return 2;
    }
    while (true) {
      const bool drains = engine_drains;
      json::object entry{{"service", options_.service}, {"address", options_.address}, {"zone", options_.zone},
                         {"version", "v1"},             {"slots", options_.slots},     {"state", drains ? "draining" : "ready"},
                         {"cold_left_ms", 0},           {"call_seq", 0}};
      if (options_.service == "lm") {
        entry["stage"] = "dual";
        entry["models"] = json::array{json::object{{"name", "m"}, {"version", 1}, {"adapters", json::array{}}}};
      }
      const Message answer =
          call(options_.store, "PUT", "/beats/" + options_.id, {}, json::serialize(entry), 1000);
      if (drains && !told_ && answer.status == 200) {
        told_ = true;
        record().line("engine " + options_.id + ": the store has taken that it is draining");
      }
      for (int waited = 0; waited < 1200 && engine_drains == drains; waited += 20) {
        sleep_ms(20);
      }
    }
  }

 private:
  bool handle(Connection& connection, const Message& request) {
    const std::string load = std::to_string(running_) + ",0," + std::to_string(options_.slots);
    if (request.target == "/report") {
      return connection.send(response_text(
          200, json::serialize(json::object{
                   {"stage", "dual"}, {"utilization", false}, {"call_seq", 0}, {"waiting", 0}, {"running", running_.load()},
                   {"kv_used", 0}, {"kv_total", 171000}, {"handles", 0}})));
    }
    const std::string id = request.header("X-Madderdeck-Request-Id");
    const std::string echo = "X-Madderdeck-Request-Id: " + id + "\r\nX-Madderdeck-Server-Load: " + load + "\r\n";
    const std::string expected = request.header("X-Madderdeck-Expect-Instance");
    if (request.target == "/healthz") {
      return connection.send(response_text(engine_drains ? 503 : 200, "", "text/plain",
                                           "X-Madderdeck-Instance-Id: " + options_.id + "\r\n"));
    }
    if (id.empty() || (!expected.empty() && expected != options_.id) || running_ >= options_.slots) {
      const unsigned status = id.empty() ? 400 : (running_ >= options_.slots ? 503 : 421);
      record().line("engine " + options_.id + " turns " + id + " away: " + std::to_string(status));
      return connection.send(
          response_text(status, "", "text/plain", echo + "X-Madderdeck-Not-Executed: 1\r\n"));
    }
    ++running_;
    const bool reusable = options_.service == "lm" ? stream(connection, request, id, echo) : plain(connection, request, id, echo);
    --running_;
    return reusable;
  }

  bool plain(Connection& connection, const Message& request, const std::string& id, const std::string& echo) {
    record().line("engine " + options_.id + " runs " + id + ": " + request.method + " " + request.target);
    sleep_ms(options_.event_ms);
    return connection.send(
        response_text(200, "slots for " + id, "text/plain", echo + "X-Madderdeck-Response-Stamp: s." + id + "\r\n"));
  }

  bool stream(Connection& connection, const Message& request, const std::string& id, const std::string& echo) {
    const std::string usage = request.header("X-Madderdeck-Token-Usage");
    const unsigned events = static_cast<unsigned>(std::atoi(usage.substr(usage.find(',') + 1).c_str()));
    const unsigned from = static_cast<unsigned>(std::atoi(request.header("Last-Event-Id").c_str()));
    record().line("engine " + options_.id + " runs " + id + " after event " + std::to_string(from) + ": " +
                  request.method + " " + request.target);
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + echo +
                       "X-Madderdeck-Response-Stamp: s." + id + "\r\n";
    head += options_.until_close ? "Connection: close\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
    bool open = true;
    for (unsigned number = from + 1; number <= events && open; ++number) {
      sleep_ms(options_.event_ms);
      const std::string text = "id: " + std::to_string(number) + "\ndata: " + event_data(id, number) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      const std::string piece = options_.until_close ? text : size + text + "\r\n";
      open = !connection.peer_gone() && connection.send(head + piece);
      head.clear();
    }
    if (open && !options_.until_close) {
      open = connection.send("0\r\n\r\n");
    }
    record().line("engine " + options_.id + (open ? " has ended the whole answer to " : " was left in its answer to ") + id);
    return open && !options_.until_close;
  }

  EngineOptions options_;
  std::atomic<unsigned> running_{0};
  bool told_ = false;
};

// --- the deployment ----------------------------------------------------------------------------

struct Child {
  std::string name;
  std::vector<std::string> arguments;
  std::vector<std::string> variables;  ///< NAME=value.
  std::string log;
  bool restarts = false;  ///< Started again after restart_ms when it has ended.
  long restart_ms = 500;
  pid_t pid = 0;
  bool expected_end = false;
  std::vector<std::string> own_ends;
};

/// Starts, watches and ends the processes. All die with this one.
class Processes {
 public:
  Processes() {
    std::thread([this] { watch(); }).detach();
  }
  /// @return the number of the child.
  std::size_t add(Child child) {
    const std::lock_guard lock(mutex_);
    children_.push_back(std::move(child));
    to_start_.insert(children_.size() - 1);
    return children_.size() - 1;
  }
  void signal(std::size_t number, int what) {
    const std::lock_guard lock(mutex_);
    if (children_[number].pid > 0) {
      children_[number].expected_end = what == SIGKILL || what == SIGTERM;
      ::kill(children_[number].pid, what);
    }
  }
  /// Kills a child; it starts again after @p back_after_ms, or never (0).
  void kill(std::size_t number, long back_after_ms) {
    const std::lock_guard lock(mutex_);
    Child& child = children_[number];
    child.restarts = back_after_ms > 0;
    child.restart_ms = back_after_ms;
    if (child.pid > 0) {
      child.expected_end = true;
      ::kill(child.pid, SIGKILL);
    }
  }
  bool runs(std::size_t number) {
    const std::lock_guard lock(mutex_);
    return children_[number].pid > 0;
  }
  std::vector<std::string> own_ends(std::size_t number) {
    const std::lock_guard lock(mutex_);
    return children_[number].own_ends;
  }
  void end_all() {
    ended_ = true;
    const std::lock_guard lock(mutex_);
    for (Child& child : children_) {
      if (child.pid > 0) {
        ::kill(child.pid, SIGKILL);
        ::waitpid(child.pid, nullptr, 0);
        child.pid = 0;
      }
    }
  }

 private:
  /// All children are started on this thread, which lives as long as the process (PR_SET_PDEATHSIG).
  void watch() {
    std::map<std::size_t, Clock::time_point> later;
    while (!ended_) {
      {
        const std::lock_guard lock(mutex_);
        for (const std::size_t number : to_start_) {
          start(children_[number]);
        }
        to_start_.clear();
        for (std::size_t number = 0; number < children_.size() && !ended_; ++number) {
          Child& child = children_[number];
          int status = 0;
          if (child.pid > 0 && ::waitpid(child.pid, &status, WNOHANG) == child.pid) {
            const std::string how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                                        : "exit " + std::to_string(WEXITSTATUS(status));
            child.pid = 0;
            record().line(child.name + " has ended" + (child.expected_end ? "" : " by itself") + ": " + how);
            if (!child.expected_end) {
              child.own_ends.push_back(how);
            }
            if (child.restarts) {
              later[number] = Clock::now() + milliseconds(child.restart_ms);
            }
            child.expected_end = false;
          }
        }
        for (auto entry = later.begin(); entry != later.end();) {
          const bool due = Clock::now() >= entry->second;
          if (due) {
            start(children_[entry->first]);
          }
          entry = due ? later.erase(entry) : std::next(entry);
        }
      }
      sleep_ms(10);
    }
  }
  void start(Child& child) {
    std::vector<char*> arguments, variables;
    for (std::string& one : child.arguments) {
      arguments.push_back(one.data());
    }
    for (std::string& one : child.variables) {
      variables.push_back(one.data());
    }
    arguments.push_back(nullptr);
    variables.push_back(nullptr);
    const int log = ::open(child.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::execve(arguments[0], arguments.data(), variables.data());
      ::_exit(127);
    }
    ::close(log);
    child.pid = pid;
    record().line(child.name + " is started");
  }

  std::mutex mutex_;
  std::vector<Child> children_;
  std::set<std::size_t> to_start_;
  std::atomic<bool> ended_{false};
};

struct Shape {
  unsigned gateways = 3, ledgers = 3;
};

class Deployment {
 public:
  explicit Deployment(Shape shape) : shape_(shape) {
    char pattern[] = "/tmp/review-XXXXXX";
    folder_ = ::mkdtemp(pattern);
    std::random_device random;
    for (int tries = 0; tries < 50; ++tries) {
      subnet_ = "127." + std::to_string(16 + random() % 200) + "." + std::to_string(random() % 250) + ".";
      if (is_free(ip(1) + ":8144") && is_free(ip(51) + ":7660") && is_free(ip(101) + ":8142")) {
        break;
      }
    }
  }
  void end() {
    processes.end_all();
    std::error_code ignored;
    if (::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(folder_, ignored);
    } else {
      std::cout << "kept: " << folder_ << std::endl;
    }
  }

  std::string ip(unsigned last) const { return subnet_ + std::to_string(last); }
  std::string gateway(unsigned number) const { return ip(1 + number) + ":8144"; }

  bool start() {
    if (!store.listen(ip(101) + ":8142")) {
      return false;
    }
    for (unsigned number = 0; number < shape_.gateways; ++number) {
      gateways.push_back(start_node(true, number));
    }
    for (unsigned number = 0; number < shape_.ledgers; ++number) {
      ledgers.push_back(start_node(false, number));
    }
    return true;
  }

  std::string engine(unsigned number) const { return ip(151 + number) + ":8783"; }

  /// @param back_after_ms how long after its end an engine begins anew, with a new id; 0: never.
  std::size_t start_engine(unsigned number, const std::string& service, EngineOptions options, long back_after_ms = 0) {
    options.address = engine(number);
    options.id = "i-" + std::to_string(number + 1);
    options.service = service;
    options.zone = "zone-" + std::to_string(1 + number % 3);
    options.store = store.address();
    Child child;
    child.name = "engine " + options.id;
    child.arguments = {"/proc/self/exe", "engine", options.address, options.id, options.service, options.zone,
                       options.store, std::to_string(options.slots), std::to_string(options.event_ms),
                       options.until_close ? "1" : "0", record().path(), std::to_string(record().began_ms())};
    child.log = folder_ + "/engine-" + std::to_string(number) + ".log";
    child.restarts = back_after_ms > 0;
    child.restart_ms = back_after_ms;
    return processes.add(std::move(child));
  }

  /// @return whether all gateways answer that they are ready.
  bool await_ready(int seconds) {
    for (const auto until = Clock::now() + std::chrono::seconds(seconds); Clock::now() < until; sleep_ms(100)) {
      unsigned ready = 0;
      for (unsigned number = 0; number < shape_.gateways; ++number) {
        ready += call(ip(1 + number) + ":8140", "GET", "/readyz", {}, "", 900).status == 200 ? 1 : 0;
      }
      if (ready == shape_.gateways) {
        record().line("all gateways are ready");
        return true;
      }
    }
    return false;
  }

  const Shape& shape() const { return shape_; }

  /// The machine of a storage node loses power and its disk; it is back after @p back_after_ms with an empty one, or
  /// never (0).
  void lose_disk(unsigned number, long back_after_ms) {
    processes.kill(ledgers[number], back_after_ms);
    while (processes.runs(ledgers[number])) {
      sleep_ms(5);
    }
    const std::string data = folder_ + "/storage-" + std::to_string(number + 1) + ".data";
    std::error_code ignored;
    std::filesystem::remove_all(data, ignored);
    std::filesystem::create_directories(data, ignored);
  }

  Store store;
  Processes processes;
  std::vector<std::size_t> gateways, ledgers;

 private:
  static bool is_free(const std::string& address) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in local = address_of(address);
    const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof local) == 0;
    ::close(fd);
    return free;
  }
  static std::string read_file(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }
  /// The value of @p key in the section of @p role of the deploy file.
  static std::string deployed(const std::string& role, const std::string& key) {
    const std::string text = read_file("deploy/system.toml");
    const std::size_t section = text.find("[roles." + role + "]");
    const std::size_t line = text.find("\n" + key + " = \"", section);
    const std::size_t begin = text.find('"', line) + 1;
    return text.substr(begin, text.find('"', begin) - begin);
  }

  std::size_t start_node(bool gateway, unsigned number) {
    const std::string role = gateway ? "gateway" : "ledger";
    const std::string name = (gateway ? "frontend-" : "storage-") + std::to_string(number + 1);
    const std::string own = ip((gateway ? 1 : 51) + number);
    json::array seeds;
    for (unsigned seed = 0; seed < std::min(3U, shape_.gateways); ++seed) {
      seeds.push_back(json::value(ip(1 + seed) + ":8146"));
    }
    json::object fields{
        {"node_name", name},
        {"zone", "zone-" + std::to_string(1 + number % 3)},
        {"region", "region-1"},
        {"ip", own},
        {"seeds", std::move(seeds)},
        {"port_range", json::array{7660, 7675}},
        {"limits", json::object{{"cpu_share", gateway ? 0.25 : 0.5}, {"memory_mb", 260}}},
        {"fault_tolerance", json::object{{"machines", 1}, {"zones", 0}, {"regions", 0}}},
        {"bounds", json::object{{"config_apply_ms", 2000}, {"contact_ms", 3000}, {"drain_ms", 2000}}},
        {"platform", json::object{{"address", store.address()}}},
        {"listen", json::object{{"front", own + ":8144"}, {"ready", own + ":8140"}, {"control", own + ":8146"}}}};
    if (!gateway) {
      fields["data_dir"] = folder_ + "/" + name + ".data";
      std::filesystem::create_directories(folder_ + "/" + name + ".data");
    }
    const auto filled = madderdeck::users_platform::bench::fill_template(read_file(deployed(role, "template")), fields);
    const std::string settings = folder_ + "/" + name + ".toml";
    std::ofstream(settings) << std::get<std::string>(filled);
    Child child;
    child.name = name;
    std::istringstream words(deployed(role, "run"));
    for (std::string word; words >> word;) {
      child.arguments.push_back(word);
    }
    child.variables = {"MADDERDECK_BOOT=" + settings, "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C"};
    child.log = folder_ + "/" + name + ".log";
    child.restarts = true;
    return processes.add(std::move(child));
  }

  Shape shape_;
  std::string folder_, subnet_;
};

// --- clients of batch jobs ---------------------------------------------------------------------

inline std::string base64(const std::string& text) {
  static constexpr char kSigns[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t at = 0; at < text.size(); at += 3) {
    unsigned bits = 0;
    for (std::size_t place = 0; place < 3; ++place) {
      bits = bits << 8 | (at + place < text.size() ? static_cast<unsigned char>(text[at + place]) : 0);
    }
    for (std::size_t place = 0; place < 4; ++place) {
      out += at + place <= text.size() ? kSigns[bits >> (18 - 6 * place) & 63] : '=';
    }
  }
  return out;
}

inline json::object item(const std::string& id, unsigned events, const json::object& more_headers = {}) {
  json::object headers{{"X-Madderdeck-Model-Name", "m"},
                       {"X-Madderdeck-Token-Usage", "100," + std::to_string(events)},
                       {"X-Madderdeck-Prompt-Prefix", "9c2e41:60,5d07b8:40"}};
  for (const auto& one : more_headers) {
    headers[one.key()] = one.value();
  }
  return {{"id", id}, {"path", "/jobs/3/" + id}, {"headers", headers}, {"body", base64("prompt of " + id)},
          {"tokens", 100 + events}};
}

/// Hands a batch job in, again at another node after anything but a 202, as the page says. @return whether it got a 202.
inline bool submit(Deployment& deployment, const std::string& id, const json::array& items, int seconds = 20) {
  const std::string body = json::serialize(json::object{{"items", items}});
  unsigned number = 0;
  for (const auto until = Clock::now() + std::chrono::seconds(seconds); Clock::now() < until; sleep_ms(300)) {
    const std::string node = deployment.gateway(number++ % deployment.shape().gateways);
    const Message answer = call(node, "POST", "/jobs/" + id,
                                {{"Host", "jobs.example"}, {"X-Madderdeck-Request-Id", id}, {"Content-Type", "application/json"}},
                                body, 4000);
    record().line("client: batch job " + id + " (" + std::to_string(items.size()) + " items) at " + node + ": " +
                  std::to_string(answer.status) + " " + answer.end);
    if (answer.status == 202) {
      return true;
    }
    if (answer.status == 400 || answer.status == 413 || answer.status == 431) {
      return false;
    }
  }
  return false;
}

struct JobResults {
  std::vector<std::pair<std::string, std::string>> states;  ///< Of each position: item and state.
  std::map<std::string, std::string> texts;
};

/// Reads a batch job's results from the start, at one node. @return whether it answered with 200.
inline bool read_job(Deployment& deployment, const std::string& id, unsigned node, JobResults& found) {
  while (true) {
    const Message answer = call(deployment.gateway(node), "GET",
                                "/lots/" + id + "?since_rev=" + std::to_string(found.states.size()),
                                {{"Host", "jobs.example"}}, "", 4000);
    boost::system::error_code failure;
    const json::value document = json::parse(answer.body, failure);
    if (answer.status != 200 || !answer.whole || failure) {
      return false;
    }
    const json::array& results = document.at("results").as_array();
    for (const json::value& result : results) {
      const std::string item_id(result.at("id").as_string());
      found.states.emplace_back(item_id, std::string(result.at("state").as_string()));
      found.texts[item_id] = std::string(result.at("message").as_string());
    }
    if (results.empty()) {
      return true;
    }
  }
}

}  // namespace trial
