#include "loss_rule.hpp"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace madderdeck::users_platform::bench;

namespace {

const std::vector<std::string> kThree = {"a", "b", "c"};
const std::vector<std::string> kFive = {"a", "b", "c", "d", "e"};
constexpr std::chrono::milliseconds kCatchUp = 6s;

using names = std::vector<std::string>;

}  // namespace

TEST_CASE("separate losses: a node counts until it has been back for the catch-up time") {
  separate_losses rule(kThree, 1, kCatchUp);
  CHECK(rule.stoppable(1s) == allowance{kThree, 1});
  rule.note_stopped("b", 1s);
  CHECK(rule.stoppable(2s).at_once == 0);
  CHECK(rule.losable(2s).at_once == 0);
  rule.note_back("b", 3s);
  CHECK(rule.counts("b", 8'999ms));
  CHECK(rule.stoppable(8'999ms).at_once == 0);
  CHECK(rule.stoppable(9s) == allowance{kThree, 1});
  CHECK(rule.at_rest(9s));
}

TEST_CASE("separate losses: a node that is being emptied counts, one that was taken away does not") {
  separate_losses rule(kFive, 2, kCatchUp);
  rule.note_leaving("c");
  CHECK(rule.stoppable(1s) == allowance{{"a", "b", "d", "e"}, 1});
  CHECK_FALSE(rule.at_rest(1s));
  rule.note_left("c", 2s);
  CHECK(rule.stoppable(2s) == allowance{{"a", "b", "d", "e"}, 2});
  rule.note_stopped("a", 3s);
  CHECK(rule.stoppable(3s) == allowance{{"b", "d", "e"}, 1});
}

TEST_CASE("overlapping losses: all nodes may be stopped, and no more disks lost than tolerated") {
  overlapping_losses rule(kThree, 1, kCatchUp);
  CHECK(rule.stoppable(1s) == allowance{kThree, 3});
  rule.note_stopped("a", 1s);
  rule.note_disk_lost("a", 1s);
  CHECK(rule.stoppable(1s) == allowance{{"b", "c"}, 2});
  CHECK(rule.losable(1s) == allowance{{"a"}, 1});  // only the same one again
  rule.note_back("a", 2s);
  CHECK(rule.losable(7'999ms) == allowance{{"a"}, 1});
  CHECK(rule.losable(8s) == allowance{kThree, 1});
}

TEST_CASE(
    "overlapping losses: a lost disk that cannot be copied counts until all nodes have been back for long enough") {
  overlapping_losses rule(kThree, 1, kCatchUp);
  rule.note_stopped("a", 1s);
  rule.note_disk_lost("a", 1s);
  rule.note_back("a", 2s);
  rule.note_stopped("b", 3s);  // nobody to copy from but the third
  CHECK(rule.losable(8s) == allowance{{"a"}, 1});
  rule.note_back("b", 10s);
  CHECK(rule.losable(15'999ms) == allowance{{"a"}, 1});
  CHECK(rule.losable(16s) == allowance{kThree, 1});
}

TEST_CASE("overlapping losses: a copied disk is not counted again when its node is stopped later") {
  overlapping_losses rule(kThree, 1, kCatchUp);
  rule.note_stopped("a", 1s);
  rule.note_disk_lost("a", 1s);
  rule.note_back("a", 2s);
  rule.note_stopped("a", 9s);
  CHECK(rule.losable(9s) == allowance{kThree, 1});
}

TEST_CASE("overlapping losses: within the tolerance a lost disk waits for its own node only") {
  overlapping_losses rule(kFive, 2, kCatchUp);
  rule.note_stopped("a", 1s);
  rule.note_disk_lost("a", 1s);
  rule.note_stopped("b", 1s);
  rule.note_back("a", 2s);
  CHECK(rule.losable(7s) == allowance{{"b", "c", "d", "e"}, 1});
  CHECK(rule.losable(8s) == allowance{kFive, 2});
  CHECK(rule.disks_copied(8s));
  CHECK_FALSE(rule.at_rest(8s));
  rule.note_back("b", 9s);
  CHECK_FALSE(rule.at_rest(14'999ms));
  CHECK(rule.at_rest(15s));
}

TEST_CASE("overlapping losses: a node is stopped until as many faults have ended as began") {
  overlapping_losses rule(kThree, 1, kCatchUp);
  rule.note_stopped("a", 1s);
  rule.note_stopped("a", 2s);
  rule.note_disk_lost("a", 2s);
  rule.note_back("a", 3s);
  CHECK(rule.counts("a", 20s));
  CHECK(rule.stoppable(20s).nodes == names{"b", "c"});
  rule.note_back("a", 20s);
  CHECK(rule.losable(25'999ms).nodes == names{"a"});
  CHECK(rule.losable(26s).nodes == kThree);
}

TEST_CASE("overlapping losses: of a group that lost a member by retirement no more disks are lost than before") {
  overlapping_losses rule(kThree, 1, kCatchUp);
  rule.note_leaving("c");
  CHECK(rule.losable(1s) == allowance{kThree, 1});  // it still holds what it held
  CHECK_FALSE(rule.at_rest(1s));
  rule.note_left("c", 2s);
  CHECK(rule.at_rest(2s));
  CHECK(rule.stoppable(2s) == allowance{{"a", "b"}, 2});
  CHECK(rule.losable(2s) == allowance{{"a", "b"}, 1});
  rule.note_stopped("b", 3s);
  rule.note_disk_lost("b", 3s);
  CHECK(rule.losable(3s) == allowance{{"b"}, 1});
}

TEST_CASE("overlapping losses: a lost disk whose node is taken away counts for the catch-up time") {
  overlapping_losses rule(kThree, 1, kCatchUp);
  rule.note_leaving("c");
  rule.note_stopped("c", 1s);
  rule.note_disk_lost("c", 1s);
  rule.note_left("c", 2s);
  rule.note_back("c", 3s);  // a restart that was due; it is gone
  CHECK(rule.losable(7'999ms).at_once == 0);
  CHECK(rule.losable(8s) == allowance{{"a", "b"}, 1});
}

TEST_CASE(
    "overlapping losses: a node that is back for less than the catch-up time holds up the copy that waits for it") {
  overlapping_losses rule(kThree, 1, kCatchUp);
  rule.note_stopped("c", 1s);
  rule.note_stopped("a", 2s);
  rule.note_disk_lost("a", 2s);
  rule.note_back("a", 3s);
  rule.note_back("c", 4s);
  rule.note_stopped("c", 6s);
  CHECK(rule.losable(13s) == allowance{{"a"}, 1});
  CHECK_FALSE(rule.disks_copied(13s));
  rule.note_back("c", 14s);
  CHECK(rule.losable(19'999ms) == allowance{{"a"}, 1});
  CHECK(rule.losable(20s) == allowance{kThree, 1});
  CHECK(rule.at_rest(20s));
}

TEST_CASE("overlapping losses: all ended at the moment of a loss make the disk wait for all") {
  overlapping_losses rule(kThree, 1, kCatchUp);
  for (const std::string& name : kThree) {
    rule.note_stopped(name, 1s);
  }
  rule.note_disk_lost("b", 1s);
  rule.note_back("a", 2s);
  rule.note_back("b", 2s);
  rule.note_back("c", 5s);
  CHECK(rule.losable(10'999ms) == allowance{{"b"}, 1});
  CHECK(rule.losable(11s) == allowance{kThree, 1});
}

TEST_CASE("overlapping losses: a machine that is replaced counts until its successor has had the catch-up time") {
  overlapping_losses rule(kThree, 1, kCatchUp);
  rule.note_replaced("b", "d", 1s);
  CHECK(rule.stoppable(1s).nodes == names{"a", "c"});
  CHECK(rule.losable(5s) == allowance{{"d"}, 1});
  rule.note_back("d", 6s);
  CHECK(rule.counts("d", 11'999ms));
  CHECK(rule.losable(11'999ms) == allowance{{"d"}, 1});
  CHECK_FALSE(rule.at_rest(11'999ms));
  CHECK(rule.losable(12s) == allowance{{"a", "c", "d"}, 1});
  CHECK(rule.stoppable(12s) == allowance{{"a", "c", "d"}, 3});
  CHECK(rule.at_rest(12s));
}

TEST_CASE("overlapping losses: a successor that comes while another node is away waits for that one, too") {
  overlapping_losses rule(kThree, 1, kCatchUp);
  rule.note_stopped("a", 1s);
  rule.note_replaced("b", "d", 2s);
  rule.note_back("d", 4s);
  CHECK(rule.losable(10s) == allowance{{"d"}, 1});
  rule.note_back("a", 11s);
  CHECK(rule.losable(16'999ms) == allowance{{"d"}, 1});
  CHECK(rule.losable(17s) == allowance{{"a", "c", "d"}, 1});
}

TEST_CASE("overlapping losses: a machine whose lost disk is not copied yet may be replaced, and is one loss") {
  overlapping_losses rule(kFive, 2, kCatchUp);
  rule.note_stopped("b", 1s);
  rule.note_disk_lost("b", 1s);
  rule.note_back("b", 2s);
  rule.note_replaced("b", "f", 3s);
  CHECK(rule.losable(4s) == allowance{{"a", "c", "d", "e"}, 1});
  rule.note_back("f", 5s);
  CHECK(rule.losable(11s).at_once == 2);
}

TEST_CASE("separate losses: a machine that is replaced counts until its successor has had the catch-up time") {
  separate_losses rule(kThree, 1, kCatchUp);
  rule.note_replaced("b", "d", 1s);
  CHECK(rule.stoppable(1s).at_once == 0);
  rule.note_back("d", 6s);
  CHECK(rule.stoppable(11'999ms).at_once == 0);
  CHECK(rule.stoppable(12s) == allowance{{"a", "c", "d"}, 1});
}

TEST_CASE("a machine that was replaced as planned counts no longer once its successor has had its time") {
  overlapping_losses rule(kThree, 1, kCatchUp);
  rule.note_stopped("a", 1000ms);
  rule.note_disk_lost("a", 1000ms);
  CHECK(rule.losable(8000ms).nodes == names{"a"});
  rule.note_replaced_as_planned("a", "d", 1000ms, 8000ms);
  CHECK(rule.losable(8000ms).nodes == names{"b", "c", "d"});
  CHECK(rule.losable(8000ms).at_once == 1);
  CHECK(rule.at_rest(8000ms));
}
