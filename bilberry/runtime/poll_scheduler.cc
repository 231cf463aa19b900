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

// How many fibers may run before the sockets are looked at again. Bounds how
// long a busy fiber that only yields can keep the others from their input.
static constexpr unsigned MaxPicksBetweenPolls = 64;
static constexpr int EventsPerPoll = 64;

static thread_local PollScheduler *Current = nullptr;

PollScheduler::PollScheduler()
    : Epoll(epoll_create1(EPOLL_CLOEXEC)),
      Wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  epoll_event Event = {};
  Event.events = EPOLLIN;
  Event.data.fd = this->Wakeup;
  epoll_ctl(this->Epoll, EPOLL_CTL_ADD, this->Wakeup, &Event);
  Current = this;
}

PollScheduler::~PollScheduler() {
  close(this->Wakeup);
  close(this->Epoll);
  Current = nullptr;
}

void PollScheduler::awakened(boost::fibers::context *Fiber) noexcept {
  Fiber->ready_link(this->Ready);
}

boost::fibers::context *PollScheduler::pick_next() noexcept {
  if (++this->PicksSincePoll >= MaxPicksBetweenPolls) {
    this->poll(0);
  }
  if (this->Ready.empty()) {
    return nullptr;
  }
  boost::fibers::context *Fiber = &this->Ready.front();
  this->Ready.pop_front();
  return Fiber;
}

bool PollScheduler::has_ready_fibers() const noexcept {
  return !this->Ready.empty();
}

static int
millisecondsUntil(const std::chrono::steady_clock::time_point &Until) {
  if (Until == std::chrono::steady_clock::time_point::max()) {
    return -1;
  }
  auto Left = std::chrono::ceil<std::chrono::milliseconds>(
      Until - std::chrono::steady_clock::now());
  return static_cast<int>(std::clamp<int64_t>(Left.count(), 0, INT_MAX));
}

void PollScheduler::suspend_until(
    const std::chrono::steady_clock::time_point &Until) noexcept {
  this->poll(millisecondsUntil(Until));
}

void PollScheduler::notify() noexcept {
  uint64_t One = 1;
  // A full counter already wakes the thread, so a short write is no fault.
  [[maybe_unused]] ssize_t Written = write(this->Wakeup, &One, sizeof(One));
}

void PollScheduler::poll(int TimeoutMilliseconds) noexcept {
  this->PicksSincePoll = 0;
  std::array<epoll_event, EventsPerPoll> Events;
  int Count = epoll_wait(this->Epoll, Events.data(), EventsPerPoll,
                         TimeoutMilliseconds);
  for (int I = 0; I < Count; ++I) {
    int Fd = Events[I].data.fd;
    if (Fd == this->Wakeup) {
      uint64_t Value = 0;
      [[maybe_unused]] ssize_t Taken = read(Fd, &Value, sizeof(Value));
      continue;
    }
    auto It = this->Waiting.find(Fd);
    if (It == this->Waiting.end()) {
      continue;
    }
    boost::fibers::context *Fiber = It->second;
    this->Waiting.erase(It);
    boost::fibers::context::active()->schedule(Fiber);
  }
}

void PollScheduler::wait(int Fd, uint32_t Events) {
  epoll_event Event = {};
  // One shot: the next wait arms it again, so a descriptor that nobody waits
  // for wakes nobody.
  Event.events = Events | EPOLLONESHOT;
  Event.data.fd = Fd;
  if (epoll_ctl(this->Epoll, EPOLL_CTL_MOD, Fd, &Event) != 0 &&
      epoll_ctl(this->Epoll, EPOLL_CTL_ADD, Fd, &Event) != 0) {
    return;
  }
  this->Waiting[Fd] = boost::fibers::context::active();
  boost::fibers::context::active()->suspend();
}

void PollScheduler::waitReadable(int Fd) { Current->wait(Fd, EPOLLIN); }

void PollScheduler::waitWritable(int Fd) { Current->wait(Fd, EPOLLOUT); }

void PollScheduler::release(int Fd) {
  epoll_ctl(Current->Epoll, EPOLL_CTL_DEL, Fd, nullptr);
  auto It = Current->Waiting.find(Fd);
  if (It == Current->Waiting.end()) {
    return;
  }
  boost::fibers::context *Fiber = It->second;
  Current->Waiting.erase(It);
  boost::fibers::context::active()->schedule(Fiber);
}

} // namespace bilberry::runtime
