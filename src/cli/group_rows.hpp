#pragma once
/// @file The replica groups of a node's status as rows of tables.

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace madderdeck::cli {

/// Rows with the columns that are shown of them.
struct table_rows {
  boost::json::array rows;
  std::vector<std::string> columns;
};

/// @return a row for each member of each group; nodes of earlier versions tell no groups, or less of them.
table_rows member_rows(const boost::json::value& status);
/// @return a row for each disk that is gone for good and named by a group without a majority.
table_rows gone_disk_rows(const boost::json::value& status);

}  // namespace madderdeck::cli
