#pragma once
/// @file Notices changes of a settings file.

#include <optional>
#include <string>

namespace madderdeck::config {

/// Compares the text of a settings file with that of the look before. The text, since times of files are too coarse for
/// a file that is written twice at once.
class settings_watch {
 public:
  /// @param path of the file; empty: there is none, and nothing ever changes.
  explicit settings_watch(std::string path) : path_(std::move(path)) {}

  /// @return whether the text differs from that of the last look; the first look finds every file changed. A file that
  ///         cannot be read has a text of its own.
  bool has_changed();

 private:
  const std::string path_;
  bool has_looked_ = false;
  std::optional<std::string> text_;  ///< Nothing: the file could not be read.
};

}  // namespace madderdeck::config
