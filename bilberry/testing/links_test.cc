#include "bilberry/links/link_health.h"
#include "bilberry/links/peer_links.h"

#include <gtest/gtest.h>
#include <poll.h>

namespace bilberry::links {
namespace {

using std::chrono::milliseconds;

TEST(LinkHealth, StepsFollowSilenceAndUse) {
  struct Case {
    const char *Name;
    milliseconds SinceUse;
    milliseconds SinceAnswer;
    milliseconds SinceHeartbeat;
    LinkStep Want;
  };
  const Case Cases[] = {
      {"fresh", milliseconds(0), milliseconds(0), milliseconds(0),
       LinkStep::None},
      {"heartbeat due", milliseconds(10), milliseconds(10), milliseconds(1000),
       LinkStep::SendHeartbeat},
      {"answers stopped", milliseconds(10), milliseconds(3000),
       milliseconds(10), LinkStep::Redial},
      {"unused", milliseconds(30000), milliseconds(10), milliseconds(10),
       LinkStep::Close},
      {"unused and silent", milliseconds(30000), milliseconds(3000),
       milliseconds(10), LinkStep::Close},
  };
  const base::TimePoint Now(std::chrono::hours(1));
  for (const Case &Item : Cases) {
    SCOPED_TRACE(Item.Name);
    LinkHealth Health(Now - Item.SinceHeartbeat);
    Health.onUse(Now - Item.SinceUse);
    Health.onAnswer(Now - Item.SinceAnswer);
    EXPECT_EQ(Health.step(Now), Item.Want);
  }
}

// Two processes' links on loopback. Waits on the descriptor, not on time.
class PeerLinksTest : public testing::Test {
protected:
  static members::Member member(const char *Name, uint16_t Port) {
    members::Member Value;
    Value.Name = base::MemberName(Name);
    Value.Control = {0x7F000001, Port};
    return Value;
  }

  static std::optional<wire::PeerMessage> await(PeerLinks &Links,
                                                base::TimePoint Now) {
    while (true) {
      std::optional<wire::PeerMessage> Message = Links.receive(Now);
      if (Message) {
        return Message;
      }
      pollfd Poll = {Links.receiveFd(), POLLIN, 0};
      poll(&Poll, 1, -1);
    }
  }

  base::TimePoint Now = base::TimePoint(std::chrono::hours(1));
  board::LocalMember FirstSelf{member("rounds-1", 27611)};
  board::LocalMember SecondSelf{member("rounds-2", 27612)};
  PeerLinks First{FirstSelf};
  PeerLinks Second{SecondSelf};
};

TEST_F(PeerLinksTest, DeliversToTheNamedReceiverOnly) {
  ASSERT_TRUE(First.listen(FirstSelf.get().Control));
  ASSERT_TRUE(Second.listen(SecondSelf.get().Control));
  const base::Address To = SecondSelf.get().Control;
  // An address that another process has taken over: its name differs.
  First.send(Now, To, base::MemberName("photos-1"), wire::FlowQuery{{1, 1}});
  First.send(Now, To, base::MemberName("rounds-2"), wire::FlowQuery{{2, 2}});
  std::optional<wire::PeerMessage> Message = await(Second, Now);
  EXPECT_EQ(std::get<wire::FlowQuery>(Message->Body).Key,
            (base::FlowKey{2, 2}));
  EXPECT_EQ(Message->Sender.Name, base::MemberName("rounds-1"));
  EXPECT_EQ(Second.counts().Misaddressed, 1U);
}

TEST_F(PeerLinksTest, RedialsALinkThatGoesUnanswered) {
  ASSERT_TRUE(First.listen(FirstSelf.get().Control));
  First.send(Now, SecondSelf.get().Control, {}, wire::ViewFetch());
  First.tick(Now + HeartbeatInterval);
  EXPECT_EQ(First.counts().Redials, 0U);
  First.tick(Now + SilentAfter);
  EXPECT_EQ(First.counts().Redials, 1U);
}

} // namespace
} // namespace bilberry::links
