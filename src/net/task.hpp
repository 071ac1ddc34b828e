/// @file
/// Coroutine types: a Task<T> runs when another coroutine awaits it, a DetachedTask runs on its own.
#pragma once

#include <coroutine>
#include <cstdlib>
#include <exception>
#include <optional>
#include <utility>

namespace wingtrail::net {

/// A coroutine that starts when it is awaited and returns a T. Owns its frame.
template <typename T>
class [[nodiscard]] Task {
 public:
  struct promise_type {
    std::optional<T> value;
    std::coroutine_handle<> waiter;

    Task get_return_object() {
      return Task(std::coroutine_handle<promise_type>::from_promise(*this));
    }
    std::suspend_always initial_suspend() noexcept {
      return {};
    }
    auto final_suspend() noexcept {
      struct ResumeWaiter {
        bool await_ready() noexcept {
          return false;
        }
        std::coroutine_handle<> await_suspend(std::coroutine_handle<promise_type> handle) noexcept {
          return handle.promise().waiter;
        }
        void await_resume() noexcept {}
      };
      return ResumeWaiter{};
    }
    void return_value(T result) {
      value = std::move(result);
    }
    // Errors are returned as values, so an exception that reaches this point is a defect. Terminating is
    // safer than a controller that continues with some of its coroutines dead.
    void unhandled_exception() {
      std::terminate();
    }
  };

  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, nullptr)) {}
  Task& operator=(Task&&) = delete;
  ~Task() {
    if (handle_)
      handle_.destroy();
  }
  bool await_ready() const noexcept {
    return false;
  }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> waiter) noexcept {
    handle_.promise().waiter = waiter;
    return handle_;
  }
  T await_resume() {
    return std::move(*handle_.promise().value);
  }

 private:
  explicit Task(std::coroutine_handle<promise_type> handle) : handle_(handle) {}
  std::coroutine_handle<promise_type> handle_;
};

/// A coroutine that starts at once and frees its frame when it returns. All its waits must belong to a
/// TaskScope: cancelling the scope makes every wait return `cancelled`, so that the coroutine runs to its end
/// and its destructors run.
struct DetachedTask {
  struct promise_type {
    DetachedTask get_return_object() {
      return {};
    }
    std::suspend_never initial_suspend() noexcept {
      return {};
    }
    std::suspend_never final_suspend() noexcept {
      return {};
    }
    void return_void() {}
    void unhandled_exception() {
      std::terminate();
    }
  };
};

}  // namespace wingtrail::net
