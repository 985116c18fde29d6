#pragma once
/// @file Lets a folder refuse writes to a process, from outside: the process is started with the library beside this
/// file preloaded, and a control file says what is refused now.

#include <fstream>
#include <map>
#include <string>

namespace madderdeck::bench {

/// What the folder refuses.
enum class disk_refusal : char {
  nothing = '0',
  full = 'f',    ///< Everything that needs space: ENOSPC.
  broken = 'e',  ///< Writes and syncs: EIO.
};

inline constexpr char kRefusalControl[] = "MADDERDECK_REFUSAL_CONTROL";
inline constexpr char kRefusalFolder[] = "MADDERDECK_REFUSAL_FOLDER";
/// The library, in the folder of the programs.
inline constexpr char kRefusalLibrary[] = "libmadderdeck_refusing_disk.so";

/// Has the processes that know @p control see @p refusal from now on.
inline void set_refusal(const std::string& control, disk_refusal refusal) {
  std::fstream file(control, std::ios::in | std::ios::out | std::ios::binary);
  if (!file.is_open()) {
    file.open(control, std::ios::out | std::ios::binary);
  }
  file.put(static_cast<char>(refusal));
}

/// @return the variables to start a process with whose files below @p folder are struck as @p control says.
inline std::map<std::string, std::string> refusal_variables(const std::string& binaries, const std::string& folder,
                                                            const std::string& control) {
  return {{"LD_PRELOAD", binaries + "/" + kRefusalLibrary}, {kRefusalFolder, folder}, {kRefusalControl, control}};
}

}  // namespace madderdeck::bench
