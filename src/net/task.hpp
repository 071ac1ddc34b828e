/// @file
/// Coroutine types: Task<T> is a step that somebody awaits, DetachedTask one that runs by itself.
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
        std::coroutine_handle<> await_suspend(std::coroutine_handle<promise_type> h) noexcept {
          return h.promise().waiter;
        }
        void await_resume() noexcept {}
      };
      return ResumeWaiter{};
    }
    void return_value(T v) {
      value = std::move(v);
    }
    // Errors travel as values here; an exception that gets this far is a defect, and a clean end beats a
    // controller that goes on half alive.
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
  explicit Task(std::coroutine_handle<promise_type> h) : handle_(h) {}
  std::coroutine_handle<promise_type> handle_;
};

/// A coroutine that starts at once and frees itself at its end. What it waits for belongs to a TaskScope,
/// whose cancellation makes every wait return "cancelled", so it always runs to its own end and its
/// destructors run.
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
