#pragma once
/// @file Error of a listening address that cannot be had.

#include <boost/system/error_code.hpp>
#include <cerrno>
#include <string>

#include "common/error.hpp"

namespace madderdeck::net {

/// @return ErrorKind::address_in_use when another socket has @p address, ErrorKind::unavailable when the system has no
///         descriptor or memory for the socket, ErrorKind::invalid_argument otherwise, for example if this machine does
///         not have the address.
inline Error listen_error(const std::string& address, const boost::system::error_code& failure) {
  ErrorKind kind = ErrorKind::invalid_argument;
  switch (failure.value()) {
    case EADDRINUSE:
      kind = ErrorKind::address_in_use;
      break;
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
      kind = ErrorKind::unavailable;
      break;
    default:
      break;
  }
  return Error{kind, address + ": " + failure.message()};
}

}  // namespace madderdeck::net
