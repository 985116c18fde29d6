#pragma once
/// @file Routes: which pool of back ends a passed-on request goes to, and on what terms.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/environment.hpp"
#include "common/error.hpp"
#include "tenancy/tenant_directory.hpp"

namespace madderdeck::forwarding {

/// What kind of work a route carries.
enum class RouteKind {
  repeatable,    ///< May run more than once.
  unrepeatable,  ///< Runs at most once for each request.
  stream,        ///< Answered by a stream of events; runs once unless it may be resumed.
  batch,         ///< Takes batch jobs.
};

/// A pool and its share of a route's requests.
struct WeightedPool {
  std::string pool;
  std::uint32_t weight = 1;
};

/// One route. Times are milliseconds; zero means not stated.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  RouteKind kind = RouteKind::repeatable;
  std::vector<WeightedPool> pools;
  std::uint32_t timeout_ms = 0;         ///< Longest that a request may be held.
  std::uint32_t target_ms = 0;          ///< An answer within it is in time.
  std::uint32_t silence_ms = 0;         ///< Callers give a stream up that has brought nothing for so long.
  std::uint32_t max_attempts = 1;       ///< Back ends that one request may run on.
  std::uint32_t priority = 0;           ///< 0 is the most urgent.
  bool resumable = false;               ///< A stream may go on at another back end.
  bool prefix_affinity = false;         ///< Requests with the same prompt start belong together.
  bool needs_no_key = false;            ///< Callers that show no key are served, too.
  std::uint32_t run_target_ms = 0;      ///< For batch: when all results are due.
  std::uint64_t max_queued_tokens = 0;  ///< For batch: what may wait of one tenant over all nodes; 0: no limit.
  std::uint32_t keep_ms = 0;            ///< For batch: when an item may be given up.

  /// @return whether running the request twice does no harm.
  bool may_repeat() const { return kind == RouteKind::repeatable || (kind == RouteKind::stream && resumable); }
};

/// A pool of back ends of one kind.
struct Pool {
  std::string name;
  std::uint32_t max_connections = 0;  ///< To one back end from all callers together; 0: not stated.
  std::uint32_t warm_up_ms = 0;       ///< For so long after its start a back end bears few requests; 0: not at all.
  double warm_up_per_second = 0;      ///< Requests that one bears meanwhile, of all callers together; 0: any number.
};

/// What callers may send and how long they may take.
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
  tenancy::tenant_directory tenants;  ///< Empty: no keys are asked for.

  /// @return the route of @p host with the longest prefix that begins @p path, or null.
  const Route* match(std::string_view host, std::string_view path) const;
  const Pool* find_pool(std::string_view name) const;
};
using RouteTablePointer = std::shared_ptr<const RouteTable>;

/// Reads the JSON form of format_route_table().
/// @return ErrorKind::invalid_argument with the field at fault.
Result<RouteTable> parse_route_table(std::string_view text);
std::string format_route_table(const RouteTable& table);

inline constexpr char kRouteTableKind[] = "route_table";

}  // namespace madderdeck::forwarding
