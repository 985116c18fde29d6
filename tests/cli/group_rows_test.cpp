/// Tests the tables of replica groups that `madderdeck status` prints.
#include <catch2/catch.hpp>
#include <iostream>
#include <sstream>

#include "cli/group_rows.hpp"
#include "cli/table.hpp"

using namespace madderdeck::cli;
namespace json = boost::json;

namespace {

constexpr char kStatus[] = R"({"groups":[
  {"group":0,"epoch":3,"counting":2,"needed":2,"majority":true,"gone_for_good":[],"members":[
    {"node":"a","disk":"disk-a","state":"admitted","state_for_ms":8000,"why":"its own word","address":"a:1"}]},
  {"group":1,"epoch":4,"counting":1,"needed":2,"majority":false,
   "gone_for_good":[{"node":"b","disk":"disk-b","reason":"disk_replaced","why":"its node runs with disk-b2"},
                    {"node":"c","disk":"disk-c","reason":"emptied","why":"its node was emptied"}],
   "members":[
    {"node":"a","disk":"disk-a","state":"admitted","state_for_ms":8000,"why":"its own word","address":"a:1"},
    {"node":"b","disk":"disk-b","state":"disk_replaced","state_for_ms":2000,"why":"its node runs with disk-b2",
     "heard_ms_ago":4200,"address":"b:1"}]}]})";

/// @return the printed text of @p table.
std::string printed(const table_rows& table) {
  std::ostringstream text;
  std::streambuf* const before = std::cout.rdbuf(text.rdbuf());
  print_table(table.rows, table.columns);
  std::cout.rdbuf(before);
  return text.str();
}

}  // namespace

TEST_CASE("the table of permanently gone disks names the group, the disk and the reason") {
  CHECK(printed(gone_disk_rows(json::parse(kStatus))) ==
        "GROUP  EPOCH  DISK      REASON         WHY\n"
        "1      4      b/disk-b  disk_replaced  its node runs with disk-b2\n"
        "1      4      c/disk-c  emptied        its node was emptied\n");
}

TEST_CASE("the table of members shows a group's own figures in its first row") {
  CHECK(printed(member_rows(json::parse(kStatus))) ==
        "GROUP  EPOCH  VOTES  MAJORITY  MEMBER    STATE          FOR_S  HEARD_S_AGO  ADDRESS  WHY\n"
        "0      3      2/2    true      a/disk-a  admitted       8      -            a:1      its own word\n"
        "1      4      1/2    false     a/disk-a  admitted       8      -            a:1      its own word\n"
        "                               b/disk-b  disk_replaced  2      4            b:1      its node runs with "
        "disk-b2\n");
}

TEST_CASE("nodes of earlier versions report no gone disks, or no groups at all") {
  CHECK(gone_disk_rows(json::parse(R"({"groups":[{"group":0,"epoch":1,"members":[]}]})")).rows.empty());
  CHECK(gone_disk_rows(json::parse("{}")).rows.empty());
  CHECK(member_rows(json::parse("{}")).rows.empty());
}
