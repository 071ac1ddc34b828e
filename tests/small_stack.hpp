/// @file
/// Runs a function with little stack, so that a test shows what needs much of it.
#pragma once

#include <limits.h>
#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <system_error>

namespace wingtrail {

#if defined(__SANITIZE_ADDRESS__)
/// The sanitizers put guards around each variable on the stack.
inline constexpr std::size_t kSmallStackBytes = 512UL * 1024;
#else
inline constexpr std::size_t kSmallStackBytes = 64UL * 1024;
#endif

/// Runs the function on a thread with a stack of kSmallStackBytes, or the least that the platform allows.
inline void run_on_small_stack(std::function<void()> function) {
  const auto check = [](int error) {
    if (error != 0)
      throw std::system_error(error, std::generic_category());
  };
  const auto least = static_cast<std::size_t>(sysconf(_SC_THREAD_STACK_MIN));
  pthread_attr_t attributes;
  check(pthread_attr_init(&attributes));
  check(pthread_attr_setstacksize(&attributes, std::max(least, kSmallStackBytes)));
  pthread_t thread{};
  const auto call = [](void* argument) -> void* {
    (*static_cast<std::function<void()>*>(argument))();
    return nullptr;
  };
  check(pthread_create(&thread, &attributes, call, &function));
  check(pthread_join(thread, nullptr));
  check(pthread_attr_destroy(&attributes));
}

}  // namespace wingtrail
