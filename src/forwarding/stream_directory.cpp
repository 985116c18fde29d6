#include "forwarding/stream_directory.hpp"

#include "common/hash.hpp"

namespace madderdeck::forwarding {

stream_key stream_key_of(const ForwardedRequest& request, const std::string& first_attempt) {
  const routing::request_fingerprint same_request = fingerprint_of(request);
  return {stable_hash(first_attempt, same_request.high()), stable_hash(first_attempt, same_request.low())};
}

}  // namespace madderdeck::forwarding
