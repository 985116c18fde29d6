#include "taken_address.hpp"

#include <catch2/catch.hpp>

using namespace madderdeck;
using namespace madderdeck::users_platform::bench;

namespace {

constexpr char kAddress[] = "127.75.240.1:7660";

ErrorKind kind_of(const Status& status) { return error_of(status).kind; }

}  // namespace

TEST_CASE("taken address: nobody else listens there until it is given back, whichever way it is held") {
  for (const taken_form form : {taken_form::listening, taken_form::bound}) {
    {
      taken_address first;
      REQUIRE(succeeded(first.take(kAddress, form)));
      taken_address second;
      CHECK(kind_of(second.take(kAddress, taken_form::listening)) == ErrorKind::address_in_use);
      taken_address beside;
      CHECK(succeeded(beside.take(kAddress, taken_form::datagrams)));
    }
    taken_address after;
    CHECK(succeeded(after.take(kAddress, taken_form::listening)));
  }
}

TEST_CASE("taken address: datagrams are held apart") {
  taken_address first;
  REQUIRE(succeeded(first.take(kAddress, taken_form::datagrams)));
  taken_address second;
  CHECK(kind_of(second.take(kAddress, taken_form::datagrams)) == ErrorKind::address_in_use);
}
