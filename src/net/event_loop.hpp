/// @file
/// The event loop: epoll, timers, and the awaitables that coroutines suspend on.
#pragma once

#include <coroutine>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "net/task.hpp"

namespace wingtrail::net {

using Seconds = double;
/// The time of the monotonic clock, in seconds.
Seconds steady_now();

/// Why a suspended coroutine was resumed.
enum class WakeReason : std::uint8_t { ready, timeout, cancelled };

class EventLoop;

/// Base of the awaitables: a coroutine is suspended on it from arm() until wake(). Registered with its scope
/// for that time.
class Waiter {
 public:
  virtual ~Waiter() = default;
  /// Queues the coroutine for resumption. Does nothing if the waiter is not pending.
  void wake(WakeReason reason);
  bool pending() const {
    return pending_;
  }

 protected:
  friend class EventLoop;
  friend class TaskScope;
  /// Registers the suspended coroutine. At the deadline it is woken with `timeout`; an infinite deadline sets
  /// no timer.
  void arm(EventLoop& loop, class TaskScope& scope, Seconds deadline, std::coroutine_handle<> handle);

  EventLoop* loop_ = nullptr;
  class TaskScope* scope_ = nullptr;
  std::coroutine_handle<> handle_;
  std::multimap<Seconds, Waiter*>::iterator timer_;
  bool has_timer_ = false, pending_ = false;
  WakeReason reason_ = WakeReason::ready;
  Waiter* previous_ = nullptr;  ///< in the list of its scope
  Waiter* next_ = nullptr;
};

/// A group of coroutines that are cancelled together. cancel() wakes all waiters of the scope; any later wait
/// in it returns `cancelled` as well.
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

/// Owns a non-blocking socket. It is registered with epoll once, edge-triggered, which takes fewer system
/// calls than registering it again for each wait. At most one coroutine may wait to read, and one to write.
class Socket {
 public:
  /// Takes ownership of `fd`.
  Socket(EventLoop& loop, int fd);
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  int fd() const {
    return fd_;
  }
  /// The other side has closed the connection, or it failed.
  bool hung_up() const {
    return hung_up_;
  }
  /// Data, a hang-up or an error was signalled since the last mark_not_readable().
  bool readable() const {
    return readable_;
  }

  class ReadyWaiter : public Waiter {
   public:
    ReadyWaiter(Socket& socket, TaskScope& scope, bool write, Seconds deadline)
        : socket_(socket), owner_(scope), write_(write), deadline_(deadline) {}
    bool await_ready();
    void await_suspend(std::coroutine_handle<> handle);
    WakeReason await_resume();

   private:
    Socket& socket_;
    TaskScope& owner_;
    bool write_;
    Seconds deadline_;
  };
  ReadyWaiter wait_readable(TaskScope& scope, Seconds deadline) {
    return {*this, scope, false, deadline};
  }
  ReadyWaiter wait_writable(TaskScope& scope, Seconds deadline) {
    return {*this, scope, true, deadline};
  }
  /// To be called when a read found no more data. A socket that has hung up stays readable, because epoll
  /// signals the hang-up only once.
  void mark_not_readable() {
    readable_ = hung_up_;
  }
  /// To be called when a write found the send buffer full.
  void mark_not_writable() {
    writable_ = false;
  }

 private:
  friend class EventLoop;
  EventLoop& loop_;
  int fd_;
  std::uint32_t table_index_ = 0;  ///< in the loop's table of sockets
  bool readable_ = false, writable_ = false, hung_up_ = false;
  Waiter* reader_ = nullptr;
  Waiter* writer_ = nullptr;
};

/// Suspends a coroutine until a time of the loop's clock.
class Sleep : public Waiter {
 public:
  Sleep(TaskScope& scope, Seconds until) : owner_(scope), until_(until) {}
  bool await_ready() const {
    return false;
  }
  void await_suspend(std::coroutine_handle<> handle) {
    arm(owner_.loop(), owner_, until_, handle);
  }
  WakeReason await_resume() const {
    return reason_;
  }

 private:
  TaskScope& owner_;
  Seconds until_;
};

/// A value that is set once and that one coroutine waits for. The wait returns no value if the deadline
/// passes or the scope is cancelled first.
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
    void await_suspend(std::coroutine_handle<> handle) {
      slot_.waiter_ = this;
      arm(owner_.loop(), owner_, deadline_, handle);
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
  void set(T value) {
    value_ = std::move(value);
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

/// Runs coroutines on one thread: resumes them when their sockets are ready or their timers expire.
class EventLoop {
 public:
  /// Throws std::system_error if epoll is not available.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  /// The time when the clock was last read: after each wait for events, and at each refresh().
  Seconds now() const {
    return now_;
  }
  /// Reads the clock and returns the time.
  Seconds refresh() {
    return now_ = steady_now();
  }
  /// Runs until stop() is called.
  void run();
  void stop() {
    stopped_ = true;
  }
  /// Sets a function that runs before each wait for events. It returns the time at which it has to run again
  /// at the latest.
  void before_sleep(std::function<Seconds()> callback) {
    before_sleep_ = std::move(callback);
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
  // While a batch of events is handled, a coroutine may close a socket whose event is later in the batch, and
  // another may open a socket in the same entry. The generation tells the two sockets apart.
  struct SocketEntry {
    Socket* socket = nullptr;
    std::uint32_t generation = 0;
  };
  std::vector<SocketEntry> sockets_;
  std::vector<std::uint32_t> free_entries_;
  std::function<Seconds()> before_sleep_;
};

}  // namespace wingtrail::net
