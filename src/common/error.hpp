#pragma once
/// @file Typed failures. Every fallible call returns a std::variant of its value and an Error.

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace madderdeck {

/// Every kind of failure the system reports. The name of the kind is part of the public API
/// (problem documents, exit codes, counters), so kinds are added but never renamed.
enum class ErrorKind {
  invalid_argument,    ///< The input is malformed or out of range; retrying cannot help.
  unauthenticated,     ///< No known tenant goes with the presented key.
  not_found,           ///< The named thing does not exist.
  conflict,            ///< Another writer won; the detail names the version that stands.
  limit_exceeded,      ///< A size, rate or concurrency limit was reached.
  unavailable,         ///< Nothing was done; a later try may succeed.
  ambiguous,           ///< The effect is unknown: it may or may not have taken place.
  cancelled,           ///< The caller or an operator cancelled the work.
  address_in_use,      ///< A listening address is taken.
  storage_unwritable,  ///< The data folder cannot be created, locked or written.
  corrupted,           ///< Stored or received bytes fail their check.
  header_too_large,    ///< The head of a request is larger than allowed.
  body_too_large,      ///< The body of a request is larger than allowed.
  deadline_exceeded,   ///< No whole answer in the time there was.
  upstream_failed,     ///< The back end broke off or answered with what is no answer.
  quarantined,         ///< Back ends ended while they ran equal requests; this one is not sent.
};

/// A failure with its kind and a human readable detail.
struct Error {
  ErrorKind kind;
  std::string detail;
};

/// Marks success of a call that yields no value.
struct Ok {};

template <class Value>
using Result = std::variant<Value, Error>;
using Status = Result<Ok>;

/// @return the stable lower-case name of @p kind, for problem documents and logs.
std::string_view error_kind_name(ErrorKind kind);

/// @return the process exit code the command line uses for @p kind (10 and above).
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
