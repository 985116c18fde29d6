#include "config/settings_watch.hpp"

#include <fstream>
#include <sstream>
#include <utility>

namespace madderdeck::config {
namespace {

std::optional<std::string> text_of(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

bool settings_watch::has_changed() {
  if (path_.empty()) {
    return false;
  }
  std::optional<std::string> text = text_of(path_);
  const bool changed = !has_looked_ || text != text_;
  has_looked_ = true;
  text_ = std::move(text);
  return changed;
}

}  // namespace madderdeck::config
