#include "net/event_loop.hpp"

#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <stdexcept>
#include <system_error>

namespace wingtrail::net {

Seconds steady_now() {
  timespec ts{};
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * 1e-9;
}

void Waiter::arm(EventLoop& loop, TaskScope& scope, Seconds deadline, std::coroutine_handle<> handle) {
  loop_ = &loop;
  scope_ = &scope;
  handle_ = handle;
  pending_ = true;
  previous_ = nullptr;
  next_ = scope.first_;
  if (next_)
    next_->previous_ = this;
  scope.first_ = this;
  if (scope.cancelled_)
    return wake(WakeReason::cancelled);
  if (std::isfinite(deadline)) {
    timer_ = loop.timers_.emplace(deadline, this);
    has_timer_ = true;
  }
}

// The coroutine is queued, not resumed here, so that it is never entered from within the code that wakes it.
void Waiter::wake(WakeReason reason) {
  if (!pending_)
    return;
  pending_ = false;
  reason_ = reason;
  (previous_ ? previous_->next_ : scope_->first_) = next_;
  if (next_)
    next_->previous_ = previous_;
  if (has_timer_)
    loop_->timers_.erase(timer_);
  has_timer_ = false;
  loop_->ready_.push_back(handle_);
}

void TaskScope::cancel() {
  cancelled_ = true;
  while (first_)
    first_->wake(WakeReason::cancelled);
}

Socket::Socket(EventLoop& loop, int fd) : loop_(loop), fd_(fd) {
  if (loop_.free_entries_.empty()) {
    loop_.free_entries_.push_back(static_cast<std::uint32_t>(loop_.sockets_.size()));
    loop_.sockets_.emplace_back();
  }
  table_index_ = loop_.free_entries_.back();
  loop_.free_entries_.pop_back();
  EventLoop::SocketEntry& entry = loop_.sockets_[table_index_];
  entry.socket = this;
  ++entry.generation;
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = static_cast<std::uint64_t>(entry.generation) << 32 | table_index_;
  epoll_ctl(loop_.epoll_, EPOLL_CTL_ADD, fd_, &event);
}

Socket::~Socket() {
  loop_.sockets_[table_index_].socket = nullptr;
  loop_.free_entries_.push_back(table_index_);
  close(fd_);
}

bool Socket::ReadyWaiter::await_ready() {
  const bool ready = write_ ? socket_.writable_ : socket_.readable_;
  return ready && !owner_.cancelled();
}

void Socket::ReadyWaiter::await_suspend(std::coroutine_handle<> handle) {
  (write_ ? socket_.writer_ : socket_.reader_) = this;
  arm(socket_.loop_, owner_, deadline_, handle);
}

WakeReason Socket::ReadyWaiter::await_resume() {
  Waiter*& waiter = write_ ? socket_.writer_ : socket_.reader_;
  if (waiter == this)
    waiter = nullptr;
  return owner_.cancelled() ? WakeReason::cancelled : reason_;
}

EventLoop::EventLoop() : epoll_(epoll_create1(EPOLL_CLOEXEC)), now_(steady_now()) {
  if (epoll_ < 0)
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

EventLoop::~EventLoop() {
  close(epoll_);
}

void EventLoop::resume_ready() {
  while (!ready_.empty()) {
    std::vector<std::coroutine_handle<>> batch;
    batch.swap(ready_);
    for (auto handle : batch)
      handle.resume();
  }
}

void EventLoop::run() {
  constexpr int kEventBatch = 128;
  constexpr double kMaxWaitMs = 60'000;
  epoll_event events[kEventBatch];
  while (!stopped_) {
    resume_ready();
    Seconds wake = before_sleep_ ? before_sleep_() : INFINITY;
    if (!ready_.empty())
      continue;
    if (stopped_)
      break;
    if (!timers_.empty())
      wake = std::min(wake, timers_.begin()->first);
    int timeout = -1;
    if (std::isfinite(wake)) {
      timeout = static_cast<int>(std::clamp(std::ceil((wake - now_) * 1000.0), 0.0, kMaxWaitMs));
    }
    const int event_count = epoll_wait(epoll_, events, kEventBatch, timeout);
    refresh();
    for (int i = 0; i < event_count; ++i) {
      const SocketEntry& entry = sockets_[static_cast<std::uint32_t>(events[i].data.u64)];
      Socket* socket = entry.socket;
      if (!socket || entry.generation != events[i].data.u64 >> 32)
        continue;
      const std::uint32_t flags = events[i].events;
      if (flags & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
        socket->hung_up_ = true;
      if (flags & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
        socket->readable_ = true;
        if (socket->reader_)
          socket->reader_->wake(WakeReason::ready);
      }
      if (flags & (EPOLLOUT | EPOLLHUP | EPOLLERR)) {
        socket->writable_ = true;
        if (socket->writer_)
          socket->writer_->wake(WakeReason::ready);
      }
    }
    while (!timers_.empty() && timers_.begin()->first <= now_)
      timers_.begin()->second->wake(WakeReason::timeout);
  }
  resume_ready();
}

}  // namespace wingtrail::net
