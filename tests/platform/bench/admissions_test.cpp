#include "admissions.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck::users_platform::bench;

namespace {

constexpr std::uint64_t kBound_ms = 4'700;
constexpr std::size_t kGroups = 2;
constexpr std::uint64_t kEnd_ms = 100'000;

copy_line admitted(const std::string& node, std::uint32_t group, std::uint64_t at_unix_ms) {
  return {node, group, at_unix_ms, true};
}

}  // namespace

TEST_CASE("a node's stay lasts until its process ends, or another one begins") {
  node_stays stays;
  stays.note_began("a", stay_form::founding, 100);
  stays.note_began("b", stay_form::founding, 100);
  stays.note_ended("a", 200);
  stays.note_ended("a", 250);  // it does not run
  stays.note_began("a", stay_form::new_disk, 300);
  stays.note_began("a", stay_form::own_disk, 400);
  const std::vector<node_stay> expected = {{"a", stay_form::founding, 100, 200},
                                           {"b", stay_form::founding, 100, 0},
                                           {"a", stay_form::new_disk, 300, 400},
                                           {"a", stay_form::own_disk, 400, 0}};
  CHECK(stays.all() == expected);
}

TEST_CASE("admissions run from a start to the last group's first admission in that stay") {
  const std::vector<node_stay> stays = {{"a", stay_form::founding, 100, 200},
                                        {"a", stay_form::new_disk, 1'000, 9'000},
                                        {"a", stay_form::thawed, 12'000, 0},
                                        {"b", stay_form::own_disk, 1'000, 0}};
  const std::vector<copy_line> lines = {admitted("a", 0, 2'000),  admitted("a", 1, 5'000),  admitted("a", 0, 8'000),
                                        admitted("a", 1, 10'000), admitted("a", 1, 12'500), {"b", 0, 3'000, false}};
  const std::vector<admission> expected = {{stays[1], 2, 4'000}, {stays[2], 1, 500}, {stays[3], 0, std::nullopt}};
  CHECK(admissions_of(stays, lines) == expected);
}

TEST_CASE("a histogram of admissions has the upper ends of its classes, and new disks that were not admitted in time") {
  const std::vector<admission> all = {
      {{"a", stay_form::new_disk, 1'000, 9'000}, 2, 4'700},         // in time
      {{"b", stay_form::new_disk, 1'000, 9'000}, 2, 4'701},         // late
      {{"c", stay_form::new_disk, 1'000, 9'000}, 1, 500},           // one group never
      {{"d", stay_form::new_disk, 1'000, 5'000}, 0, std::nullopt},  // was lost before the bound was over
      {{"e", stay_form::new_disk, 1'000, 0}, 0, std::nullopt},      // never, until the end
      {{"f", stay_form::new_disk, kEnd_ms - 10, 0}, 0, std::nullopt},
      {{"g", stay_form::new_disk, 1'000, 0}, 2, 20'001},
      {{"a", stay_form::own_disk, 1'000, 0}, 0, std::nullopt}};
  const auto histograms = histograms_of(all, kBound_ms, kGroups, kEnd_ms);
  REQUIRE(histograms.size() == 2);
  const admission_histogram& fresh = histograms.at(stay_form::new_disk);
  CHECK(fresh.stays == 7);
  CHECK(fresh.none == 3);
  CHECK(fresh.overdue == 4);
  CHECK(fresh.longest_ms == 20'001);
  CHECK(fresh.admitted == std::array<std::size_t, 10>{1, 0, 0, 0, 1, 1, 0, 0, 0, 1});
  CHECK(histograms.at(stay_form::own_disk) == admission_histogram{1, {}, 1, 0, 0});
}
