#pragma once
/// @file Errors towards callers: problem documents (RFC 9457).

#include "common/error.hpp"
#include "net/http_types.hpp"
#include "routing/outcome.hpp"

namespace madderdeck::gateway {

/// @return the HTTP status that goes with @p kind.
unsigned http_status_for(ErrorKind kind);

/// Builds a problem document with the members type, title, status, detail, ran and, where
/// coming back is of use, retry_after_ms (with a Retry-After header).
net::HttpResponse problem(const routing::Refusal& refusal);

/// As above for a request that certainly did not run and is not worth repeating.
net::HttpResponse problem(const Error& error);

/// @return the JSON text of the problem document alone, for a stream that has begun.
std::string problem_body(const routing::Refusal& refusal);

}  // namespace madderdeck::gateway
