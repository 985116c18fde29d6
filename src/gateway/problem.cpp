#include "gateway/problem.hpp"

#include <boost/json.hpp>

namespace madderdeck::gateway {

unsigned http_status_for(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::invalid_argument:
      return 400;
    case ErrorKind::unauthenticated:
      return 401;
    case ErrorKind::not_found:
      return 404;
    case ErrorKind::conflict:
    case ErrorKind::cancelled:
      return 409;
    case ErrorKind::limit_exceeded:
      return 429;
    case ErrorKind::header_too_large:
      return 431;
    case ErrorKind::body_too_large:
      return 413;
    case ErrorKind::deadline_exceeded:
      return 504;
    case ErrorKind::upstream_failed:
    case ErrorKind::quarantined:
      return 502;
    case ErrorKind::unavailable:
    case ErrorKind::ambiguous:
    case ErrorKind::version_gone:
    case ErrorKind::version_unknown:
      return 503;
    case ErrorKind::address_in_use:
    case ErrorKind::storage_unwritable:
    case ErrorKind::corrupted:
      break;
  }
  return 500;
}

std::string problem_body(const routing::Refusal& refusal) {
  const std::string kind(error_kind_name(refusal.error.kind));
  boost::json::object document{{"type", "urn:madderdeck:error:" + kind},
                               {"title", kind},
                               {"status", http_status_for(refusal.error.kind)},
                               {"detail", refusal.error.detail},
                               {"ran", refusal.ran == routing::Ran::no ? "no" : "unknown"}};
  if (refusal.retry_after.count() > 0) {
    document["retry_after_ms"] = refusal.retry_after / 1ms;
  }
  return boost::json::serialize(document);
}

net::HttpResponse problem(const routing::Refusal& refusal) {
  net::HttpResponse response;
  response.status = http_status_for(refusal.error.kind);
  response.content_type = "application/problem+json";
  response.body = problem_body(refusal);
  if (refusal.retry_after.count() > 0) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retry_after).count();
    response.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  return response;
}

net::HttpResponse problem(const Error& error) {
  return problem(routing::Refusal{error, routing::Ran::no, Duration::zero()});
}

}  // namespace madderdeck::gateway
