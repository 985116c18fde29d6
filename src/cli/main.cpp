/// @file madderdeck: the command line program for operators and callers.

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

#include "cli/commands.hpp"

DEFINE_string(nodes, "127.0.0.1:8000", "API addresses of nodes, separated by commas; the first that responds is used.");
DEFINE_string(key, "", "Bearer key: the tenant's for requests and jobs, the operators' for all other commands.");
DEFINE_string(o, "table", "Output: table or json.");
DEFINE_string(f, "", "Short for --file.");
DEFINE_string(file, "", "File to read.");
DEFINE_string(template_name, "", "Template of a request or job.");
DEFINE_string(idempotency_key, "", "Idempotency key: a resend with the same key returns the first request or job.");
DEFINE_string(deadline_ms, "", "Deadline of a job, Unix milliseconds.");
DEFINE_string(body, "{}", "Body of a service call.");
DEFINE_uint64(priority, 0, "Priority among batch jobs; greater goes first.");
DEFINE_bool(wait, false, "apply: wait until all nodes use the objects; submit, job: wait until the job has ended.");
DEFINE_int64(expected, -1, "apply, delete: the revision to be replaced; by default the current one.");

namespace madderdeck::cli {

const std::vector<Command>& commands() {
  static const std::vector<Command> all = {
      {"apply", "apply --file=FILE [--wait]", "Declares every object of a JSON file.", run_apply},
      {"diff", "diff --file=FILE", "Shows what apply would change.", run_diff},
      {"get", "get [KIND [NAME]]", "Lists declared objects, or prints one.", run_get},
      {"delete", "delete KIND NAME", "Removes a declared object.", run_delete},
      {"watch", "watch [KIND]", "Prints objects as they change.", run_watch},
      {"status", "status", "Shows nodes and back ends.", run_status},
      {"top", "top [ROUNDS]", "Shows nodes, back ends and jobs repeatedly.", run_top},
      {"drain", "drain ADDRESS", "Stops a node without interrupting a request.", run_drain},
      {"request", "request --template_name=T PROMPT", "Sends a live request.", run_request},
      {"call", "call --template_name=T [--idempotency_key=K] [--body=JSON]", "Calls a service.", run_call},
      {"submit", "submit --template_name=T --idempotency_key=K --file=FILE [--wait]", "Submits a job of JSON lines.",
       run_submit},
      {"jobs", "jobs", "Lists the tenant's jobs.", run_jobs},
      {"job", "job NAME [--wait]", "Shows a job's progress.", run_job},
      {"results", "results NAME", "Prints all results of a job.", run_results},
      {"cancel", "cancel NAME", "Cancels a job.", run_cancel},
      {"completion", "completion", "Prints shell completion for bash.", run_completion},
  };
  return all;
}

const Command* find_command(const std::string& name) {
  for (const Command& command : commands()) {
    if (command.name == name) {
      return &command;
    }
  }
  return nullptr;
}

namespace {

int print_help(const std::string& topic) {
  if (const Command* command = find_command(topic)) {
    std::cout << "madderdeck " << command->usage << "\n  " << command->help << std::endl;
    return 0;
  }
  std::cout << "madderdeck [--nodes=IP:PORT,...] [--key=KEY] [-o table|json] COMMAND\n\n";
  for (const Command& command : commands()) {
    std::cout << "  " << command.usage << "\n      " << command.help << "\n";
  }
  std::cout << "\nExit codes: 0 done; 10 invalid_argument, 11 unauthenticated, 12 not_found, 13 conflict, 14 "
               "limit_exceeded,\n"
               "15 unavailable, 16 ambiguous, 17 cancelled."
            << std::endl;
  return 0;
}

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

int fail(const Error& error) {
  std::cerr << "madderdeck: " << error_kind_name(error.kind) << ": " << error.detail << std::endl;
  return exit_code_for(error.kind);
}

}  // namespace
}  // namespace madderdeck::cli

int main(int argument_count, char** arguments) {
  using namespace madderdeck;
  using namespace madderdeck::cli;
  gflags::SetUsageMessage("madderdeck COMMAND; see madderdeck help");
  gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
  const std::vector<std::string> words(arguments + 1, arguments + argument_count);
  if (words.empty() || words[0] == "help") {
    return print_help(words.size() > 1 ? words[1] : "");
  }
  const Command* command = find_command(words[0]);
  if (command == nullptr) {
    return fail({ErrorKind::invalid_argument, "unknown command " + words[0] + "; see madderdeck help"});
  }
  if (FLAGS_o != "table" && FLAGS_o != "json") {
    return fail({ErrorKind::invalid_argument, "-o: found " + FLAGS_o + ", allowed is table or json"});
  }
  FleetClient fleet(split(FLAGS_nodes), FLAGS_key);
  CommandContext context{fleet, {words.begin() + 1, words.end()}};
  context.json = FLAGS_o == "json";
  context.file = FLAGS_f.empty() ? FLAGS_file : FLAGS_f;
  context.template_name = FLAGS_template_name;
  context.idempotency_key = FLAGS_idempotency_key;
  context.deadline = FLAGS_deadline_ms;
  context.body = FLAGS_body;
  context.priority = FLAGS_priority;
  context.wait = FLAGS_wait;
  context.expected_given = FLAGS_expected >= 0;
  context.expected = FLAGS_expected < 0 ? 0 : static_cast<std::uint64_t>(FLAGS_expected);
  const Status status = command->run(context);
  return succeeded(status) ? 0 : fail(error_of(status));
}
