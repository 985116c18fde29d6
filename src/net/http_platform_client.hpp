#pragma once
/// @file Client for the platform's object API and machine list over HTTP.

#include "net/http_client.hpp"
#include "object_store/platform_client.hpp"

namespace madderdeck::net {

/// Single threaded, on the client's io_context.
class HttpPlatformClient : public object_store::PlatformClient {
 public:
  HttpPlatformClient(HttpClient& client, std::string endpoint) : client_(client), endpoint_(std::move(endpoint)) {}

  void watch_objects(std::uint64_t since, Duration wait, object_store::ChangesDone done) override;
  void watch_machines(std::uint64_t since, Duration wait, object_store::ChangesDone done) override;
  void get(const config::EntryKey& key, object_store::GetDone done) override;
  void put(const object_store::PutRequest& request, object_store::PutDone done) override;

 private:
  void watch(const std::string& path, std::uint64_t since, Duration wait, object_store::ChangesDone done);

  HttpClient& client_;
  const std::string endpoint_;
};

}  // namespace madderdeck::net
