#include "ledger/accepted_value.hpp"

#include "common/hash.hpp"

namespace madderdeck::ledger {
namespace {
std::uint64_t checksum_of(const Ballot& ballot, std::string_view value) {
  return stable_hash(value, ballot.counter ^ ballot.proposer);
}
}  // namespace

std::optional<accepted_view> view_accept(std::string_view bytes) {
  const wire::aligned_bytes aligned(bytes);
  const auto* state = wire::verified_root<wire::AcceptState>(aligned);
  if (state == nullptr) {
    return std::nullopt;
  }
  accepted_view view;
  if (state->ballot() != nullptr) {
    view.ballot = Ballot{state->ballot()->counter(), state->ballot()->proposer()};
  }
  if (const auto* value = state->value()) {
    // Of the given bytes, since an aligned copy ends with this function.
    view.value = bytes.substr(static_cast<std::size_t>(value->data() - aligned.data()), value->size());
  }
  return state->checksum() == checksum_of(view.ballot, view.value) ? std::optional(view) : std::nullopt;
}

wire::Bytes encode_accept(const Ballot& ballot, const wire::Bytes& value) {
  wire::AcceptStateT state;
  state.ballot = to_wire(ballot);
  state.value = value;
  state.checksum = checksum_of(ballot, {reinterpret_cast<const char*>(value.data()), value.size()});
  return wire::encode_record(state);
}

}  // namespace madderdeck::ledger
