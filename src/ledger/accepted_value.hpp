#pragma once
/// @file Accepted values of records as a disk stores them.

#include <optional>
#include <string_view>

#include "ledger/ballot.hpp"
#include "wire/codec.hpp"

namespace madderdeck::ledger {

/// A view of a stored accepted value.
struct accepted_view {
  Ballot ballot;
  std::string_view value;
};

/// Checks an accepted value in place: values may be megabytes large, and most callers need only the ballot.
/// @return a view into @p bytes; nothing if they are damaged.
std::optional<accepted_view> view_accept(std::string_view bytes);

/// @return the bytes to store for @p value, accepted at @p ballot, with a checksum over both.
wire::Bytes encode_accept(const Ballot& ballot, const wire::Bytes& value);

}  // namespace madderdeck::ledger
