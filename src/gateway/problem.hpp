#pragma once
/// @file Error responses to callers: problem documents (RFC 9457).

#include "common/error.hpp"
#include "net/http_types.hpp"
#include "routing/outcome.hpp"

namespace madderdeck::gateway {

/// @return the HTTP status for @p kind.
unsigned http_status_for(ErrorKind kind);

/// Builds a problem document with the members type, title, status, detail, ran and, where
/// a retry may succeed, retry_after_ms (with a Retry-After header).
net::HttpResponse problem(const routing::Refusal& refusal);

/// As above for a request that certainly did not run and would fail again.
net::HttpResponse problem(const Error& error);

/// @return only the JSON text of the problem document, for a stream whose head has been sent.
std::string problem_body(const routing::Refusal& refusal);

}  // namespace madderdeck::gateway
