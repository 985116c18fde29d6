#pragma once
/// @file What the scripts of the second review share: the deployed program as separate processes on loopback addresses,
/// and stand-ins of the platform's store, of engines and of clients. The stand-ins run in the script's own process.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// --- the record -------------------------------------------------------------------------------

/// Writes what was sent, answered and run to record.txt, with milliseconds since the script's start.
class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  long now() const { return std::chrono::duration_cast<milliseconds>(Clock::now() - start_).count(); }
  void line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_ != nullptr) {
      std::fprintf(file_, "%7ld ms  %s\n", now(), text.c_str());
      std::fflush(file_);
    }
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
  const Clock::time_point start_ = Clock::now();
};

inline void note(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline void note(const char* format, ...) {
  char text[2048];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  Record::get().line(text);
}

inline void pause(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// --- sockets and HTTP -------------------------------------------------------------------------

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string header(const Headers& headers, const char* name) {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name) == 0) {
      return value;
    }
  }
  return "";
}

struct Message {
  std::string first;  ///< Request line or status line.
  Headers headers;
  std::string body;
  bool whole = false;  ///< Its end was seen.

  int status() const { return first.size() < 12 ? 0 : std::atoi(first.c_str() + 9); }
  std::string method() const { return first.substr(0, first.find(' ')); }
  std::string target() const {
    const std::size_t from = first.find(' ') + 1;
    return first.substr(from, first.find(' ', from) - from);
  }
  std::string path() const { return target().substr(0, target().find('?')); }
  std::string query(const std::string& name) const {
    const std::string all = target();
    const std::size_t at = all.find('?');
    std::stringstream parts(at == std::string::npos ? "" : all.substr(at + 1));
    for (std::string part; std::getline(parts, part, '&');) {
      if (part.rfind(name + "=", 0) == 0) {
        return part.substr(name.size() + 1);
      }
    }
    return "";
  }
};

inline sockaddr_in address_of(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline bool send_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// Reads messages from a blocking socket.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  /// @param until point in time at which reading ends.
  /// @return whether a head came; the message is whole only if Message::whole.
  bool read(Message& message, Clock::time_point until, const std::function<void(const std::string&)>& piece = {}) {
    message = Message();
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(until)) {
        return false;
      }
    }
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::getline(head, message.first);
    trim(message.first);
    for (std::string line; std::getline(head, line);) {
      trim(line);
      const std::size_t colon = line.find(':');
      std::string value = line.substr(std::min(line.size(), colon + 1));
      value.erase(0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
      message.headers.emplace_back(line.substr(0, colon), value);
    }
    const auto take = [&](std::size_t length) {
      message.body.append(buffer_, 0, length);
      if (piece && length > 0) {
        piece(buffer_.substr(0, length));
      }
      buffer_.erase(0, length);
    };
    if (header(message.headers, "Transfer-Encoding") == "chunked") {
      while (true) {
        std::size_t line = 0;
        while ((line = buffer_.find("\r\n")) == std::string::npos) {
          if (!fill(until)) {
            return true;
          }
        }
        const std::size_t length = std::strtoul(buffer_.c_str(), nullptr, 16);
        buffer_.erase(0, line + 2);
        while (buffer_.size() < length + 2) {
          if (!fill(until)) {
            return true;
          }
        }
        take(length);
        buffer_.erase(0, 2);
        if (length == 0) {
          message.whole = true;
          return true;
        }
      }
    }
    const std::string stated = header(message.headers, "Content-Length");
    const std::size_t length = std::strtoul(stated.c_str(), nullptr, 10);
    while (buffer_.size() < length) {
      if (!fill(until)) {
        return true;
      }
    }
    take(length);
    message.whole = true;
    return true;
  }

 private:
  static void trim(std::string& line) {
    while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
      line.pop_back();
    }
  }
  bool fill(Clock::time_point until) {
    const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    pollfd one{fd_, POLLIN, 0};
    if (left <= 0 || ::poll(&one, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[65536];
    const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  const int fd_;
  std::string buffer_;
};

/// One connection of a caller to a stand-in.
struct Connection {
  int fd = -1;
  bool closed_by_peer() const {
    char byte = 0;
    const ssize_t n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  bool respond(int status, const Headers& headers, const std::string& body,
               const std::string& type = "application/json") {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: " + type +
                       "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
    }
    return send_all(fd, text + "\r\n" + body);
  }
  bool begin_stream(const Headers& headers) {
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
    }
    return send_all(fd, text + "\r\n");
  }
  bool chunk(const std::string& bytes) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return send_all(fd, size + bytes + "\r\n");
  }
};

