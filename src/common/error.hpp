#pragma once
/// @file Error types. Every function that can fail returns a std::variant of its value and an Error.

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace madderdeck {

/// Every kind of failure the system reports. The name of the kind is part of the public API
/// (problem documents, exit codes, counters), so kinds are added but never renamed.
enum class ErrorKind {
  invalid_argument,    ///< The input is malformed or out of range; retrying cannot help.
  unauthenticated,     ///< The key belongs to no known tenant.
  not_found,           ///< The named object does not exist.
  conflict,            ///< Another write came first; the detail names the current version.
  limit_exceeded,      ///< A size, rate or concurrency limit was reached.
  unavailable,         ///< Nothing was done; a later attempt may succeed.
  ambiguous,           ///< The effect is unknown: it may or may not have taken place.
  cancelled,           ///< The caller or an operator cancelled the work.
  address_in_use,      ///< A listening address is already in use.
  storage_unwritable,  ///< The data folder cannot be created, locked or written.
  corrupted,           ///< Stored or received data fails its integrity check.
  header_too_large,    ///< The head of a request is larger than allowed.
  body_too_large,      ///< The body of a request is larger than allowed.
  deadline_exceeded,   ///< No complete answer arrived before the deadline.
  upstream_failed,     ///< The back end broke off its answer or sent an invalid one.
  quarantined,         ///< Back ends terminated while they ran equal requests, so this one is not sent.
  version_gone,        ///< No back end has the software version that began the stream; it can only be begun anew.
  version_unknown,     ///< Which software version began the stream is not known; it can only be begun anew.
};

/// A failure with its kind and a human readable detail.
struct Error {
  ErrorKind kind;
  std::string detail;
};

/// Success of a function that returns no value.
struct Ok {};

template <class Value>
using Result = std::variant<Value, Error>;
using Status = Result<Ok>;

/// @return the stable lower-case name of @p kind, for problem documents and logs.
std::string_view error_kind_name(ErrorKind kind);

/// @return the process exit code of the command line programs for @p kind (10 and above).
int exit_code_for(ErrorKind kind);

template <class Value>
bool succeeded(const Result<Value>& result) {
  return std::holds_alternative<Value>(result);
}
template <class Value>
Value& value_of(Result<Value>& result) {
  return std::get<Value>(result);
}
template <class Value>
const Value& value_of(const Result<Value>& result) {
  return std::get<Value>(result);
}
template <class Value>
const Error& error_of(const Result<Value>& result) {
  return std::get<Error>(result);
}

}  // namespace madderdeck
