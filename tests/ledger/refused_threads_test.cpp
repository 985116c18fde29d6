/// Guards against a database that ends the process when a thread or memory is refused to it while it is opened.
#include <catch2/catch.hpp>

#include "ledger/rocksdb_disk.hpp"
#include "ledger/rocksdb_disk_opener.hpp"
#include "support/limited_copy.hpp"
#include "support/temporary_disk.hpp"

using namespace madderdeck;

TEST_CASE("a disk that cannot be opened for want of threads and memory is opened when these can be had") {
  const tests::TemporaryDisk disk;
  // Addresses in bytes that remain: none, less than a stack, and less than the database's buffers.
  for (const std::uint64_t spare : {std::uint64_t{0}, std::uint64_t{256} << 10, std::uint64_t{16} << 20}) {
    INFO(spare);
    CHECK(tests::result_of_copy([&] {
            tests::limit_addresses(spare);
            const auto refused = ledger::open_disk(disk.path().string(), 1, tests::inline_executors());
            const bool right = !succeeded(refused) && error_of(refused).kind == ErrorKind::unavailable &&
                               ledger::is_retryable(error_of(refused));
            tests::lift_address_limit();
            const auto opened = ledger::open_disk(disk.path().string(), 1, tests::inline_executors());
            return right && succeeded(opened) ? 0 : 1;
          }) == 0);
  }
}
