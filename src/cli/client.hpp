#pragma once
/// @file Client of the command line for a fleet, which it reaches through any of several nodes.

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <vector>

#include "common/error.hpp"
#include "net/http_client.hpp"

namespace madderdeck::cli {

/// Tries the nodes one after the other until one responds. Single threaded, blocking.
class FleetClient {
 public:
  /// @param nodes API addresses, ip:port.
  FleetClient(std::vector<std::string> nodes, std::string key) : nodes_(std::move(nodes)), key_(std::move(key)) {}

  /// Calls the first node that accepts the connection.
  /// @return the body of a 2xx answer; otherwise the error of the problem document, or
  ///         ErrorKind::unavailable when no node could be reached.
  Result<net::SimpleResponse> call(const std::string& method, const std::string& target, const std::string& body = "",
                                   const net::Headers& headers = {});
  /// Like call(), but only at the given node.
  Result<net::SimpleResponse> call_node(const std::string& node, const std::string& method, const std::string& target,
                                        const std::string& body = "", const net::Headers& headers = {});
  const std::vector<std::string>& nodes() const { return nodes_; }

 private:
  std::vector<std::string> nodes_;
  std::string key_;
  boost::asio::io_context context_{1};
  net::HttpClient client_{context_, ""};
};

}  // namespace madderdeck::cli
