#pragma once
/// @file The whole path of an answer on real sockets: two scripted engines, a node, and a caller's connection.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emulator/server_support.hpp"
#include "engine_client.hpp"
#include "ingress.hpp"
#include "net/http_server.hpp"
#include "node/node_core.hpp"
#include "support/raw_caller.hpp"
#include "support/raw_engine.hpp"

namespace madderdeck::tests {

/// Kinds of routes of an answer_path.
enum class answer_kind { stream, resumable_stream, repeatable, unrepeatable };
inline constexpr answer_kind kKinds[] = {answer_kind::stream, answer_kind::resumable_stream, answer_kind::repeatable,
                                         answer_kind::unrepeatable};
/// @return the name of the route of @p kind; its path prefix is the name between slashes.
const char* name_of(answer_kind kind);
bool is_stream(answer_kind kind);
/// @return whether a request that an engine may have begun may be sent to another one.
bool may_retry_elsewhere(answer_kind kind);

/// @return the value of the header @p name in the head of a request; empty if it has none.
std::string value_after(const std::string& head, const std::string& name);

/// A platform client that never responds: the tests pass the configuration directly to the node.
class silent_store : public object_store::PlatformClient {
 public:
  void watch_objects(std::uint64_t, Duration, object_store::ChangesDone) override {}
  void watch_machines(std::uint64_t, Duration, object_store::ChangesDone) override {}
  void get(const config::EntryKey&, object_store::GetDone) override {}
  void put(const object_store::PutRequest&, object_store::PutDone) override {}
};

/// Outcome of one run of a batch item.
struct item_outcome {
  std::vector<std::string> events;
  std::optional<std::uint32_t> finished_at;
  std::optional<routing::CallFailure> failure;
  bool ended() const { return finished_at || failure; }
};

/// A node with its listener for callers and two engines. An engine's load report is answered with 404.
class answer_path {
 public:
  static constexpr char kEntry[] = "127.91.3.1:9320";  ///< Where callers connect.

  /// @param answer to each request by its head, whichever engine has it.
  explicit answer_path(raw_engine::answers answer);

  void let_engines_leave();
  /// Sends @p bytes on a connection of its own.
  /// @return what came until the answer or the connection ended; not `ended` if neither did within 10 s.
  caller_answer call(const std::string& bytes);
  /// Runs a batch item with @p body at the first engine, after event @p resume_from.
  /// @return what came of it; not ended() if nothing did within 10 s.
  std::shared_ptr<const item_outcome> run_item(const std::string& body = "body", std::uint32_t resume_from = 0);

  boost::asio::io_context context{1};

 private:
  raw_answer answer_to(const std::string& request_head);
  void configure();
  void list_engines(std::uint64_t revision, bool leaving);

  raw_engine::answers answer_;
  emulator::ServerEnvironment environment_{context};
  Counters counters_;
  NoDecisionLog log_;
  silent_store store_;
  net::HttpClient client_{context, ""};
  users_platform::EngineClient engine_client_{client_};
  node::NodeCore core_;
  gateway::ApiContext api_{core_, "", [] {}};
  users_platform::Ingress ingress_{api_};
  std::vector<std::unique_ptr<raw_engine>> engines_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace madderdeck::tests
