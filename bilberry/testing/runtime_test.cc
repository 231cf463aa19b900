#include "bilberry/runtime/pause_detector.h"
#include "bilberry/runtime/udp_socket.h"
#include "bilberry/runtime/worker_pool.h"

#include <future>
#include <gtest/gtest.h>

namespace bilberry::runtime {
namespace {

using std::chrono::seconds;

TEST(PauseDetector, FencesAfterAGapUntilRefreshed) {
  base::PausedClock Clock;
  PauseDetector Detector(Clock.now(), seconds(3));
  Clock.advance(seconds(3));
  EXPECT_TRUE(Detector.check(Clock.now()));
  Clock.advance(seconds(4));
  EXPECT_FALSE(Detector.check(Clock.now()));
  // Time that goes on as usual doesn't open the fence.
  Clock.advance(seconds(1));
  EXPECT_FALSE(Detector.check(Clock.now()));
  Detector.refreshed();
  EXPECT_TRUE(Detector.check(Clock.now()));
  EXPECT_EQ(Detector.pauses(), 1U);
}

TEST(PauseDetector, StaysClosedOnceClosed) {
  base::PausedClock Clock;
  PauseDetector Detector(Clock.now(), seconds(3));
  Detector.close();
  Detector.refreshed();
  EXPECT_FALSE(Detector.check(Clock.now()));
}

// Boost.Fiber's context switches give false reports under the sanitizers.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
TEST(WorkerPool, FiberTakesDatagramsInOrder) {
  base::Result<UdpSocket> Receiver = UdpSocket::bind({0x7F000001, 0});
  base::Result<UdpSocket> Sender = UdpSocket::bind({0x7F000001, 0});
  ASSERT_TRUE(Receiver && Sender);
  sockaddr_in Raw = {};
  socklen_t Size = sizeof(Raw);
  getsockname(Receiver.value().fd(), reinterpret_cast<sockaddr *>(&Raw), &Size);
  base::Address To = {ntohl(Raw.sin_addr.s_addr), ntohs(Raw.sin_port)};

  constexpr size_t Count = 100;
  std::vector<std::string> Taken;
  std::promise<void> AllTaken;
  WorkerPool Pool;
  Pool.add(0, [&] {
    ReceiveBatch Batch;
    readLoop(Receiver.value().fd(), Pool.stopFlag(), [&] {
      Receiver.value().receive(Batch);
      for (size_t I = 0; I < Batch.size(); ++I) {
        Taken.emplace_back(Batch.bytes(I));
        if (Taken.size() == Count) {
          AllTaken.set_value();
        }
      }
      return Batch.size() == BatchSize;
    });
  });
  Pool.start();
  for (size_t I = 0; I < Count; ++I) {
    ASSERT_TRUE(Sender.value().sendOne(To, "n", std::to_string(I)));
  }
  AllTaken.get_future().wait();
  Pool.stop();
  for (size_t I = 0; I < Count; ++I) {
    EXPECT_EQ(Taken[I], "n" + std::to_string(I));
  }
}
#endif

} // namespace
} // namespace bilberry::runtime