/// A server with a thread for each connection. stop() closes its socket and all its connections, as the end of a
/// process does.
class Server {
 public:
  using Handler = std::function<void(Connection&, const Message&)>;

  bool listen(const std::string& ip, int port, Handler handler) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = address_of(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
      ::close(fd);
      return false;
    }
    auto state = std::make_shared<State>();
    state->handler = std::move(handler);
    state->listener = fd;
    state_ = state;
    std::thread([state] { accept_all(state); }).detach();
    return true;
  }
  void stop() {
    if (!state_) {
      return;
    }
    const std::lock_guard<std::mutex> lock(state_->mutex);
    state_->stopped = true;
    ::shutdown(state_->listener, SHUT_RDWR);
    for (const int fd : state_->connections) {
      ::shutdown(fd, SHUT_RDWR);
    }
    state_.reset();
  }

 private:
  struct State {
    std::mutex mutex;
    Handler handler;
    int listener = -1;
    bool stopped = false;
    std::set<int> connections;
  };
  static void accept_all(const std::shared_ptr<State>& state) {
    while (true) {
      const int fd = ::accept4(state->listener, nullptr, nullptr, SOCK_CLOEXEC);
      const std::lock_guard<std::mutex> lock(state->mutex);
      if (state->stopped || fd < 0) {
        if (fd >= 0) {
          ::close(fd);
        }
        if (state->stopped) {
          ::close(state->listener);
          return;
        }
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      state->connections.insert(fd);
      std::thread([state, fd] { serve(state, fd); }).detach();
    }
  }
  static void serve(const std::shared_ptr<State>& state, int fd) {
    Connection connection{fd};
    Reader reader(fd);
    Message request;
    while (reader.read(request, Clock::now() + std::chrono::hours(1)) && request.whole) {
      state->handler(connection, request);
      const std::lock_guard<std::mutex> lock(state->mutex);
      if (state->stopped) {
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(state->mutex);
    state->connections.erase(fd);
    ::close(fd);
  }
  std::shared_ptr<State> state_;
};

struct Answer {
  int status = 0;  ///< 0: none.
  bool whole = false;
  Headers headers;
  std::string body;
};

/// One call on a new connection.
inline Answer call(const std::string& ip, int port, const std::string& method, const std::string& target,
                   const Headers& headers, const std::string& body, int patience_ms) {
  Answer answer;
  const auto until = Clock::now() + milliseconds(patience_ms);
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = address_of(ip, port);
  timeval one_second{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &one_second, sizeof one_second);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    Message response;
    if (send_all(fd, text + "\r\n" + body) && Reader(fd).read(response, until)) {
      answer = {response.status(), response.whole, response.headers, response.body};
    }
  }
  ::close(fd);
  return answer;
}

inline std::string hex(std::uint64_t number) {
  char text[20];
  std::snprintf(text, sizeof text, "%016lx", static_cast<unsigned long>(number));
  return text;
}

inline std::string new_id() {
  static std::mutex mutex;
  static std::mt19937_64 generator{std::random_device{}()};
  const std::lock_guard<std::mutex> lock(mutex);
  return hex(generator());
}

// --- the platform's store ---------------------------------------------------------------------

/// Objects by kind and name, lists, watches and conditional writes as the protocol page has them. Sound: it is never
/// slow, down or forgetful.
class Store {
 public:
  bool listen(const std::string& ip, int port) {
    return server_.listen(ip, port,
                          [this](Connection& connection, const Message& request) { handle(connection, request); });
  }
  void put(const std::string& kind, const std::string& name, const json::object& spec) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Object& stored = objects_[kind][name];
    if (stored.revision == 0 || stored.spec != spec) {
      stored.spec = spec;
      changed(kind, name, stored, false);
    }
  }
  /// @return the field "state" of an object's status; empty where there is none.
  std::string status_of(const std::string& kind, const std::string& name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const json::value& status = objects_[kind][name].status;
    const json::value* state = status.is_object() ? status.as_object().if_contains("state") : nullptr;
    return state != nullptr && state->is_string() ? std::string(state->as_string()) : "";
  }
  void remove(const std::string& kind, const std::string& name) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto entry = objects_[kind].find(name);
    if (entry != objects_[kind].end()) {
      Object last = entry->second;
      objects_[kind].erase(entry);
      changed(kind, name, last, true);
    }
  }

 private:
  struct Object {
    std::uint64_t revision = 0;
    json::value spec;
    json::value status;
  };
  struct Change {
    std::string kind;
    std::uint64_t revision;
    json::object event;
  };

  static json::object describe(const std::string& name, const Object& stored) {
    return {{"metadata",
             {{"name", name},
              {"revision", stored.revision},
              {"created", 1},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", stored.spec},
            {"status", stored.status}};
  }
  void changed(const std::string& kind, const std::string& name, Object& stored, bool gone) {
    stored.revision = ++revision_;
    history_.push_back({kind, revision_, {{"gone", gone}, {"object", describe(name, stored)}}});
    woken_.notify_all();
  }
  void handle(Connection& connection, const Message& request) {
    const std::string path = request.path();
    constexpr std::size_t kPrefix = sizeof("/objects/") - 1;
    if (path.rfind("/objects/", 0) != 0) {
      connection.respond(404, {}, "{}");
      return;
    }
    const std::string rest = path.substr(kPrefix);
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    std::unique_lock<std::mutex> lock(mutex_);
    auto& objects = objects_[kind];
    if (request.method() == "GET") {
      if (!name.empty()) {
        const auto found = objects.find(name);
        const std::string body = found == objects.end() ? "{}" : json::serialize(describe(name, found->second));
        const int status = found == objects.end() ? 404 : 200;
        lock.unlock();
        connection.respond(status, {}, body);
        return;
      }
      const std::string watch = request.query("watch");
      const json::object body = watch.empty() ? list(objects, request.query("since_rev"))
                                              : changes(lock, kind, std::strtoull(watch.c_str(), nullptr, 10),
                                                        std::atoi(request.query("wait_ms").c_str()));
      lock.unlock();
      connection.respond(200, {}, json::serialize(body));
      return;
    }
    boost::system::error_code failure;
    const json::value parsed = request.body.empty() ? json::value() : json::parse(request.body, failure);
    const json::object fields = parsed.is_object() ? parsed.as_object() : json::object();
    const json::value* metadata = fields.if_contains("metadata");
    if (name.size() > 7 && name.ends_with("/status")) {
      name.resize(name.size() - 7);
      Object& stored = objects[name];
      if (stored.status != fields.at("status")) {
        stored.status = fields.at("status");
        changed(kind, name, stored, false);
      }
      respond(lock, connection, 200, describe(name, stored));
      return;
    }
    if (request.method() == "POST") {
      name = std::string(metadata->as_object().at("name").as_string());
      const bool present = objects.contains(name);
      Object& stored = objects[name];
      if (!present) {
        stored.spec = fields.at("spec");
        changed(kind, name, stored, false);
      }
      respond(lock, connection, present ? 409 : 201, describe(name, stored));
      return;
    }
    const auto found = objects.find(name);
    if (found == objects.end()) {
      respond(lock, connection, 404, {});
      return;
    }
    std::uint64_t wanted = std::strtoull(request.query("revision").c_str(), nullptr, 10);
    if (metadata != nullptr && metadata->as_object().contains("revision")) {
      wanted = metadata->as_object().at("revision").to_number<std::uint64_t>();
    }
    if (wanted != 0 && wanted != found->second.revision) {
      respond(lock, connection, 409, describe(name, found->second));
      return;
    }
    if (request.method() == "DELETE") {
      Object last = found->second;
      objects.erase(found);
      changed(kind, name, last, true);
      respond(lock, connection, 200, describe(name, last));
      return;
    }
    if (found->second.spec != fields.at("spec")) {
      found->second.spec = fields.at("spec");
      changed(kind, name, found->second, false);
    }
    respond(lock, connection, 200, describe(name, found->second));
  }
  static void respond(std::unique_lock<std::mutex>& lock, Connection& connection, int status,
                      const json::object& body) {
    lock.unlock();
    connection.respond(status, {}, json::serialize(body));
  }
  json::object list(const std::map<std::string, Object>& objects, const std::string& after) const {
    json::array items;
    for (auto entry = objects.upper_bound(after); entry != objects.end(); ++entry) {
      items.push_back(describe(entry->first, entry->second));
    }
    return {{"items", std::move(items)}, {"more", false}, {"at", revision_}};
  }
  json::object changes(std::unique_lock<std::mutex>& lock, const std::string& kind, std::uint64_t since, int wait_ms) {
    json::array events;
    const auto until = Clock::now() + milliseconds(wait_ms);
    while (true) {
      for (const Change& change : history_) {
        if (change.kind == kind && change.revision > since) {
          events.push_back(change.event);
        }
      }
      if (!events.empty() || woken_.wait_until(lock, until) == std::cv_status::timeout) {
        return {{"events", std::move(events)}, {"at", std::max(since, revision_)}};
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable woken_;
  std::uint64_t revision_ = 0;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Change> history_;
  Server server_;
};

// --- engines ----------------------------------------------------------------------------------

/// One request at an engine.
struct Run {
  std::string id;
  std::string engine;
  Message request;
  unsigned resume_after = 0;  ///< From Last-Event-Id.
};

/// An engine at one address. Its behaviour is given by what it does with a run.
class Engine {
 public:
  /// Answers a run on its connection; @p headers hold id, stamp and load.
  using Work = std::function<void(const Run& run, Connection& connection, const Headers& headers)>;

  Engine(Store& store, std::string ip, int port, std::string service, std::string zone, int slots, bool model,
         Work work)
      : store_(store),
        ip_(std::move(ip)),
        port_(port),
        service_(std::move(service)),
        zone_(std::move(zone)),
        slots_(slots),
        model_(model),
        work_(std::move(work)) {}

  bool start() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      id_ = "i-" + new_id().substr(0, 10);
      running_.clear();
    }
    const bool listening = server_.listen(
        ip_, port_, [this](Connection& connection, const Message& request) { handle(connection, request); });
    if (listening) {
      store_.put("servers", id_, entry());
      note("engine %s (%s) starts at %s:%d", id_.c_str(), service_.c_str(), ip_.c_str(), port_);
    }
    return listening;
  }
  /// Ends without a word. Its entry goes after three silent heartbeats.
  void crash() {
    const std::string id = this->id();
    note("engine %s (%s) crashes with %zu runs", id.c_str(), service_.c_str(), running());
    server_.stop();
    std::thread([this, id] {
      pause(3 * 1200);
      store_.remove("servers", id);
    }).detach();
  }
  std::string id() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return id_;
  }
  std::size_t running() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return running_.size();
  }

 private:
  json::object entry() const {
    json::object fields{{"service", service_}, {"address", ip_ + ":" + std::to_string(port_)},
                        {"zone", zone_},       {"version", "v1"},
                        {"slots", slots_},     {"state", "ready"},
                        {"cold_left_ms", 0},   {"call_seq", 0}};
    if (model_) {
      fields["stage"] = "dual";
      fields["models"] = json::array{json::object{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}};
    }
    return fields;
  }
  void handle(Connection& connection, const Message& request) {
    const std::string self = id();
    if (request.path() == "/report") {
      connection.respond(200, {}, report());
      return;
    }
    const std::string run_id = header(request.headers, "X-Madderdeck-Request-Id");
    const std::string expected = header(request.headers, "X-Madderdeck-Expect-Instance");
    if (run_id.empty()) {
      connection.respond(400, {{"X-Madderdeck-Not-Executed", "1"}}, "");
      return;
    }
    if (!expected.empty() && expected != self) {
      connection.respond(421, {{"X-Madderdeck-Request-Id", run_id}, {"X-Madderdeck-Not-Executed", "1"}}, "");
      return;
    }
    bool full = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      full = running_.size() >= static_cast<std::size_t>(slots_);
      if (!full) {
        running_.insert(run_id);
      }
    }
    if (full) {
      connection.respond(503, {{"X-Madderdeck-Request-Id", run_id}, {"X-Madderdeck-Not-Executed", "1"}, load()}, "");
      return;
    }
    const Run run{run_id, self, request,
                  static_cast<unsigned>(std::atoi(header(request.headers, "Last-Event-Id").c_str()))};
    work_(run, connection,
          {{"X-Madderdeck-Request-Id", run_id}, {"X-Madderdeck-Response-Stamp", self + "." + run_id}, load()});
    const std::lock_guard<std::mutex> lock(mutex_);
    running_.erase(run_id);
  }
  std::pair<std::string, std::string> load() const {
    return {"X-Madderdeck-Server-Load", std::to_string(running()) + ",0," + std::to_string(slots_)};
  }
  std::string report() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    json::array runs;
    for (const std::string& one : running_) {
      runs.push_back(json::array{one, 100, 0, 0});
    }
    return json::serialize(json::object{{"stage", "dual"},
                                        {"models", json::array{json::object{{"name", "m"}, {"version", 1}}}},
                                        {"utilization", false},
                                        {"call_seq", 0},
                                        {"waiting", 0},
                                        {"running", running_.size()},
                                        {"kv_used", 1000},
                                        {"kv_total", 147261},
                                        {"handles", 0},
                                        {"runs", std::move(runs)}});
  }

  Store& store_;
  const std::string ip_;
  const int port_;
  const std::string service_;
  const std::string zone_;
  const int slots_;
  const bool model_;
  const Work work_;
  mutable std::mutex mutex_;
  std::string id_;
  std::set<std::string> running_;
  Server server_;
};

