#pragma once
/// @file Gives out what tenants may send, for all nodes: the decisions of a tenant's keeper.

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "tenancy/tenant_directory.hpp"
#include "tenancy/usage_window.hpp"

namespace madderdeck::tenancy {

/// A tenant's rate, as the configuration of one version states it.
struct stated_rate {
  std::string tenant;
  std::uint64_t version = 0;  ///< Of the configuration; the latest that a keeper hears of counts.
  rate_limit limit;

  auto operator<=>(const stated_rate&) const = default;
};

/// A node asks to let requests of a tenant in.
struct rate_question {
  std::string node;
  stated_rate rate;
  std::uint32_t wanted = 1;
  std::uint32_t recent = 0;  ///< What the node has let in within the window, by whomever it was granted.
};

struct rate_answer {
  std::uint32_t granted = 0;
  double used = 0;         ///< Of all nodes within the window, before this answer.
  double allowed = 0;      ///< What may be used within it.
  Duration retry_after{};  ///< Where nothing is granted: when a request will likely fit.
};

/// How long a grant may be used. The window in which grants are counted is longer by it, so that no window of uses
/// holds more than is allowed, however late in its time each grant is used.
inline constexpr Duration kGrantUseful = 250ms;

/// Counts what each node was granted and what it says it has used, whichever is more. A keeper that has just taken over
/// so learns from each asker's first question what the one before had granted to it. What a node used that cannot be
/// reached any more goes on counting, scaled up to the limit: cut off, it may go on by that share (rate_limiter).
/// Nothing here must last. Single threaded.
class rate_keeper {
 public:
  using reachable = std::function<bool(const std::string& node)>;

  /// @param window over which the limit is judged: rate times window, and the burst, are allowed within it.
  explicit rate_keeper(Duration window) : window_(window) {}

  /// @param nodes that may ask, at least 1; no one of them is given more than its part of what is free at once.
  rate_answer decide(const rate_question& question, const reachable& is_reachable, std::size_t nodes, Timestamp now);
  /// Forgets tenants and nodes that used nothing for long.
  void forget_idle(Timestamp now);
  /// @return what @p limit allows within the window in which grants are counted.
  double allowed(const rate_limit& limit) const;

 private:
  struct user {
    usage_window granted;
    std::uint32_t reported = 0;       ///< With its latest question,
    std::uint32_t granted_since = 0;  ///< and granted to it by that and since.
    Timestamp reported_at{};
    double reserved = 0;  ///< While it cannot be reached.
    Timestamp lost_at{};  ///< When that was first noticed; zero while it can be reached.

    explicit user(Duration span) : granted(span) {}
  };
  struct account {
    stated_rate rate;
    std::map<std::string, user> users;
    usage_window all;

    explicit account(Duration span) : all(span) {}
  };

  Duration span() const { return window_ + kGrantUseful; }
  double level(const user& one, Timestamp now) const;
  /// @return what counts as used, with the parts that are reserved for nodes out of reach.
  double used(account& of, const reachable& is_reachable, Timestamp now);

  const Duration window_;
  std::map<std::string, account> accounts_;
};

}  // namespace madderdeck::tenancy
