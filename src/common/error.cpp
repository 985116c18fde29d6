#include "common/error.hpp"

#include <array>

namespace madderdeck {
namespace {
constexpr std::array<std::string_view, 18> kNames = {
    "invalid_argument", "unauthenticated",  "not_found",      "conflict",          "limit_exceeded",
    "unavailable",      "ambiguous",        "cancelled",      "address_in_use",    "storage_unwritable",
    "corrupted",        "header_too_large", "body_too_large", "deadline_exceeded", "upstream_failed",
    "quarantined",      "version_gone",     "version_unknown"};
constexpr int kFirstExitCode = 10;
}  // namespace

std::string_view error_kind_name(ErrorKind kind) { return kNames.at(static_cast<std::size_t>(kind)); }

int exit_code_for(ErrorKind kind) { return kFirstExitCode + static_cast<int>(kind); }

}  // namespace madderdeck
