// Coroutine types: Co<T> is a step that somebody awaits, Routine one that a Scope owns.
#pragma once

#include <coroutine>
#include <cstdlib>
#include <exception>
#include <optional>
#include <utility>

namespace wingtrail::net {

template <typename T>
class [[nodiscard]] Co {
 public:
  struct promise_type {
    std::optional<T> value;
    std::coroutine_handle<> waiter;

    Co get_return_object() {
      return Co(std::coroutine_handle<promise_type>::from_promise(*this));
    }
    std::suspend_always initial_suspend() noexcept {
      return {};
    }
    auto final_suspend() noexcept {
      struct Back {
        bool await_ready() noexcept {
          return false;
        }
        std::coroutine_handle<> await_suspend(std::coroutine_handle<promise_type> h) noexcept {
          return h.promise().waiter;
        }
        void await_resume() noexcept {}
      };
      return Back{};
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

  Co(Co&& other) noexcept : h_(std::exchange(other.h_, nullptr)) {}
  Co& operator=(Co&&) = delete;
  ~Co() {
    if (h_)
      h_.destroy();
  }
  bool await_ready() const noexcept {
    return false;
  }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> waiter) noexcept {
    h_.promise().waiter = waiter;
    return h_;
  }
  T await_resume() {
    return std::move(*h_.promise().value);
  }

 private:
  explicit Co(std::coroutine_handle<promise_type> h) : h_(h) {}
  std::coroutine_handle<promise_type> h_;
};

// Starts at once and frees itself at its end. What it waits for belongs to a Scope, whose cancellation makes
// every wait return "cancelled", so a routine always runs to its own end and its destructors run.
struct Routine {
  struct promise_type {
    Routine get_return_object() {
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
