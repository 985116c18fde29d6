#pragma once
/// @file Peers' word on how fresh a table is, as real peers give it: a claim, and the answer to the question it brings.

#include "config/versioned_table.hpp"
#include "support/test_environment.hpp"

namespace madderdeck::tests {

/// Answers what @p table has asked since the last answer.
inline void answer_age_question(TestEnvironment& environment, config::TableReplicator& table, std::uint64_t revision,
                                std::uint32_t age_ms) {
  for (auto message = environment.sent.rbegin(); message != environment.sent.rend(); ++message) {
    if (message->body.type != wire::Message::RevisionQuestion ||
        wire::EnumNameTableId(message->body.AsRevisionQuestion()->table) != table.name()) {
      continue;
    }
    wire::RevisionAnswerT answer;
    answer.table = message->body.AsRevisionQuestion()->table;
    answer.number = message->body.AsRevisionQuestion()->number;
    answer.revision = revision;
    answer.age_ms = age_ms;
    table.handle(answer);
    return;
  }
}

/// @p peer claims to hold @p revision and confirms it at once when asked.
inline void hear_and_confirm(TestEnvironment& environment, config::TableReplicator& table, const PeerAddress& peer,
                             std::uint64_t revision, std::uint32_t age_ms) {
  table.on_peer_revision(peer, revision, age_ms);
  answer_age_question(environment, table, revision, age_ms);
}

}  // namespace madderdeck::tests
