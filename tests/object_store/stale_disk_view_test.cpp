/// A controller that knows a node with an earlier disk does not treat the node's current disk as lost.
#include <catch2/catch.hpp>

#include "support/departure_site.hpp"

using namespace madderdeck;
using namespace madderdeck::tests;

namespace {

constexpr std::uint64_t kSeeds = 12;

/// @return the decisions that treated a member as lost while its disk was present.
std::string false_losses(const std::string& account, const std::string& present_disk) {
  std::string found;
  std::size_t begin = 0;
  while (begin < account.size()) {
    const std::size_t end = account.find('\n', begin);
    const std::string line = account.substr(begin, end - begin);
    if (line.find(present_disk + " disk_replaced") != std::string::npos) {
      found += line + "\n";
    }
    begin = end == std::string::npos ? account.size() : end + 1;
  }
  return found;
}

}  // namespace

// The spare disk was replaced before it became a member, while a maintainer of the groups was frozen.
TEST_CASE("a member is not given up by a maintainer that knows its node with an earlier disk") {
  std::string found;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    departure_site site({seed});
    site.found();
    const unsigned member = site.add_spare();
    site.wait(3s);
    const unsigned late = site.maintainers().at(0);
    site.freeze(late);
    site.lose_disk(member);
    site.wait(2s);
    const unsigned disk = static_cast<unsigned>(site.world.random.below(3));
    site.fleet.retire_disk(disk);
    REQUIRE(site.wait_until([&] { return site.said_completed(disk); }));
    site.depart(disk);
    REQUIRE(site.wait_until([&] { return !site.is_named(disk) && site.is_member(member); }));
    site.add_spare();
    site.wait(2s);
    site.withhold_word(late, member);
    site.thaw(late);
    site.wait(3s);
    site.tell_words(late);
    const std::string present = "node-" + std::to_string(member) + "/" + site.fleet.nodes[member]->disk_id;
    const std::string losses = false_losses(site.account(), present);
    found += losses.empty() ? "" : "seed " + std::to_string(seed) + "\n" + losses;
  }
  INFO(found);
  CHECK(found.empty());
}