inline std::string event_data(const std::string& id, unsigned number) {
  return "piece " + std::to_string(number) + " of " + id;
}
inline std::string whole_text(const std::string& id, unsigned events) {
  std::string text;
  for (unsigned number = 1; number <= events; ++number) {
    text += (number > 1 ? "\n" : "") + event_data(id, number);
  }
  return text;
}
/// Writes the events after run.resume_after, @p event_ms apart. Ends early if the caller leaves.
inline bool write_stream(const Run& run, Connection& connection, const Headers& headers, unsigned events,
                         int event_ms) {
  bool sound = connection.begin_stream(headers);
  for (unsigned number = run.resume_after + 1; sound && number <= events; ++number) {
    pause(event_ms);
    sound = !connection.closed_by_peer() &&
            connection.chunk("id: " + std::to_string(number) + "\ndata: " + event_data(run.id, number) + "\n\n");
  }
  return sound && send_all(connection.fd, "0\r\n\r\n");
}

// --- the deployed program ---------------------------------------------------------------------

inline std::string read_file(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// A node of the fleet: the program with the command and the settings template of the deploy file.
class Node {
 public:
  Node(std::string name, bool ledger, std::string ip, std::string zone)
      : name(std::move(name)), ledger(ledger), ip(std::move(ip)), zone(std::move(zone)) {}

  const std::string name;
  const bool ledger;
  const std::string ip;
  const std::string zone;
  pid_t pid = 0;
};

struct Shape {
  int ledgers = 3;
  int gateways = 3;
};

class Fleet {
 public:
  explicit Fleet(Shape shape = {}) {
    folder_ = std::filesystem::temp_directory_path() / ("review-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder_);
    subnet_ = free_subnet();
    for (int number = 0; number < shape.gateways; ++number) {
      nodes_.emplace_back("frontend-" + std::to_string(number + 1), false, ip(1, number + 1), zone(number));
    }
    for (int number = 0; number < shape.ledgers; ++number) {
      nodes_.emplace_back("storage-" + std::to_string(number + 1), true, ip(50, number + 1), zone(number));
    }
  }
  ~Fleet() { end(); }

  std::string ip(int block, int number) const {
    return subnet_ + "." + std::to_string(block) + "." + std::to_string(number);
  }
  static std::string zone(int number) { return "zone-" + std::to_string(number % 3 + 1); }
  Store& store() { return store_; }
  std::vector<Node*> gateways() { return nodes_of(false); }
  std::vector<Node*> ledgers() { return nodes_of(true); }

  bool start() {
    if (!store_.listen(ip(100, 1), kStorePort)) {
      return false;
    }
    for (Node& node : nodes_) {
      write_settings(node);
      start(node);
    }
    return true;
  }
  void start(Node& node) {
    const std::string log = folder_ / (node.name + ".log");
    const std::string settings = "MADDERDECK_BOOT=" + (folder_ / (node.name + ".toml")).string();
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::signal(SIGPIPE, SIG_DFL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      const std::string path = std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "");
      const char* arguments[] = {"target/madderdeckd-platform", nullptr};
      const char* variables[] = {settings.c_str(), path.c_str(), "LANG=C", nullptr};
      ::execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(variables));
      ::_exit(127);
    }
    node.pid = pid;
    note("%s starts", node.name.c_str());
  }
  static void kill(Node& node) {
    if (node.pid > 0) {
      ::kill(node.pid, SIGKILL);
      ::waitpid(node.pid, nullptr, 0);
      node.pid = 0;
    }
  }
  /// Takes the disk of a node that is not running.
  void wipe(const Node& node) const {
    std::error_code ignored;
    std::filesystem::remove_all(folder_ / (node.name + ".data"), ignored);
    std::filesystem::create_directories(folder_ / (node.name + ".data"));
  }
  static void signal(const Node& node, int number) { ::kill(node.pid, number); }
  /// @return whether all gateways are ready within @p patience_ms.
  bool await_ready(int patience_ms) {
    const auto until = Clock::now() + milliseconds(patience_ms);
    while (Clock::now() < until) {
      const std::vector<Node*> all = gateways();
      if (std::all_of(all.begin(), all.end(), [](const Node* node) {
            return call(node->ip, kReadyPort, "GET", "/readyz", {{"Host", "probe"}}, "", 900).status == 200;
          })) {
        note("all gateways are ready");
        return true;
      }
      pause(300);
    }
    return false;
  }
  /// @return names of processes that ended by themselves.
  std::string ended() {
    std::string names;
    for (Node& node : nodes_) {
      if (node.pid > 0 && ::waitpid(node.pid, nullptr, WNOHANG) == node.pid) {
        names += " " + node.name;
        node.pid = 0;
      }
    }
    return names;
  }
  void end() {
    for (Node& node : nodes_) {
      if (node.pid > 0) {
        ::kill(node.pid, SIGCONT);
      }
      kill(node);
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(folder_, ignored);
    } else {
      std::fprintf(stderr, "logs: %s\n", folder_.c_str());
    }
  }

  static constexpr int kFrontPort = 8144;
  static constexpr int kReadyPort = 8140;
  static constexpr int kControlPort = 8146;
  static constexpr int kFirstPeerPort = 7660;
  static constexpr int kLastPeerPort = 7675;
  static constexpr int kStorePort = 8142;
  static constexpr int kEnginePort = 8783;

 private:
  std::vector<Node*> nodes_of(bool ledger) {
    std::vector<Node*> found;
    for (Node& node : nodes_) {
      if (node.ledger == ledger) {
        found.push_back(&node);
      }
    }
    return found;
  }
  /// A second number of loopback addresses whose ports nobody uses.
  static std::string free_subnet() {
    std::mt19937 generator{std::random_device{}()};
    for (int tries = 0; tries < 50; ++tries) {
      const std::string subnet = "127." + std::to_string(30 + generator() % 200);
      Server probe;
      bool free = true;
      for (const auto& [host, port] : std::vector<std::pair<std::string, int>>{
               {".100.1", kStorePort}, {".1.1", kFrontPort}, {".50.1", kFirstPeerPort}, {".110.1", kEnginePort}}) {
        Server one;
        free = free && one.listen(subnet + host, port, {});
        one.stop();
      }
      if (free) {
        return subnet;
      }
    }
    return "127.30";
  }
  /// Fills the gaps of the deploy file's template: {{a}}, {{#a}}..{{/a}} of a value or of the list of seeds, {{,}},
  /// {{.}}.
  void write_settings(const Node& node) const {
    std::map<std::string, std::string> values = {{"node_name", node.name},
                                                 {"zone", node.zone},
                                                 {"region", "region-1"},
                                                 {"limits.cpu_share", node.ledger ? "0.5" : "0.25"},
                                                 {"ip", node.ip},
                                                 {"port_range.0", std::to_string(kFirstPeerPort)},
                                                 {"port_range.1", std::to_string(kLastPeerPort)},
                                                 {"listen.front", node.ip + ":" + std::to_string(kFrontPort)},
                                                 {"listen.ready", node.ip + ":" + std::to_string(kReadyPort)},
                                                 {"platform.address", ip(100, 1) + ":" + std::to_string(kStorePort)},
                                                 {"data_dir", folder_ / (node.name + ".data")},
                                                 {"bounds.config_apply_ms", "2000"},
                                                 {"bounds.drain_ms", "2000"},
                                                 {"fault_tolerance.machines", "1"}};
    std::string seeds;
    for (int number = 1; number <= 3; ++number) {
      seeds += (number > 1 ? "," : "") + ("\"" + ip(1, number) + ":" + std::to_string(kControlPort)) + "\"";
    }
    std::string text = read_file(node.ledger ? "deploy/ledger.toml" : "deploy/gateway.toml");
    std::string filled;
    for (std::size_t at = 0; at < text.size();) {
      const std::size_t open = text.find("{{", at);
      filled += text.substr(at, open - at);
      if (open == std::string::npos) {
        break;
      }
      const std::size_t close = text.find("}}", open);
      std::string name = text.substr(open + 2, close - open - 2);
      at = close + 2;
      if (name[0] != '#') {
        filled += values[name];
        continue;
      }
      name.erase(0, 1);
      const std::string end = "{{/" + name + "}}";
      const std::size_t end_at = text.find(end, at);
      std::string inner = text.substr(at, end_at - at);
      at = end_at + end.size();
      if (name == "seeds") {
        filled += seeds;
      } else if (values.contains(name)) {
        const std::size_t dot = inner.find("{{.}}");
        filled += dot == std::string::npos ? inner : inner.replace(dot, 5, values[name]);
      }
    }
    std::ofstream(folder_ / (node.name + ".toml")) << filled;
    if (node.ledger) {
      std::filesystem::create_directories(folder_ / (node.name + ".data"));
    }
  }

  std::filesystem::path folder_;
  std::string subnet_;
  std::deque<Node> nodes_;
  Store store_;
};

/// Parses the arguments of a script's program: the folder of the case. TROUBLE=0 leaves the disruption out.
struct Script {
  std::string folder;
  bool trouble = true;

  explicit Script(int argument_count, char** arguments) {
    ::signal(SIGPIPE, SIG_IGN);
    folder = argument_count > 1 ? arguments[1] : ".";
    const char* wanted = std::getenv("TROUBLE");
    trouble = wanted == nullptr || std::string(wanted) != "0";
    Record::get().open(folder + "/record.txt");
    note("%s", trouble ? "with the disruption" : "TROUBLE=0: without the disruption");
    // Ends a script that hangs; its processes end with it.
    std::thread([] {
      std::this_thread::sleep_for(std::chrono::seconds(116));
      note("could not run: over 116 s");
      ::_exit(kCouldNotRun);
    }).detach();
  }
};

/// Ends the fleet and the script, whose threads may still wait for something.
[[noreturn]] inline void finish(Fleet& fleet, int outcome, const std::string& why) {
  note("exit %d: %s", outcome, why.c_str());
  std::printf("exit %d: %s\n", outcome, why.c_str());
  std::fflush(stdout);
  fleet.end();
  ::_exit(outcome);
}

}  // namespace review
