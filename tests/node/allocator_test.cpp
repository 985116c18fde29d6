#include "node/allocator.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "node/process_usage.hpp"

using namespace madderdeck::node;

// Guards against a process that keeps the memory of bodies that it has long answered.
TEST_CASE("memory of large blocks goes back to the system although smaller blocks came after them") {
  constexpr std::size_t kBodyBytes = 19'000'000;
  return_large_blocks();
  { const std::string earlier(kBodyBytes, 'x'); }
  const std::int64_t before = allocator_bytes();
  auto body = std::make_unique<std::string>(kBodyBytes - 1'000'000, 'x');
  // Too large for the gaps that are left in the heap, so that it lies behind the body where both are in the heap.
  const std::string later(kLargeBlockBytes - 1'000, 'y');
  CHECK(allocator_bytes() > before + static_cast<std::int64_t>(kBodyBytes) / 2);
  body.reset();
  CHECK(allocator_bytes() < before + static_cast<std::int64_t>(4 * kLargeBlockBytes));
}
