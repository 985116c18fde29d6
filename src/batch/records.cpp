#include "batch/records.hpp"

#include <cstdio>
#include <cstdlib>

#include "common/hash.hpp"

namespace madderdeck::batch {

JobId job_id_for(const std::string& tenant, const std::string& idempotency_key) {
  const std::uint64_t tenant_hash = stable_hash(tenant);
  return JobId("job-" + hex64(stable_hash(idempotency_key, tenant_hash)) +
               hex64(stable_hash(idempotency_key, ~tenant_hash)));
}

std::string queue_name(const std::string& route, const std::string& tenant) {
  return tenant.empty() ? route : route + " of " + tenant;
}

std::string job_key(const JobId& job) { return kJobPrefix + job.str(); }

std::string chunk_key(const JobId& job, const std::string& submission, std::uint32_t chunk) {
  char number[16];
  std::snprintf(number, sizeof number, "%06u", chunk);
  return "chunk/" + job.str() + "/" + submission + "/" + number;
}

std::string result_prefix(const JobId& job) { return "result/" + job.str() + "/"; }

std::string result_key(const JobId& job, std::uint32_t index) {
  char number[16];
  std::snprintf(number, sizeof number, "%08u", index);
  return result_prefix(job) + number;
}

std::string order_prefix(const JobId& job) { return "order/" + job.str() + "/"; }

std::string order_key(const JobId& job, std::uint32_t segment) {
  char number[16];
  std::snprintf(number, sizeof number, "%06u", segment);
  return order_prefix(job) + number;
}

std::uint32_t result_index(const std::string& key) {
  return static_cast<std::uint32_t>(std::strtoul(key.c_str() + key.rfind('/') + 1, nullptr, 10));
}

}  // namespace madderdeck::batch
