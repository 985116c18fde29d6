#include "cli/table.hpp"

#include <algorithm>
#include <iostream>

namespace madderdeck::cli {

std::string plain(const boost::json::value& value) {
  return value.is_string() ? std::string(value.as_string()) : boost::json::serialize(value);
}

void print_table(const boost::json::array& rows, const std::vector<std::string>& columns) {
  std::vector<std::vector<std::string>> cells{columns};
  for (std::string& title : cells.front()) {
    std::transform(title.begin(), title.end(), title.begin(),
                   [](unsigned char letter) { return std::toupper(letter); });
  }
  for (const boost::json::value& row : rows) {
    std::vector<std::string> line;
    for (const std::string& column : columns) {
      const boost::json::value* cell = row.as_object().if_contains(column);
      line.push_back(cell == nullptr ? "-" : plain(*cell));
    }
    cells.push_back(std::move(line));
  }
  for (const auto& line : cells) {
    for (std::size_t column = 0; column < columns.size(); ++column) {
      std::size_t width = 0;
      for (const auto& other : cells) {
        width = std::max(width, other[column].size());
      }
      std::cout << line[column] << std::string(column + 1 < columns.size() ? width - line[column].size() + 2 : 0, ' ');
    }
    std::cout << "\n";
  }
}

}  // namespace madderdeck::cli
