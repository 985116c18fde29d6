#pragma once
/// @file Converts the replica groups in a node's status into table rows.

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace madderdeck::cli {

/// Table rows with the columns that are printed.
struct table_rows {
  boost::json::array rows;
  std::vector<std::string> columns;
};

/// @return a row for each member of each group; nodes of earlier versions report no groups, or fewer fields of them.
table_rows member_rows(const boost::json::value& status);
/// @return a row for each permanently gone disk that is named by a group without a majority.
table_rows gone_disk_rows(const boost::json::value& status);

}  // namespace madderdeck::cli
