#include "bilberry/runtime/poll_scheduler.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>
#include <cstdint>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace bilberry::runtime {

// Number of fibers that run between two polls of the sockets. Bounds how long
// busy fibers that only yield can delay fibers that wait for input.
static constexpr unsigned MaxPicksBetweenPolls = 64;
static constexpr int EventsPerPoll = 64;

static thread_local PollScheduler *CurrentScheduler = nullptr;

PollScheduler::PollScheduler()
    : EpollFd(epoll_create1(EPOLL_CLOEXEC)),
      WakeupFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  epoll_event Event = {};
  Event.events = EPOLLIN;
  Event.data.fd = this->WakeupFd;
  epoll_ctl(this->EpollFd, EPOLL_CTL_ADD, this->WakeupFd, &Event);
  CurrentScheduler = this;
}

PollScheduler::~PollScheduler() {
  close(this->WakeupFd);
  close(this->EpollFd);
  CurrentScheduler = nullptr;
}

void PollScheduler::awakened(boost::fibers::context *Fiber) noexcept {
  Fiber->ready_link(this->ReadyFibers);
}

boost::fibers::context *PollScheduler::pick_next() noexcept {
  if (++this->PicksSincePoll >= MaxPicksBetweenPolls) {
    this->poll(0);
  }
  if (this->ReadyFibers.empty()) {
    return nullptr;
  }
  boost::fibers::context *Fiber = &this->ReadyFibers.front();
  this->ReadyFibers.pop_front();
  return Fiber;
}

bool PollScheduler::has_ready_fibers() const noexcept {
  return !this->ReadyFibers.empty();
}

static int
millisecondsUntil(const std::chrono::steady_clock::time_point &Until) {
  if (Until == std::chrono::steady_clock::time_point::max()) {
    return -1;
  }
  auto Remaining = std::chrono::ceil<std::chrono::milliseconds>(
      Until - std::chrono::steady_clock::now());
  return static_cast<int>(std::clamp<int64_t>(Remaining.count(), 0, INT_MAX));
}

void PollScheduler::suspend_until(
    const std::chrono::steady_clock::time_point &Until) noexcept {
  this->poll(millisecondsUntil(Until));
}

void PollScheduler::notify() noexcept {
  uint64_t One = 1;
  // A write that fails because the counter is full can be ignored: the pending
  // count wakes the thread.
  [[maybe_unused]] ssize_t Written = write(this->WakeupFd, &One, sizeof(One));
}

void PollScheduler::poll(int TimeoutMilliseconds) noexcept {
  this->PicksSincePoll = 0;
  std::array<epoll_event, EventsPerPoll> Events;
  int Count = epoll_wait(this->EpollFd, Events.data(), EventsPerPoll,
                         TimeoutMilliseconds);
  for (int I = 0; I < Count; ++I) {
    int Fd = Events[I].data.fd;
    if (Fd == this->WakeupFd) {
      uint64_t Value = 0;
      [[maybe_unused]] ssize_t ReadSize = read(Fd, &Value, sizeof(Value));
      continue;
    }
    auto It = this->WaitingFibers.find(Fd);
    if (It == this->WaitingFibers.end()) {
      continue;
    }
    boost::fibers::context *Fiber = It->second;
    this->WaitingFibers.erase(It);
    boost::fibers::context::active()->schedule(Fiber);
  }
}

void PollScheduler::wait(int Fd, uint32_t Events) {
  epoll_event Event = {};
  // One-shot: the next wait rearms it, so that a descriptor without a waiting
  // fiber causes no wakeups.
  Event.events = Events | EPOLLONESHOT;
  Event.data.fd = Fd;
  if (epoll_ctl(this->EpollFd, EPOLL_CTL_MOD, Fd, &Event) != 0 &&
      epoll_ctl(this->EpollFd, EPOLL_CTL_ADD, Fd, &Event) != 0) {
    return;
  }
  this->WaitingFibers[Fd] = boost::fibers::context::active();
  boost::fibers::context::active()->suspend();
}

void PollScheduler::waitReadable(int Fd) {
  CurrentScheduler->wait(Fd, EPOLLIN);
}

void PollScheduler::waitWritable(int Fd) {
  CurrentScheduler->wait(Fd, EPOLLOUT);
}

void PollScheduler::release(int Fd) {
  epoll_ctl(CurrentScheduler->EpollFd, EPOLL_CTL_DEL, Fd, nullptr);
  auto It = CurrentScheduler->WaitingFibers.find(Fd);
  if (It == CurrentScheduler->WaitingFibers.end()) {
    return;
  }
  boost::fibers::context *Fiber = It->second;
  CurrentScheduler->WaitingFibers.erase(It);
  boost::fibers::context::active()->schedule(Fiber);
}

} // namespace bilberry::runtime
