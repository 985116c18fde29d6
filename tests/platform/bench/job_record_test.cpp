#include "job_record.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "stand_ins.hpp"

using namespace madderdeck;
using namespace madderdeck::users_platform::bench;

namespace {

job_plan three_items() {
  job_plan plan;
  plan.id = "job";
  plan.path = "/jobs/1";
  for (const char* id : {"a", "b", "c"}) {
    plan.items.push_back({id, "/jobs/1/x", std::string("body of ") + id, 2, std::string(id) == "c"});
  }
  return plan;
}

result_page::entry done(const std::string& id) { return {id, true, whole_data(id, 2)}; }

result_page page(std::uint32_t from, std::vector<result_page::entry> results) {
  const auto next = from + static_cast<std::uint32_t>(results.size());
  return {3, next, std::move(results)};
}

}  // namespace

TEST_CASE("pages that agree with what was read before are well") {
  job_record record(three_items());
  CHECK(record.take(0, page(0, {done("b")})).empty());
  CHECK(record.take(0, page(0, {done("b"), done("a")})).empty());
  CHECK(record.take(2, page(2, {{"c", false, "rejected"}})).empty());
  CHECK(record.complete());
  CHECK(record.lists("c"));
}

TEST_CASE("what breaks a promise about results is noticed") {
  job_record record(three_items());
  REQUIRE(record.take(0, page(0, {done("a")})).empty());
  CHECK_FALSE(record.take(0, page(0, {done("b")})).empty());                            // another result at a position
  CHECK_FALSE(record.take(1, page(1, {done("a")})).empty());                            // at two positions
  CHECK_FALSE(record.take(0, page(0, {{"a", true, "other text"}})).empty());            // its content has changed
  CHECK_FALSE(record.take(0, {2, 1, {done("a")}}).empty());                             // total
  CHECK_FALSE(record.take(0, {3, 2, {done("a")}}).empty());                             // next position
  CHECK_FALSE(job_record(three_items()).take(0, page(0, {done("x")})).empty());         // no item of the job
  CHECK_FALSE(job_record(three_items()).take(0, page(0, {{"a", false, ""}})).empty());  // given up
  CHECK_FALSE(job_record(three_items()).take(0, page(0, {{"c", true, whole_data("c", 2)}})).empty());  // impossible
}

TEST_CASE("items of a job that its client has ended may be given up") {
  job_record record(three_items());
  record.end();
  CHECK(record.take(0, page(0, {{"a", false, "ended"}})).empty());
}

TEST_CASE("a submission carries all items, and pages are parsed or refused") {
  const auto body = boost::json::parse(three_items().submission());
  REQUIRE(body.at("items").as_array().size() == 3);
  CHECK(body.at("items").as_array()[0].at("body").as_string() == "Ym9keSBvZiBh");
  const auto parsed =
      result_page::parse(R"({"total":3,"next_token":1,"results":[{"id":"a","state":"completed","message":"m"}]})");
  REQUIRE(succeeded(parsed));
  CHECK(value_of(parsed).results.front().item == "a");
  CHECK_FALSE(succeeded(result_page::parse(R"({"total":3,"results":[]})")));
  CHECK_FALSE(succeeded(
      result_page::parse(R"({"total":3,"next_token":1,"results":[{"id":"a","state":"lost","message":""}]})")));
}
