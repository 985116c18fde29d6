/// @file Entry point of the node programs: loads the library that holds the program and runs it. It needs the C library
/// alone, so that held_signals.cpp runs a fraction of a millisecond after exec: a signal that arrives while the many
/// libraries of the program are loaded finds it blocked or ignored.

#include <dlfcn.h>

#include "node/program_entry.hpp"
#include "process/last_line.hpp"

namespace {

/// As the dynamic linker has it where a library of a program cannot be loaded.
constexpr int kNotLoadedCode = 127;

using program_entry = int (*)(int, char**);

int fail(const char* error) {
  madderdeck::process::line_writer("error", "program_not_loaded").text("error", error).write();
  return kNotLoadedCode;
}

}  // namespace

int main(int argument_count, char** arguments) {
  void* const library = ::dlopen(MADDERDECK_PROGRAM_LIBRARY, RTLD_LAZY | RTLD_LOCAL);
  if (library == nullptr) {
    return fail(::dlerror());
  }
  void* const entry = ::dlsym(library, madderdeck::node::kProgramEntry);
  if (entry == nullptr) {
    return fail(::dlerror());
  }
  return reinterpret_cast<program_entry>(entry)(argument_count, arguments);
}
