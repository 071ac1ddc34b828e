// The event loop: epoll, timers, and the waits that routines suspend on.
#pragma once

#include <coroutine>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "net/routine.hpp"

namespace wingtrail::net {

using Seconds = double;
Seconds steady_now();

enum class Woke : std::uint8_t { ready, timeout, cancelled };

class Loop;

// Something a routine is suspended on. Registered with its scope until it wakes.
class Wait {
 public:
  virtual ~Wait() = default;
  void wake(Woke how);
  bool pending() const {
    return pending_;
  }

 protected:
  friend class Loop;
  friend class Scope;
  void arm(Loop& loop, class Scope& scope, Seconds deadline, std::coroutine_handle<> h);

  Loop* loop_ = nullptr;
  class Scope* scope_ = nullptr;
  std::coroutine_handle<> handle_;
  std::multimap<Seconds, Wait*>::iterator timer_;
  bool has_timer_ = false, pending_ = false;
  Woke how_ = Woke::ready;
  Wait* before_ = nullptr;  // in its scope's list
  Wait* after_ = nullptr;
};

// The waits of a family of routines. cancel() wakes all of them, now and from then on.
class Scope {
 public:
  explicit Scope(Loop& loop) : loop_(loop) {}
  ~Scope() {
    cancel();
  }
  Scope(const Scope&) = delete;
  Scope& operator=(const Scope&) = delete;
  void cancel();
  bool cancelled() const {
    return cancelled_;
  }
  Loop& loop() {
    return loop_;
  }

 private:
  friend class Wait;
  Loop& loop_;
  Wait* first_ = nullptr;
  bool cancelled_ = false;
};

// A non-blocking socket registered once, edge-triggered: fewer system calls than re-arming for each wait.
class Io {
 public:
  Io(Loop& loop, int fd);
  ~Io();
  Io(const Io&) = delete;
  Io& operator=(const Io&) = delete;
  int fd() const {
    return fd_;
  }
  bool hung_up() const {
    return hung_up_;
  }
  bool readable() const {
    return readable_;
  }

  class Ready : public Wait {
   public:
    Ready(Io& io, Scope& scope, bool write, Seconds deadline)
        : io_(io), owner_(scope), write_(write), deadline_(deadline) {}
    bool await_ready();
    void await_suspend(std::coroutine_handle<> h);
    Woke await_resume();

   private:
    Io& io_;
    Scope& owner_;
    bool write_;
    Seconds deadline_;
  };
  Ready wait_readable(Scope& scope, Seconds deadline) {
    return {*this, scope, false, deadline};
  }
  Ready wait_writable(Scope& scope, Seconds deadline) {
    return {*this, scope, true, deadline};
  }
  void drained() {
    readable_ = hung_up_;
  }  // a hang-up stays readable: its edge comes only once
  void filled() {
    writable_ = false;
  }

 private:
  friend class Loop;
  Loop& loop_;
  int fd_;
  std::uint32_t place_ = 0;  // in the loop's table
  bool readable_ = false, writable_ = false, hung_up_ = false;
  Wait* reader_ = nullptr;
  Wait* writer_ = nullptr;
};

class Sleep : public Wait {
 public:
  Sleep(Scope& scope, Seconds until) : owner_(scope), until_(until) {}
  bool await_ready() const {
    return false;
  }
  void await_suspend(std::coroutine_handle<> h) {
    arm(owner_.loop(), owner_, until_, h);
  }
  Woke await_resume() const {
    return how_;
  }

 private:
  Scope& owner_;
  Seconds until_;
};

// A value that one side sets once and one routine waits for.
template <typename T>
class Slot {
 public:
  class Waiter : public Wait {
   public:
    Waiter(Slot& slot, Scope& scope, Seconds deadline) : slot_(slot), owner_(scope), deadline_(deadline) {}
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
    Slot& slot_;
    Scope& owner_;
    Seconds deadline_;
  };
  void set(T v) {
    value_ = std::move(v);
    if (waiter_)
      waiter_->wake(Woke::ready);
  }
  Waiter wait(Scope& scope, Seconds deadline) {
    return Waiter(*this, scope, deadline);
  }

 private:
  std::optional<T> value_;
  Waiter* waiter_ = nullptr;
};

class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
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
  friend class Wait;
  friend class Io;
  void resume_ready();

  int epoll_ = -1;
  Seconds now_ = 0;
  bool stopped_ = false;
  std::multimap<Seconds, Wait*> timers_;
  std::vector<std::coroutine_handle<>> ready_;
  // A routine that runs in this round may close an Io whose event is still to come, and another may open one
  // in its place; the count tells them apart.
  struct Place {
    Io* io = nullptr;
    std::uint32_t uses = 0;
  };
  std::vector<Place> places_;
  std::vector<std::uint32_t> free_places_;
  std::function<Seconds()> before_sleep_;
};

}  // namespace wingtrail::net
