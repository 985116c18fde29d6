#pragma once
/// @file The decisions of a tenant's keeper, the node that counts the tenant's requests over all nodes.

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "tenancy/tenant_directory.hpp"
#include "tenancy/usage_window.hpp"

namespace madderdeck::tenancy {

/// A tenant's rate limit, as one version of the configuration states it.
struct configured_rate {
  std::string tenant;
  std::uint64_t version = 0;  ///< Version of the configuration; a keeper applies the latest it has seen.
  rate_limit limit;

  auto operator<=>(const configured_rate&) const = default;
};

/// A node's request to a keeper for permission to admit requests of a tenant.
struct rate_query {
  std::string node;
  configured_rate rate;
  std::uint32_t wanted = 1;
  std::uint32_t recent = 0;  ///< Requests that the node has admitted within the window, with or without a keeper.
};

struct rate_answer {
  std::uint32_t granted = 0;
  double used = 0;         ///< Requests counted for all nodes within the window, before this grant.
  double allowed = 0;      ///< Requests allowed within the window.
  Duration retry_after{};  ///< If nothing is granted: time until a request will likely be allowed.
};

/// How long a grant is valid. The window in which grants are counted is longer by this time, so that no window of uses
/// exceeds the limit, however late each grant is used.
inline constexpr Duration kGrantLifetime = 250ms;

/// Counts for each node what it was granted or what it reports to have used, whichever is more. A keeper that has just
/// taken over thus learns from each node's first request what the previous keeper had granted to it. The usage of a
/// node that has become unreachable stays counted, scaled up to the limit, because the node may go on to use that share
/// while it reaches no keeper (see rate_limiter). The state need not be durable. Single threaded.
class rate_keeper {
 public:
  using reachable = std::function<bool(const std::string& node)>;

  /// @param window time over which the limit is applied: rate times window, plus the burst, are allowed within it.
  explicit rate_keeper(Duration window) : window_(window) {}

  /// @param nodes number of nodes that may ask, at least 1; limits a single grant to a node's share of what is free.
  rate_answer decide(const rate_query& query, const reachable& is_reachable, std::size_t nodes, Timestamp now);
  /// Removes tenants and nodes without recent usage.
  void remove_idle(Timestamp now);
  /// @return what @p limit allows within the window in which grants are counted.
  double allowed(const rate_limit& limit) const;

 private:
  struct node_usage {
    usage_window granted;
    std::uint32_t reported = 0;       ///< Usage that the node reported with its latest request.
    std::uint32_t granted_since = 0;  ///< Requests granted to it by that request and since.
    Timestamp reported_at{};
    double reserved = 0;            ///< Usage counted for the node while it is unreachable.
    Timestamp unreachable_since{};  ///< When the node was first found unreachable; zero while it is reachable.

    explicit node_usage(Duration span) : granted(span) {}
  };
  struct account {
    configured_rate rate;
    std::map<std::string, node_usage> usage_by_node;
    usage_window all_grants;

    explicit account(Duration span) : all_grants(span) {}
  };

  Duration span() const { return window_ + kGrantLifetime; }
  double node_total(const node_usage& usage, Timestamp now) const;
  /// @return the usage over all nodes, including what is reserved for unreachable nodes.
  double total_usage(account& tenant_account, const reachable& is_reachable, Timestamp now);

  const Duration window_;
  std::map<std::string, account> accounts_;
};

}  // namespace madderdeck::tenancy
