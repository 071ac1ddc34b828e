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
  loop_->ready_[static_cast<std::size_t>(priority_)].push_back(handle_);
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

void Socket::on_events(std::uint32_t flags) {
  if (flags & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
    hung_up_ = true;
  if (flags & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
    readable_ = true;
    if (reader_)
      reader_->wake(WakeReason::ready);
  }
  if (flags & (EPOLLOUT | EPOLLHUP | EPOLLERR)) {
    writable_ = true;
    if (writer_)
      writer_->wake(WakeReason::ready);
  }
}

bool Socket::ReadyWaiter::await_ready() {
  const bool ready = write_ ? socket_.writable_ : socket_.readable_;
  return ready && !owner_.cancelled();
}

void Socket::ReadyWaiter::await_suspend(std::coroutine_handle<> handle) {
  (write_ ? socket_.writer_ : socket_.reader_) = this;
  priority_ = socket_.priority_;
  arm(socket_.loop_, owner_, deadline_, handle);
}

WakeReason Socket::ReadyWaiter::await_resume() {
  Waiter*& waiter = write_ ? socket_.writer_ : socket_.reader_;
  if (waiter == this)
    waiter = nullptr;
  return owner_.cancelled() ? WakeReason::cancelled : reason_;
}

void Yield::await_suspend(std::coroutine_handle<> handle) {
  arm(owner_.loop(), owner_, INFINITY, handle);
  wake(WakeReason::ready);
}

EventLoop::EventLoop() : epoll_(epoll_create1(EPOLL_CLOEXEC)), now_(steady_now()) {
  if (epoll_ < 0)
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

EventLoop::~EventLoop() {
  close(epoll_);
}

void EventLoop::resume_control() {
  auto& control = ready_[static_cast<std::size_t>(Priority::control)];
  while (!control.empty()) {
    const auto handle = control.front();
    control.pop_front();
    handle.resume();
  }
}

void EventLoop::resume_some(Priority priority, std::size_t limit) {
  auto& queue = ready_[static_cast<std::size_t>(priority)];
  for (std::size_t count = 0; count < limit && !queue.empty(); ++count) {
    const auto handle = queue.front();
    queue.pop_front();
    handle.resume();
    resume_control();
  }
}

void EventLoop::resume_ready() {
  // Coroutines a turn. Bulk keeps a third of the turns when users send more than the process can answer.
  constexpr std::size_t kInteractiveLimit = 64, kBulkLimit = 32;
  resume_control();
  resume_some(Priority::interactive, kInteractiveLimit);
  resume_some(Priority::bulk, kBulkLimit);
}

bool EventLoop::any_ready() const {
  return std::any_of(ready_.begin(), ready_.end(), [](const auto& queue) { return !queue.empty(); });
}

int EventLoop::timeout_until(Seconds wake) const {
  constexpr double kMaxWaitMs = 60'000;
  if (!std::isfinite(wake))
    return -1;
  return static_cast<int>(std::clamp(std::ceil((wake - now_) * 1000.0), 0.0, kMaxWaitMs));
}

void EventLoop::collect_events(int timeout_ms) {
  constexpr int kEventBatch = 128;
  epoll_event events[kEventBatch];
  int event_count = kEventBatch;
  // All batches are collected: the event of a controller may be behind those of thousands of workers.
  for (int timeout = timeout_ms; event_count == kEventBatch; timeout = 0) {
    event_count = epoll_wait(epoll_, events, kEventBatch, timeout);
    for (int i = 0; i < event_count; ++i) {
      const SocketEntry& entry = sockets_[static_cast<std::uint32_t>(events[i].data.u64)];
      if (entry.socket && entry.generation == events[i].data.u64 >> 32)
        entry.socket->on_events(events[i].events);
    }
  }
  refresh();
}

void EventLoop::run() {
  while (!stopped_) {
    resume_ready();
    Seconds wake = before_sleep_ ? before_sleep_() : INFINITY;
    if (stopped_)
      break;
    if (!timers_.empty())
      wake = std::min(wake, timers_.begin()->first);
    collect_events(any_ready() ? 0 : timeout_until(wake));
    while (!timers_.empty() && timers_.begin()->first <= now_)
      timers_.begin()->second->wake(WakeReason::timeout);
  }
  while (any_ready())
    resume_ready();
}

}  // namespace wingtrail::net
