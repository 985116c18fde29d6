#pragma once
/// @file Routes: which pool of back ends a request is forwarded to, and with which time limits, retries and priority.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/environment.hpp"
#include "common/error.hpp"
#include "tenancy/tenant_directory.hpp"

namespace madderdeck::forwarding {

/// Kind of the requests of a route.
enum class RouteKind {
  repeatable,    ///< May run more than once.
  unrepeatable,  ///< Runs at most once for each request.
  stream,        ///< Answered by a stream of events; runs at most once unless it is resumable.
  batch,         ///< Accepts batch jobs.
};

/// A pool and its share of a route's requests.
struct WeightedPool {
  std::string pool;
  std::uint32_t weight = 1;
};

/// One route. Times are in milliseconds; zero means not set.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  RouteKind kind = RouteKind::repeatable;
  std::vector<WeightedPool> pools;
  std::uint32_t timeout_ms = 0;         ///< Longest time from a request's arrival to the end of its answer.
  std::uint32_t target_ms = 0;          ///< Time within which an answer counts as in time.
  std::uint32_t silence_ms = 0;         ///< Callers give up a stream that brought no data for so long.
  std::uint32_t max_attempts = 1;       ///< Number of back ends that one request may run on.
  std::uint32_t priority = 0;           ///< 0 is the most urgent.
  bool resumable = false;               ///< A stream may be resumed on another back end.
  bool prefix_affinity = false;         ///< Requests with the same prompt prefix prefer the same back end.
  bool needs_no_key = false;            ///< Callers without a key are served as well.
  std::uint32_t run_target_ms = 0;      ///< For batch: time within which all results are due.
  std::uint64_t max_queued_tokens = 0;  ///< For batch: limit on one tenant's queued tokens on all nodes; 0: none.
  std::uint32_t keep_ms = 0;            ///< For batch: time after which an item may be given up.

  /// @return whether a request of this route may run more than once.
  bool may_repeat() const { return kind == RouteKind::repeatable || (kind == RouteKind::stream && resumable); }
};

/// A pool of back ends of one kind.
struct Pool {
  std::string name;
  std::uint32_t max_connections = 0;  ///< To one back end from all callers together; 0: not set.
  std::uint32_t warm_up_ms = 0;   ///< Time after its start for which a back end can take only few requests; 0: none.
  double warm_up_per_second = 0;  ///< Requests per second of all callers that it can take in that time; 0: no limit.
  std::string health_path;        ///< At which a back end tells who it is; empty: it cannot be asked.
};

/// Limits on the size of callers' requests and on the time that their connections may take.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint32_t max_body_bytes = 4 * 1024 * 1024;
  std::uint32_t header_timeout_ms = 10'000;
  std::uint32_t idle_timeout_ms = 60'000;
};

/// All routes of the fleet at one version. Immutable once published.
struct RouteTable {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Pool> pools;
  CallerLimits limits;
  tenancy::tenant_directory tenants;  ///< Empty: callers need no key.

  /// @return the route of @p host with the longest prefix that begins @p path, or null.
  const Route* match(std::string_view host, std::string_view path) const;
  /// @return the batch route of @p host that is named @p name; if there is none, its batch route with @p path_prefix
  ///         unless that is empty; or null. All items of a job belong to the route that accepted the job.
  const Route* find_batch_route(std::string_view host, std::string_view name, std::string_view path_prefix) const;
  const Pool* find_pool(std::string_view name) const;
};
using RouteTablePointer = std::shared_ptr<const RouteTable>;

/// Reads the JSON form of format_route_table().
/// @return ErrorKind::invalid_argument with a description of the error.
Result<RouteTable> parse_route_table(std::string_view text);
std::string format_route_table(const RouteTable& table);

inline constexpr char kRouteTableKind[] = "route_table";

}  // namespace madderdeck::forwarding
