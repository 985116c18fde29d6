#include "late_requests.hpp"

#include <catch2/catch.hpp>

#include "leaving_news.hpp"

using namespace madderdeck::users_platform::bench;

namespace {

constexpr std::uint64_t kContact = 4'000;

late_request request_at(std::uint64_t taken, std::uint64_t at) {
  return {"r-1", "i-1", "127.1.0.1", "announced", static_cast<std::int64_t>(at - taken) - 3'000, taken, at};
}

std::size_t counted(const late_request& request, const std::vector<disturbance>& disturbances) {
  return that_count({request}, disturbances, kContact).size();
}

}  // namespace

TEST_CASE("a late request counts where its sender and the store were sound for long enough") {
  const late_request request = request_at(100'000, 103'500);
  CHECK(counted(request, {}) == 1);
  CHECK(counted(request, {{"127.1.0.2", 99'000, 104'000}}) == 1);  // another node
  CHECK(counted(request, {{"127.1.0.1", 98'000, 99'400}}) == 1);   // long enough ago
  CHECK(counted(request, {{"127.1.0.1", 98'000, 99'600}}) == 0);
  CHECK(counted(request, {{"127.1.0.1", 103'400, 105'000}}) == 0);
  CHECK(counted(request, {{"", 95'000, 95'900}}) == 1);  // the store, well when it took the leaving
  CHECK(counted(request, {{"", 95'000, 96'100}}) == 0);
  CHECK(counted(request, {{"", 103'600, 105'000}}) == 1);  // struck only after the request
}

TEST_CASE("a late request is read as it was written, other lines are none") {
  const late_request request = request_at(100'000, 103'500);
  CHECK(parse_late_request(format_late_request(request)) == request);
  CHECK_FALSE(parse_late_request("no line of its own"));
  CHECK_FALSE(parse_late_request(R"({"event":"leaving_taken","engine":"i-1","at_unix_ms":5})"));
}

TEST_CASE("the time to know of a leaving goes from the store's taking to each gateway's first line after it") {
  const leaving_taken taken{"i-1", 1'000};
  CHECK(parse_leaving_taken(format_leaving_taken(taken)) == taken);
  const auto heard = parse_leaving_heard(R"({"time_ms":1200,"event":"backend_listed","backend":"i-1","state":"gone"})");
  REQUIRE(heard);
  CHECK_FALSE(parse_leaving_heard(R"({"time_ms":9,"event":"backend_listed","backend":"i-1","state":"live"})"));
  const news_times times =
      times_of({taken}, {{"one", {{"i-1", 900}, *heard, {"i-1", 5'000}}}, {"two", {{"i-1", 1'050}, {"i-2", 1'010}}}});
  CHECK(times.count == 2);
  CHECK(times.longest == 200);
  CHECK(times_of({}, {}).count == 0);
}
