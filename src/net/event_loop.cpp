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

void Waiter::arm(EventLoop& loop, TaskScope& scope, Seconds deadline, std::coroutine_handle<> h) {
  loop_ = &loop;
  scope_ = &scope;
  handle_ = h;
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

// Resumption is queued, never nested: a routine is not re-entered from the code that woke it.
void Waiter::wake(WakeReason how) {
  if (!pending_)
    return;
  pending_ = false;
  reason_ = how;
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
  EventLoop::SocketEntry& place = loop_.sockets_[table_index_];
  place.io = this;
  ++place.uses;
  epoll_event ev{};
  ev.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  ev.data.u64 = static_cast<std::uint64_t>(place.uses) << 32 | table_index_;
  epoll_ctl(loop_.epoll_, EPOLL_CTL_ADD, fd_, &ev);
}

Socket::~Socket() {
  loop_.sockets_[table_index_].io = nullptr;
  loop_.free_entries_.push_back(table_index_);
  close(fd_);
}

bool Socket::Ready::await_ready() {
  const bool ready = write_ ? io_.writable_ : io_.readable_;
  return ready && !owner_.cancelled();
}

void Socket::Ready::await_suspend(std::coroutine_handle<> h) {
  (write_ ? io_.writer_ : io_.reader_) = this;
  arm(io_.loop_, owner_, deadline_, h);
}

WakeReason Socket::Ready::await_resume() {
  Waiter*& place = write_ ? io_.writer_ : io_.reader_;
  if (place == this)
    place = nullptr;
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
    for (auto h : batch)
      h.resume();
  }
}

void EventLoop::run() {
  epoll_event events[128];
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
      timeout = static_cast<int>(std::clamp(std::ceil((wake - now_) * 1000.0), 0.0, 60'000.0));
    }
    const int n = epoll_wait(epoll_, events, 128, timeout);
    refresh();
    for (int i = 0; i < n; ++i) {
      const SocketEntry& place = sockets_[static_cast<std::uint32_t>(events[i].data.u64)];
      Socket* io = place.io;
      if (!io || place.uses != events[i].data.u64 >> 32)
        continue;
      const std::uint32_t e = events[i].events;
      if (e & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
        io->hung_up_ = true;
      if (e & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
        io->readable_ = true;
        if (io->reader_)
          io->reader_->wake(WakeReason::ready);
      }
      if (e & (EPOLLOUT | EPOLLHUP | EPOLLERR)) {
        io->writable_ = true;
        if (io->writer_)
          io->writer_->wake(WakeReason::ready);
      }
    }
    while (!timers_.empty() && timers_.begin()->first <= now_)
      timers_.begin()->second->wake(WakeReason::timeout);
  }
  resume_ready();
}

}  // namespace wingtrail::net
