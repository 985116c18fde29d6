#pragma once
/// @file Ledger keys of batch jobs. All records of one job share a partition.

#include <cstdint>
#include <string>

#include "common/strong_id.hpp"

namespace madderdeck::batch {

/// @return the id of the job that @p tenant submits under @p idempotency_key; the same on every node at any time.
JobId job_id_for(const std::string& tenant, const std::string& idempotency_key);
/// @return the name of the queue in which jobs of @p tenant wait on a route or template; each queue has its own limit.
/// An empty @p tenant means that there are no tenants.
std::string queue_name(const std::string& route, const std::string& tenant);
/// @return key of the job's record.
std::string job_key(const JobId& job);
/// @return key of one chunk of the items that @p submission stored.
std::string chunk_key(const JobId& job, const std::string& submission, std::uint32_t chunk);
/// @return key of one item's result.
std::string result_key(const JobId& job, std::uint32_t index);
/// @return prefix of all results of the job.
std::string result_prefix(const JobId& job);
/// @return index of the item whose result @p key holds.
std::uint32_t result_index(const std::string& key);

/// @return prefix of the order records, which list the items in the order in which their results became readable.
std::string order_prefix(const JobId& job);
/// @return key of one order record; each but the last holds kOrderSegment positions.
std::string order_key(const JobId& job, std::uint32_t segment);

inline constexpr std::uint32_t kOrderSegment = 256;
inline constexpr char kJobPrefix[] = "job/";
/// Number of items in one chunk record.
inline constexpr std::uint32_t kItemsPerChunk = 256;
inline constexpr std::uint32_t kMaxItemsPerJob = 390'000;
inline constexpr std::size_t kMaxItemBytes = 64 * 1024;

}  // namespace madderdeck::batch
