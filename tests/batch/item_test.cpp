#include "batch/item.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "batch/records.hpp"

using namespace madderdeck;
using namespace madderdeck::batch;

TEST_CASE("items are checked") {
  CHECK(succeeded(parse_item(R"({"prompt":"p","max_tokens":3,"custom_id":"x"})")));
  CHECK(error_of(parse_item("")).kind == ErrorKind::invalid_argument);
  CHECK(error_of(parse_item("[1]")).kind == ErrorKind::invalid_argument);
  CHECK(error_of(parse_item(R"({"prompt":5})")).kind == ErrorKind::invalid_argument);
  CHECK(error_of(parse_item(R"({"prompt":"p","max_tokens":0})")).kind == ErrorKind::invalid_argument);
  rc::prop("any line", [](const std::string& line) { parse_item(line); });
}

TEST_CASE("a job has the same name wherever it is submitted") {
  CHECK(job_id_for("tenant", "key") == job_id_for("tenant", "key"));
  CHECK(job_id_for("tenant", "key") != job_id_for("tenant", "other"));
  CHECK(job_id_for("tenant", "key") != job_id_for("other", "key"));
}

TEST_CASE("result keys sort like their items") {
  rc::prop("order", [](std::uint32_t left, std::uint32_t right) {
    const JobId job("j");
    left %= kMaxItemsPerJob;
    right %= kMaxItemsPerJob;
    RC_ASSERT((left < right) == (result_key(job, left) < result_key(job, right)));
    RC_ASSERT(result_index(result_key(job, left)) == left);
  });
}
