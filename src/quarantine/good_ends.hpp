#pragma once
/// @file Remembers when runs of suspects (requests, or requests with a part of prompts) ended well, for those that
/// ended last.

#include <cstddef>
#include <list>
#include <map>

#include "quarantine/end_history.hpp"

namespace madderdeck::quarantine {

/// Keeps a bounded number of suspects; the ones whose last good end is the oldest are forgotten first. Single threaded.
class good_ends {
 public:
  /// A run of @p suspect ended well at @p at.
  void note_answer(const routing::request_fingerprint& suspect, UnixMilliseconds at);
  /// @return when a run of @p suspect ended well; 0 if that is not known.
  UnixMilliseconds last_answer(const routing::request_fingerprint& suspect) const;
  std::size_t size() const { return answers_.size(); }

  /// Of some 150 bytes each. Of requests more than this come once, of parts too.
  static constexpr std::size_t kMaxSuspects = 2048;

 private:
  struct answer {
    UnixMilliseconds at = 0;
    std::list<routing::request_fingerprint>::iterator place;
  };
  std::list<routing::request_fingerprint> latest_first_;
  std::map<routing::request_fingerprint, answer> answers_;
};

}  // namespace madderdeck::quarantine
