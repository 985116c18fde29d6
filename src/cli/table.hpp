#pragma once
/// @file Output of command results as a table for people or as JSON for scripts.

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace madderdeck::cli {

/// Prints the named members of each object as aligned columns.
void print_table(const boost::json::array& rows, const std::vector<std::string>& columns);

/// @return a JSON value as text for people: strings without quotes.
std::string plain(const boost::json::value& value);

}  // namespace madderdeck::cli
