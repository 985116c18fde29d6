#pragma once
/// @file Interface through which a gateway records which software version writes a stream, and looks it up for a caller
/// that resumes the stream at another gateway.

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/environment.hpp"
#include "forwarding/request.hpp"

namespace madderdeck::forwarding {

/// Identifies a stream for all attempts of its caller: a hash of the id of the attempt that brought the first event and
/// of what makes attempts the same request (tenant, method, target, body).
struct stream_key {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const stream_key&) const = default;
};

/// @param first_attempt id of the attempt that brought the first event.
stream_key stream_key_of(const ForwardedRequest& request, const std::string& first_attempt);

/// Where a stream began. Immutable.
struct stream_origin {
  std::string pool;
  std::string software_version;  ///< Empty: the back end stated none, so that no back end can continue the stream.

  bool operator==(const stream_origin&) const = default;
};

/// A lookup for a caller that resumes a stream. Immutable.
struct stream_query {
  std::string request;             ///< Id of the attempt, for the log.
  std::optional<stream_key> key;   ///< Empty: the caller does not say which attempt began the stream.
  std::vector<std::string> pools;  ///< Those in which the stream may have begun; never empty.
  Duration longest_stream{};       ///< A stream that began earlier than this before now can no longer be resumed.
};

/// Single threaded.
class stream_directory {
 public:
  using found = std::function<void(std::optional<stream_origin>)>;
  using ticket = std::uint64_t;

  virtual ~stream_directory() = default;
  /// Records where a stream began.
  /// @param valid_for time for which its caller may resume it.
  /// @param several_pools whether it might have begun in another pool as well.
  virtual void record(const stream_key& key, const stream_origin& origin, Duration valid_for, bool several_pools) = 0;
  /// Looks up where a stream began. @p done runs once, perhaps before this returns; with nothing if that is not known
  /// for certain.
  /// @return the ticket that withdraw() takes.
  virtual ticket look_up(stream_query query, found done) = 0;
  /// Cancels a lookup; its callback does not run.
  virtual void withdraw(ticket lookup) = 0;
};

}  // namespace madderdeck::forwarding
