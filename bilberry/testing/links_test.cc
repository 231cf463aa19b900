#include "bilberry/links/link_health.h"
#include "bilberry/links/peer_links.h"

#include <gtest/gtest.h>
#include <poll.h>
#include <unistd.h>

namespace bilberry::links {
namespace {

using std::chrono::milliseconds;

TEST(LinkHealth, ChoosesActionByTimeSinceSendAndReply) {
  struct Case {
    const char *Name;
    milliseconds SinceMessageSent;
    milliseconds SinceHeartbeatReply;
    milliseconds SinceHeartbeatSent;
    LinkAction Expected;
  };
  const Case Cases[] = {
      {"new link", milliseconds(0), milliseconds(0), milliseconds(0),
       LinkAction::None},
      {"heartbeat due", milliseconds(10), milliseconds(10), milliseconds(1000),
       LinkAction::SendHeartbeat},
      {"no heartbeat reply", milliseconds(10), milliseconds(3000),
       milliseconds(10), LinkAction::Redial},
      {"idle", milliseconds(30000), milliseconds(10), milliseconds(10),
       LinkAction::Close},
      {"idle and no heartbeat reply", milliseconds(30000), milliseconds(3000),
       milliseconds(10), LinkAction::Close},
  };
  const base::TimePoint Now(std::chrono::hours(1));
  for (const Case &TestCase : Cases) {
    SCOPED_TRACE(TestCase.Name);
    LinkHealth Health(Now - TestCase.SinceHeartbeatSent);
    Health.onMessageSent(Now - TestCase.SinceMessageSent);
    Health.onHeartbeatReply(Now - TestCase.SinceHeartbeatReply);
    EXPECT_EQ(Health.nextAction(Now), TestCase.Expected);
  }
}

// Links of two processes over loopback. Waits for the receive descriptor
// instead of sleeping.
class PeerLinksTest : public testing::Test {
protected:
  // Tests run in parallel as processes of their own, so each process uses its
  // own ports, below the range from which the kernel assigns ports.
  static uint16_t port(int Index) {
    constexpr int FirstPort = 20000;
    constexpr int ProcessCount = 6000;
    return static_cast<uint16_t>(FirstPort + (2 * (getpid() % ProcessCount)) +
                                 Index);
  }

  static members::Member member(const char *Name, uint16_t Port) {
    members::Member Value;
    Value.Name = base::MemberName(Name);
    Value.Control = {0x7F000001, Port};
    return Value;
  }

  static std::optional<wire::PeerMessage> receiveBlocking(PeerLinks &Links,
                                                          base::TimePoint Now) {
    while (true) {
      std::optional<wire::PeerMessage> Message = Links.receive(Now);
      if (Message) {
        return Message;
      }
      pollfd PollDescriptor = {Links.receiveFd(), POLLIN, 0};
      poll(&PollDescriptor, 1, -1);
    }
  }

  base::TimePoint Now = base::TimePoint(std::chrono::hours(1));
  board::LocalMember FirstSelf{member("rounds-1", port(0))};
  board::LocalMember SecondSelf{member("rounds-2", port(1))};
  PeerLinks First{FirstSelf};
  PeerLinks Second{SecondSelf};
};

TEST_F(PeerLinksTest, DeliversToTheNamedReceiverOnly) {
  ASSERT_TRUE(First.listen(FirstSelf.get().Control));
  ASSERT_TRUE(Second.listen(SecondSelf.get().Control));
  const base::Address To = SecondSelf.get().Control;
  // The first message is for a process that no longer has this address.
  First.send(Now, To, base::MemberName("photos-1"), wire::FlowQuery{{1, 1}});
  First.send(Now, To, base::MemberName("rounds-2"), wire::FlowQuery{{2, 2}});
  std::optional<wire::PeerMessage> Message = receiveBlocking(Second, Now);
  EXPECT_EQ(std::get<wire::FlowQuery>(Message->Body).Key,
            (base::FlowKey{2, 2}));
  EXPECT_EQ(Message->Sender.Name, base::MemberName("rounds-1"));
  EXPECT_EQ(Second.counts().Misaddressed, 1U);
}

TEST_F(PeerLinksTest, RedialsAfterReplyTimeout) {
  ASSERT_TRUE(First.listen(FirstSelf.get().Control));
  First.send(Now, SecondSelf.get().Control, {}, wire::ViewFetch());
  First.tick(Now + HeartbeatInterval);
  EXPECT_EQ(First.counts().Redials, 0U);
  First.tick(Now + ReplyTimeout);
  EXPECT_EQ(First.counts().Redials, 1U);
}

} // namespace
} // namespace bilberry::links
