/// @file Preloaded into a process: calls that write below a folder fail while a control file says so (refusal.hpp).

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "refusal.hpp"

namespace {

using madderdeck::bench::disk_refusal;

constexpr std::size_t kLongestPath = 4096;

/// Of the process; read before main() and never changed.
const char* folder = nullptr;
const volatile char* control = nullptr;

template <class Function>
Function next_of(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

__attribute__((constructor)) void read_variables() {
  folder = std::getenv(madderdeck::bench::kRefusalFolder);
  const char* path = std::getenv(madderdeck::bench::kRefusalControl);
  static const auto real_open = next_of<int (*)(const char*, int, ...)>("open");
  const int file = path == nullptr ? -1 : real_open(path, O_RDONLY | O_CLOEXEC);
  if (file < 0 || folder == nullptr) {
    return;
  }
  void* mapped = ::mmap(nullptr, 1, PROT_READ, MAP_SHARED, file, 0);
  ::close(file);
  control = mapped == MAP_FAILED ? nullptr : static_cast<const volatile char*>(mapped);
}

disk_refusal present() { return control == nullptr ? disk_refusal::nothing : static_cast<disk_refusal>(*control); }

bool is_below(const char* path) {
  const std::size_t size = std::strlen(folder);
  return std::strncmp(path, folder, size) == 0 && (path[size] == '/' || path[size] == '\0');
}

bool is_below(int descriptor) {
  char link[64];
  char path[kLongestPath];
  std::snprintf(link, sizeof link, "/proc/self/fd/%d", descriptor);
  const ssize_t size = ::readlink(link, path, sizeof path - 1);
  if (size < 0) {
    return false;
  }
  path[size] = '\0';
  return is_below(path);
}

/// @return the error that a call which takes space meets at @p place; zero: none.
template <class Place>
int error_of_write(Place place) {
  const disk_refusal refusal = present();
  if (refusal == disk_refusal::nothing || !is_below(place)) {
    return 0;
  }
  return refusal == disk_refusal::full ? ENOSPC : EIO;
}

int error_of_sync(int descriptor) { return present() == disk_refusal::broken && is_below(descriptor) ? EIO : 0; }

bool needs_space(int flags) { return (flags & (O_CREAT | O_TRUNC)) != 0; }

int refuse(int error) {
  errno = error;
  return -1;
}

}  // namespace

#define REFUSE_OR_PASS(error, name, type, ...)  \
  static const auto real = next_of<type>(name); \
  const int refused = (error);                  \
  return refused != 0 ? refuse(refused) : real(__VA_ARGS__)

extern "C" {

int open(const char* path, int flags, ...) {
  std::va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = va_arg(arguments, mode_t);
  va_end(arguments);
  REFUSE_OR_PASS(needs_space(flags) ? error_of_write(path) : 0, "open", int (*)(const char*, int, ...), path, flags,
                 mode);
}

int open64(const char* path, int flags, ...) {
  std::va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = va_arg(arguments, mode_t);
  va_end(arguments);
  REFUSE_OR_PASS(needs_space(flags) ? error_of_write(path) : 0, "open64", int (*)(const char*, int, ...), path, flags,
                 mode);
}

FILE* fopen(const char* path, const char* mode) {
  static const auto real = next_of<FILE* (*)(const char*, const char*)>("fopen");
  const int refused = mode[0] == 'r' ? 0 : error_of_write(path);
  if (refused != 0) {
    errno = refused;
    return nullptr;
  }
  return real(path, mode);
}

FILE* fopen64(const char* path, const char* mode) { return fopen(path, mode); }

ssize_t write(int descriptor, const void* bytes, size_t size) {
  REFUSE_OR_PASS(error_of_write(descriptor), "write", ssize_t(*)(int, const void*, size_t), descriptor, bytes, size);
}

ssize_t pwrite(int descriptor, const void* bytes, size_t size, off_t offset) {
  REFUSE_OR_PASS(error_of_write(descriptor), "pwrite", ssize_t(*)(int, const void*, size_t, off_t), descriptor, bytes,
                 size, offset);
}

ssize_t pwrite64(int descriptor, const void* bytes, size_t size, off64_t offset) {
  REFUSE_OR_PASS(error_of_write(descriptor), "pwrite64", ssize_t(*)(int, const void*, size_t, off64_t), descriptor,
                 bytes, size, offset);
}

ssize_t writev(int descriptor, const iovec* parts, int count) {
  REFUSE_OR_PASS(error_of_write(descriptor), "writev", ssize_t(*)(int, const iovec*, int), descriptor, parts, count);
}

int fallocate(int descriptor, int mode, off_t offset, off_t size) {
  REFUSE_OR_PASS(error_of_write(descriptor), "fallocate", int (*)(int, int, off_t, off_t), descriptor, mode, offset,
                 size);
}

int fallocate64(int descriptor, int mode, off64_t offset, off64_t size) {
  REFUSE_OR_PASS(error_of_write(descriptor), "fallocate64", int (*)(int, int, off64_t, off64_t), descriptor, mode,
                 offset, size);
}

int mkdir(const char* path, mode_t mode) {
  REFUSE_OR_PASS(error_of_write(path), "mkdir", int (*)(const char*, mode_t), path, mode);
}

int rename(const char* from, const char* to) {
  REFUSE_OR_PASS(error_of_write(to), "rename", int (*)(const char*, const char*), from, to);
}

int fsync(int descriptor) { REFUSE_OR_PASS(error_of_sync(descriptor), "fsync", int (*)(int), descriptor); }

int fdatasync(int descriptor) { REFUSE_OR_PASS(error_of_sync(descriptor), "fdatasync", int (*)(int), descriptor); }

}  // extern "C"
