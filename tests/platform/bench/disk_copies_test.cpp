#include "disk_copies.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck::users_platform::bench;

namespace {

constexpr std::uint32_t kGroups = 2;
constexpr std::size_t kMajority = 2;

copy_line admitted(const std::string& node, std::uint32_t group, std::uint64_t at_unix_ms) {
  return {node, group, at_unix_ms, true};
}

/// Three disks, of which a's is lost at 1,000 and back as a new one at 1,500.
disk_lives one_lost() {
  disk_lives disks;
  for (const char* node : {"a", "b", "c"}) {
    disks.note_started(node, 100);
  }
  disks.note_founded();
  disks.note_lost("a", 1'000);
  disks.note_started("a", 1'500);
  return disks;
}

}  // namespace

TEST_CASE("a disk lives from its node's first start with it until it is lost") {
  disk_lives disks = one_lost();
  disks.note_started("b", 2'000);  // a restart with its disk
  disks.note_lost("a", 3'000);
  disks.note_lost("a", 3'100);  // it has none
  const std::vector<disk_life> expected = {
      {"a", 100, 1'000, true}, {"b", 100, 0, true}, {"c", 100, 0, true}, {"a", 1'500, 3'000, false}};
  CHECK(disks.all() == expected);
}

TEST_CASE("a start with a new disk is told from others") {
  disk_lives disks;
  CHECK_FALSE(disks.note_started("a", 100));  // founding
  disks.note_founded();
  CHECK_FALSE(disks.note_started("a", 200));
  disks.note_lost("a", 300);
  CHECK(disks.note_started("a", 400));
  CHECK_FALSE(disks.note_started("a", 500));
}

TEST_CASE("lines about copies are read, others are none") {
  CHECK(parse_copy_line("a", R"({"time_ms":7,"event":"replica_admitted","group":1,"epoch":2})") == admitted("a", 1, 7));
  const std::string waiting =
      R"({"time_ms":9,"event":"replica_not_admitted","group":0,"epoch":2,"waits_ms":5000,"waits_for":"b copying"})";
  CHECK(parse_copy_line("a", waiting) == copy_line{"a", 0, 9, false});
  CHECK_FALSE(parse_copy_line("a", R"({"time_ms":7,"event":"group_changed","detail":"replica_admitted"})"));
  CHECK_FALSE(parse_copy_line("a", "replica_admitted"));
}

TEST_CASE("founding disks are whole from the start, new ones from their admission on, group by group") {
  const copy_history copies(one_lost().all(), {admitted("a", 0, 4'000)}, kGroups);
  CHECK(copies.whole_copies(0, 999) == 3);
  CHECK(copies.whole_copies(0, 1'000) == 2);
  CHECK(copies.whole_copies(0, 3'999) == 2);
  CHECK(copies.whole_copies(0, 4'000) == 3);
  CHECK(copies.whole_copies(1, 9'000) == 2);
  CHECK(copies.most_whole_copies(0, 1'000, 3'999) == 2);
  CHECK(copies.most_whole_copies(0, 1'000, 4'000) == 3);
  CHECK(copies.most_whole_copies(1, 900, 9'000) == 3);
}

TEST_CASE("an admission belongs to the disk that the node had then") {
  disk_lives disks = one_lost();
  disks.note_lost("a", 5'000);
  disks.note_started("a", 6'000);
  const copy_history copies(disks.all(), {admitted("a", 0, 4'000)}, kGroups);
  CHECK(copies.whole_copies(0, 4'999) == 3);
  CHECK(copies.whole_copies(0, 7'000) == 2);
}

TEST_CASE("times of copies run from a new disk's start to its admission") {
  const std::vector<copy_line> lines = {
      admitted("a", 0, 4'000), admitted("a", 0, 8'000), {"a", 1, 6'500, false}, {"a", 1, 9'000, false}};
  const copy_times times = copy_history(one_lost().all(), lines, kGroups).times(10'000);
  CHECK(times == copy_times{1, 2, 2'500, 1, 8'500});
}

TEST_CASE("a copy that its disk was lost before is not unfinished") {
  disk_lives disks = one_lost();
  disks.note_lost("a", 5'000);
  CHECK(copy_history(disks.all(), {}, kGroups).times(10'000) == copy_times{1, 0, 0, 0, 0});
}

TEST_CASE("a whole disk that is lost before another one has its copies is an early loss") {
  disk_lives disks = one_lost();
  disks.note_lost("b", 5'000);
  CHECK(copy_history(disks.all(), {admitted("a", 0, 4'000)}, kGroups).early_losses(1) == 1);
  CHECK(copy_history(disks.all(), {admitted("a", 0, 4'000)}, kGroups).early_losses(2) == 0);
  CHECK(copy_history(disks.all(), {admitted("a", 0, 4'000), admitted("a", 1, 5'000)}, kGroups).early_losses(1) == 0);
  CHECK(copy_history(disks.all(), {admitted("a", 0, 4'000), admitted("a", 1, 5'001)}, kGroups).early_losses(1) == 1);
}

TEST_CASE("a disk that lacks copies may be lost again, which is no early loss") {
  disk_lives disks = one_lost();
  disks.note_lost("a", 2'000);
  disks.note_started("a", 2'500);
  CHECK(copy_history(disks.all(), {}, kGroups).early_losses(1) == 0);
}

TEST_CASE("a group that had a majority of whole copies must be readable") {
  disk_lives disks = one_lost();
  disks.note_lost("b", 6'000);
  const copy_history copies(disks.all(), {}, kGroups);
  const std::map<std::string, bool> jobs = {{"j-1", false}, {"j-2", false}, {"j-3", false}, {"j-4", false},
                                            {"j-5", false}, {"j-6", false}, {"j-7", false}, {"j-8", false}};
  std::size_t unread = 0;
  for (const group_outcome& one : outcomes_of(copies, jobs, {5'000, 5'999, 9'000})) {
    CHECK(one.most_whole_copies == 2);
    CHECK(one.whole_at_closing == 2);
    CHECK(one.whole_at_end == 1);
    CHECK(one.jobs == one.jobs_unread);
    CHECK(is_broken(one, kMajority) == (one.jobs > 0));
    unread += one.jobs_unread;
  }
  CHECK(unread == jobs.size());
  for (const group_outcome& one : outcomes_of(copies, jobs, {6'000, 6'000, 9'000})) {
    CHECK_FALSE(is_broken(one, kMajority));  // it had one whole copy only
  }
  for (const group_outcome& one : outcomes_of(copies, {{"j-1", true}}, {5'000, 6'000, 9'000})) {
    CHECK_FALSE(is_broken(one, kMajority));
  }
}
