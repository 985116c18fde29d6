#pragma once
/// @file The commands of the command line program madderdeck.

#include <string>
#include <vector>

#include "cli/client.hpp"

namespace madderdeck::cli {

/// Arguments, flags and fleet connection of a command.
struct CommandContext {
  FleetClient& fleet;
  std::vector<std::string> arguments;  ///< After the command's name.
  bool json = false;
  std::string file;
  std::string template_name;
  std::string idempotency_key;
  std::string deadline;
  std::string body;
  std::uint64_t priority = 0;
  bool wait = false;
  std::uint64_t expected = 0;
  bool expected_given = false;
};

/// One command with its usage and help texts.
struct Command {
  std::string name;
  std::string usage;
  std::string help;
  Status (*run)(CommandContext&);
};

const std::vector<Command>& commands();
const Command* find_command(const std::string& name);

// Objects.
Status run_apply(CommandContext& context);
Status run_diff(CommandContext& context);
Status run_get(CommandContext& context);
Status run_delete(CommandContext& context);
// Fleet.
Status run_status(CommandContext& context);
Status run_top(CommandContext& context);
Status run_watch(CommandContext& context);
Status run_drain(CommandContext& context);
Status run_completion(CommandContext& context);
// Work.
Status run_request(CommandContext& context);
Status run_call(CommandContext& context);
Status run_submit(CommandContext& context);
Status run_jobs(CommandContext& context);
Status run_job(CommandContext& context);
Status run_results(CommandContext& context);
Status run_cancel(CommandContext& context);

}  // namespace madderdeck::cli
