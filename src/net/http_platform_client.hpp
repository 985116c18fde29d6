#pragma once
/// @file The platform's object API and machine list over HTTP.

#include "net/http_client.hpp"
#include "platform/platform_client.hpp"

namespace madderdeck::net {

/// Single threaded, on the client's io_context.
class HttpPlatformClient : public platform::PlatformClient {
 public:
  HttpPlatformClient(HttpClient& client, std::string endpoint) : client_(client), endpoint_(std::move(endpoint)) {}

  void watch_objects(std::uint64_t since, Duration wait, platform::ChangesDone done) override;
  void watch_machines(std::uint64_t since, Duration wait, platform::ChangesDone done) override;
  void get(const config::EntryKey& key, platform::GetDone done) override;
  void put(const platform::PutRequest& request, platform::PutDone done) override;

 private:
  void watch(const std::string& path, std::uint64_t since, Duration wait, platform::ChangesDone done);

  HttpClient& client_;
  const std::string endpoint_;
};

}  // namespace madderdeck::net
