// The event loop: epoll, timers, and the waits that routines suspend on.
#pragma once

#include <coroutine>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "net/task.hpp"

namespace wingtrail::net {

using Seconds = double;
Seconds steady_now();

enum class WakeReason : std::uint8_t { ready, timeout, cancelled };

class EventLoop;

// Something a routine is suspended on. Registered with its scope until it wakes.
class Waiter {
 public:
  virtual ~Waiter() = default;
  void wake(WakeReason how);
  bool pending() const {
    return pending_;
  }

 protected:
  friend class EventLoop;
  friend class TaskScope;
  void arm(EventLoop& loop, class TaskScope& scope, Seconds deadline, std::coroutine_handle<> h);

  EventLoop* loop_ = nullptr;
  class TaskScope* scope_ = nullptr;
  std::coroutine_handle<> handle_;
  std::multimap<Seconds, Waiter*>::iterator timer_;
  bool has_timer_ = false, pending_ = false;
  WakeReason reason_ = WakeReason::ready;
  Waiter* previous_ = nullptr;  // in its scope's list
  Waiter* next_ = nullptr;
};

// The waits of a family of routines. cancel() wakes all of them, now and from then on.
class TaskScope {
 public:
  explicit TaskScope(EventLoop& loop) : loop_(loop) {}
  ~TaskScope() {
    cancel();
  }
  TaskScope(const TaskScope&) = delete;
  TaskScope& operator=(const TaskScope&) = delete;
  void cancel();
  bool cancelled() const {
    return cancelled_;
  }
  EventLoop& loop() {
    return loop_;
  }

 private:
  friend class Waiter;
  EventLoop& loop_;
  Waiter* first_ = nullptr;
  bool cancelled_ = false;
};

// A non-blocking socket registered once, edge-triggered: fewer system calls than re-arming for each wait.
class Socket {
 public:
  Socket(EventLoop& loop, int fd);
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  int fd() const {
    return fd_;
  }
  bool hung_up() const {
    return hung_up_;
  }
  bool readable() const {
    return readable_;
  }

  class Ready : public Waiter {
   public:
    Ready(Socket& io, TaskScope& scope, bool write, Seconds deadline)
        : io_(io), owner_(scope), write_(write), deadline_(deadline) {}
    bool await_ready();
    void await_suspend(std::coroutine_handle<> h);
    WakeReason await_resume();

   private:
    Socket& io_;
    TaskScope& owner_;
    bool write_;
    Seconds deadline_;
  };
  Ready wait_readable(TaskScope& scope, Seconds deadline) {
    return {*this, scope, false, deadline};
  }
  Ready wait_writable(TaskScope& scope, Seconds deadline) {
    return {*this, scope, true, deadline};
  }
  void drained() {
    readable_ = hung_up_;
  }  // a hang-up stays readable: its edge comes only once
  void filled() {
    writable_ = false;
  }

 private:
  friend class EventLoop;
  EventLoop& loop_;
  int fd_;
  std::uint32_t table_index_ = 0;  // in the loop's table
  bool readable_ = false, writable_ = false, hung_up_ = false;
  Waiter* reader_ = nullptr;
  Waiter* writer_ = nullptr;
};

class Sleep : public Waiter {
 public:
  Sleep(TaskScope& scope, Seconds until) : owner_(scope), until_(until) {}
  bool await_ready() const {
    return false;
  }
  void await_suspend(std::coroutine_handle<> h) {
    arm(owner_.loop(), owner_, until_, h);
  }
  WakeReason await_resume() const {
    return reason_;
  }

 private:
  TaskScope& owner_;
  Seconds until_;
};

// A value that one side sets once and one routine waits for.
template <typename T>
class OneShot {
 public:
  class ValueWaiter : public Waiter {
   public:
    ValueWaiter(OneShot& slot, TaskScope& scope, Seconds deadline)
        : slot_(slot), owner_(scope), deadline_(deadline) {}
    bool await_ready() const {
      return slot_.value_.has_value();
    }
    void await_suspend(std::coroutine_handle<> h) {
      slot_.waiter_ = this;
      arm(owner_.loop(), owner_, deadline_, h);
    }
    std::optional<T> await_resume() {
      slot_.waiter_ = nullptr;
      return std::move(slot_.value_);
    }

   private:
    OneShot& slot_;
    TaskScope& owner_;
    Seconds deadline_;
  };
  void set(T v) {
    value_ = std::move(v);
    if (waiter_)
      waiter_->wake(WakeReason::ready);
  }
  ValueWaiter wait(TaskScope& scope, Seconds deadline) {
    return ValueWaiter(*this, scope, deadline);
  }

 private:
  std::optional<T> value_;
  ValueWaiter* waiter_ = nullptr;
};

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  // The time as of the last look at the clock: one look per round of events.
  Seconds now() const {
    return now_;
  }
  Seconds refresh() {
    return now_ = steady_now();
  }
  void run();
  void stop() {
    stopped_ = true;
  }
  // Runs before the loop sleeps; returns when it wants to run again at the latest.
  void before_sleep(std::function<Seconds()> fn) {
    before_sleep_ = std::move(fn);
  }

 private:
  friend class Waiter;
  friend class Socket;
  void resume_ready();

  int epoll_ = -1;
  Seconds now_ = 0;
  bool stopped_ = false;
  std::multimap<Seconds, Waiter*> timers_;
  std::vector<std::coroutine_handle<>> ready_;
  // A routine that runs in this round may close an Io whose event is still to come, and another may open one
  // in its place; the count tells them apart.
  struct SocketEntry {
    Socket* io = nullptr;
    std::uint32_t uses = 0;
  };
  std::vector<SocketEntry> sockets_;
  std::vector<std::uint32_t> free_entries_;
  std::function<Seconds()> before_sleep_;
};

}  // namespace wingtrail::net
