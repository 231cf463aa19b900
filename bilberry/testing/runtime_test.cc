#include "bilberry/runtime/pause_detector.h"
#include "bilberry/runtime/udp_socket.h"
#include "bilberry/runtime/worker_pool.h"

#include <future>
#include <gtest/gtest.h>

namespace bilberry::runtime {
namespace {

using std::chrono::seconds;

TEST(PauseDetector, FencesAfterAGapUntilRefreshed) {
  base::ManualClock Clock;
  PauseDetector Detector(Clock.now(), seconds(3));
  Clock.advance(seconds(3));
  EXPECT_TRUE(Detector.checkUnfenced(Clock.now()));
  Clock.advance(seconds(4));
  EXPECT_FALSE(Detector.checkUnfenced(Clock.now()));
  // A short interval between checks does not lift the fence.
  Clock.advance(seconds(1));
  EXPECT_FALSE(Detector.checkUnfenced(Clock.now()));
  Detector.onStateRefreshed();
  EXPECT_TRUE(Detector.checkUnfenced(Clock.now()));
  EXPECT_EQ(Detector.pauseCount(), 1U);
}

TEST(PauseDetector, StaysFencedAfterClose) {
  base::ManualClock Clock;
  PauseDetector Detector(Clock.now(), seconds(3));
  Detector.fencePermanently();
  Detector.onStateRefreshed();
  EXPECT_FALSE(Detector.checkUnfenced(Clock.now()));
}

// Disabled under the sanitizers, which report false positives for Boost.Fiber's
// context switches.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
TEST(WorkerPool, FiberReceivesDatagramsInOrder) {
  base::Result<UdpSocket> Receiver = UdpSocket::bind({0x7F000001, 0});
  base::Result<UdpSocket> Sender = UdpSocket::bind({0x7F000001, 0});
  ASSERT_TRUE(Receiver && Sender);
  sockaddr_in SocketAddress = {};
  socklen_t Size = sizeof(SocketAddress);
  getsockname(Receiver.value().fd(),
              reinterpret_cast<sockaddr *>(&SocketAddress), &Size);
  base::Address To = {ntohl(SocketAddress.sin_addr.s_addr),
                      ntohs(SocketAddress.sin_port)};

  constexpr size_t Count = 100;
  std::vector<std::string> ReceivedDatagrams;
  std::promise<void> AllReceived;
  WorkerPool Pool;
  Pool.add(0, [&] {
    ReceiveBatch Batch;
    readLoop(Receiver.value().fd(), Pool.stopFlag(), [&] {
      Receiver.value().receive(Batch);
      for (size_t I = 0; I < Batch.size(); ++I) {
        ReceivedDatagrams.emplace_back(Batch.bytes(I));
        if (ReceivedDatagrams.size() == Count) {
          AllReceived.set_value();
        }
      }
      return Batch.size() == BatchSize;
    });
  });
  Pool.start();
  for (size_t I = 0; I < Count; ++I) {
    ASSERT_TRUE(Sender.value().sendOne(To, "n", std::to_string(I)));
  }
  AllReceived.get_future().wait();
  Pool.stop();
  for (size_t I = 0; I < Count; ++I) {
    EXPECT_EQ(ReceivedDatagrams[I], "n" + std::to_string(I));
  }
}
#endif

} // namespace
} // namespace bilberry::runtime
