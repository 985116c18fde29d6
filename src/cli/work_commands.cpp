/// @file Commands for live requests, service calls and batch jobs.

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "cli/commands.hpp"
#include "cli/table.hpp"

namespace madderdeck::cli {
namespace {

namespace json = boost::json;
constexpr std::chrono::milliseconds kProgressStep{500};

Status print_response(const CommandContext& context, const Result<net::SimpleResponse>& response,
                      const std::vector<std::string>& columns) {
  if (!succeeded(response)) {
    return error_of(response);
  }
  const json::value value = json::parse(value_of(response).body);
  if (context.json || columns.empty()) {
    std::cout << json::serialize(value) << std::endl;
  } else {
    print_table(value.as_object().contains("data") ? value.at("data").as_array() : json::array{value}, columns);
  }
  return Ok{};
}

const std::vector<std::string>& job_columns() {
  static const std::vector<std::string> columns = {"id",    "status",          "template",
                                                   "items", "completed_items", "failed_items"};
  return columns;
}

Status need_job(const CommandContext& context) {
  if (context.arguments.size() != 1) {
    return Error{ErrorKind::invalid_argument, "the name of one job is required"};
  }
  return Ok{};
}

Status follow(CommandContext& context, const std::string& job) {
  while (true) {
    const auto response = context.fleet.call("GET", "/v1/batches/" + job);
    if (!succeeded(response)) {
      return error_of(response);
    }
    const json::value state = json::parse(value_of(response).body);
    std::cerr << "\r" << plain(state.at("completed_items")) << " of " << plain(state.at("items")) << " items"
              << std::flush;
    if (plain(state.at("status")) != "in_progress") {
      std::cerr << "\n" << plain(state.at("status")) << std::endl;
      return Ok{};
    }
    std::this_thread::sleep_for(kProgressStep);
  }
}

}  // namespace

Status run_request(CommandContext& context) {
  if (context.template_name.empty() || context.arguments.empty()) {
    return Error{ErrorKind::invalid_argument, "request requires --template_name and a prompt"};
  }
  const json::object message{{"role", "user"}, {"content", context.arguments[0]}};
  const json::object body{{"model", context.template_name}, {"messages", json::array{message}}};
  const auto response = context.fleet.call("POST", "/v1/chat/completions", json::serialize(body));
  if (!succeeded(response)) {
    return error_of(response);
  }
  const json::value answer = json::parse(value_of(response).body);
  std::cout << (context.json ? json::serialize(answer) : plain(answer.at("choices").at(0).at("message").at("content")))
            << std::endl;
  return Ok{};
}

Status run_call(CommandContext& context) {
  if (context.template_name.empty()) {
    return Error{ErrorKind::invalid_argument, "call requires --template_name"};
  }
  net::Headers headers;
  if (!context.idempotency_key.empty()) {
    headers.push_back({"Idempotency-Key", context.idempotency_key});
  }
  return print_response(context,
                        context.fleet.call("POST", "/v1/services/" + context.template_name, context.body, headers), {});
}

Status run_submit(CommandContext& context) {
  std::ifstream file(context.file);
  if (!file || context.template_name.empty() || context.idempotency_key.empty()) {
    return Error{ErrorKind::invalid_argument,
                 "submit requires --template_name, --idempotency_key and a readable --file"};
  }
  std::ostringstream items;
  items << file.rdbuf();
  const std::string target = "/v1/batches?template=" + context.template_name +
                             "&priority=" + std::to_string(context.priority) +
                             (context.deadline.empty() ? "" : "&deadline_ms=" + context.deadline);
  const auto response = context.fleet.call("POST", target, items.str(), {{"Idempotency-Key", context.idempotency_key}});
  const Status printed = print_response(context, response, job_columns());
  if (!succeeded(printed) || !context.wait) {
    return printed;
  }
  return follow(context, plain(json::parse(value_of(response).body).at("id")));
}

Status run_jobs(CommandContext& context) {
  return print_response(context, context.fleet.call("GET", "/v1/batches"),
                        {"id", "status", "template", "items", "priority"});
}

Status run_job(CommandContext& context) {
  const Status named = need_job(context);
  if (!succeeded(named)) {
    return named;
  }
  return context.wait
             ? follow(context, context.arguments[0])
             : print_response(context, context.fleet.call("GET", "/v1/batches/" + context.arguments[0]), job_columns());
}

Status run_results(CommandContext& context) {
  const Status named = need_job(context);
  if (!succeeded(named)) {
    return named;
  }
  std::string after;
  while (true) {
    const std::string query = after.empty() ? "" : "?after=" + after;
    const auto response = context.fleet.call("GET", "/v1/batches/" + context.arguments[0] + "/results" + query);
    if (!succeeded(response)) {
      return error_of(response);
    }
    std::cout << value_of(response).body;
    after = std::string(net::find_header(value_of(response).headers, "X-Next-After"));
    if (after.empty()) {
      std::cout << std::flush;
      return Ok{};
    }
  }
}

Status run_cancel(CommandContext& context) {
  const Status named = need_job(context);
  return succeeded(named)
             ? print_response(context, context.fleet.call("POST", "/v1/batches/" + context.arguments[0] + "/cancel"),
                              {"id", "status", "items"})
             : named;
}

}  // namespace madderdeck::cli
