// Injects each kind of fault into complete controllers under a constant load of
// requests that aren't idempotent. Checks that the guarantees hold and measures
// the cost in refusals. The printed figures are recorded in docs/REQUESTS.md.

#include "bilberry/testing/request_cluster.h"

#include <gtest/gtest.h>

namespace bilberry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration SettlingTime = seconds(3);
constexpr base::Duration SendInterval = milliseconds(50);
constexpr base::Duration CallerResendInterval = milliseconds(400);
constexpr base::Duration CallerTimeout = seconds(4);
/// 20 requests a second for 20 seconds.
constexpr int Requests = 400;

/// Simulates callers that send one request each, resend it to another node
/// until an outcome arrives, and raise the attempt after "not run".
class CallerLoad {
public:
  CallerLoad(RequestCluster &Cluster, size_t Count)
      : Cluster(Cluster), Count(Count) {}

  void step(bool MaySendNew) {
    if (MaySendNew) {
      auto Shard = static_cast<uint32_t>(this->Callers.size() %
                                         requests::ShardsPerService);
      this->Callers.push_back(
          {requestIdInShard(Shard, this->Callers.size() + 1), 1,
           this->Cluster.now() + CallerTimeout, base::TimePoint(),
           this->Callers.size()});
    }
    for (Caller &Each : this->Callers) {
      this->resendIfDue(Each);
    }
    this->Cluster.advance(SendInterval);
  }

private:
  struct Caller {
    base::RequestId Id;
    uint32_t Attempt;
    base::TimePoint Deadline;
    base::TimePoint SentAt;
    size_t Node;
  };

  void resendIfDue(Caller &Each) {
    bool IsPastDeadline = this->Cluster.now() >= Each.Deadline;
    bool IsTooEarly = this->Cluster.now() < Each.SentAt + CallerResendInterval;
    if (IsPastDeadline || IsTooEarly) {
      return;
    }
    if (this->Cluster.firstOutcome(Each.Id, Each.Attempt) != nullptr) {
      if (!this->Cluster.wasReportedNotRun(Each.Id, Each.Attempt)) {
        return;
      }
      ++Each.Attempt;
    }
    Each.SentAt = this->Cluster.now();
    this->Cluster.send(Each.Node++ % this->Count, Each.Id, Each.Attempt,
                       Each.Deadline);
  }

  RequestCluster &Cluster;
  size_t Count;
  std::vector<Caller> Callers;
};

struct FaultCase {
  const char *Name;
  /// Called 5 seconds after the start of the load; Owner owns shard 0 and
  /// Backup backs it up.
  void (*InjectFault)(RequestCluster &Cluster, size_t Owner, size_t Backup);
  /// Called 8 seconds later.
  void (*Repair)(RequestCluster &Cluster, size_t Owner, size_t Backup);
  /// Minimum number of answered requests and maximum number of unknown
  /// outcomes.
  size_t MinAnswered;
  size_t MaxUnknown;
};

void noAction(RequestCluster &, size_t, size_t) {}
void resumeBoth(RequestCluster &Cluster, size_t Owner, size_t Backup) {
  Cluster.resume(Owner);
  Cluster.resume(Backup);
}

const FaultCase Cases[] = {
    {"no fault", noAction, noAction, 400, 0},
    {"two different views",
     [](RequestCluster &Cluster, size_t Owner, size_t Backup) {
       for (size_t Node = 0; Node < 4; ++Node) {
         Cluster.setSilent(Node, Owner, Node != Owner);
         Cluster.setSilent(Node, Backup, Node % 2 == 0 && Node != Backup);
       }
     },
     [](RequestCluster &Cluster, size_t Owner, size_t Backup) {
       for (size_t Node = 0; Node < 4; ++Node) {
         Cluster.setSilent(Node, Owner, false);
         Cluster.setSilent(Node, Backup, false);
       }
     },
     380, 15},
    {"two joins at once",
     [](RequestCluster &Cluster, size_t, size_t) {
       Cluster.start(2);
       Cluster.start(3);
     },
     noAction, 400, 0},
    {"owner paused beyond its lease",
     [](RequestCluster &Cluster, size_t Owner, size_t) {
       Cluster.pause(Owner);
     },
     resumeBoth, 330, 40},
    {"backup paused beyond its lease",
     [](RequestCluster &Cluster, size_t, size_t Backup) {
       Cluster.pause(Backup);
     },
     resumeBoth, 330, 40},
    {"owner and backup paused beyond their leases",
     [](RequestCluster &Cluster, size_t Owner, size_t Backup) {
       Cluster.pause(Owner);
       Cluster.pause(Backup);
     },
     resumeBoth, 200, 150},
    {"owner killed",
     [](RequestCluster &Cluster, size_t Owner, size_t) { Cluster.kill(Owner); },
     noAction, 330, 40},
    {"backup killed",
     [](RequestCluster &Cluster, size_t, size_t Backup) {
       Cluster.kill(Backup);
     },
     noAction, 330, 40},
    {"owner and backup killed",
     [](RequestCluster &Cluster, size_t Owner, size_t Backup) {
       Cluster.kill(Owner);
       Cluster.kill(Backup);
     },
     noAction, 200, 150},
    {"owner killed and restarted without its state",
     [](RequestCluster &Cluster, size_t Owner, size_t) { Cluster.kill(Owner); },
     [](RequestCluster &Cluster, size_t Owner, size_t) {
       Cluster.start(Owner);
     },
     330, 40},
    {"store down throughout",
     [](RequestCluster &Cluster, size_t, size_t) {
       Cluster.IsStoreDown = true;
     },
     noAction, 400, 0},
    {"store down, then owner killed",
     [](RequestCluster &Cluster, size_t Owner, size_t) {
       Cluster.IsStoreDown = true;
       Cluster.kill(Owner);
     },
     [](RequestCluster &Cluster, size_t, size_t) {
       Cluster.IsStoreDown = false;
     },
     200, 150},
    {"owner killed, replies to swaps lost",
     [](RequestCluster &Cluster, size_t Owner, size_t) {
       Cluster.LostSwapReplies = 40;
       Cluster.kill(Owner);
     },
     noAction, 300, 60},
    {"owner and backup partitioned from peers and the store",
     [](RequestCluster &Cluster, size_t Owner, size_t Backup) {
       Cluster.isolate({Owner, Backup});
     },
     [](RequestCluster &Cluster, size_t, size_t) { Cluster.isolate({}); }, 200,
     150},
    {"owner drains",
     [](RequestCluster &Cluster, size_t Owner, size_t) {
       Cluster.setState(Owner, members::MemberState::Draining);
     },
     noAction, 400, 0},
    {"owner and backup drain",
     [](RequestCluster &Cluster, size_t Owner, size_t Backup) {
       Cluster.setState(Owner, members::MemberState::Draining);
       Cluster.setState(Backup, members::MemberState::Draining);
     },
     noAction, 400, 0},
    {"planned restart of the owner",
     [](RequestCluster &Cluster, size_t Owner, size_t) {
       std::string State = Cluster.controller(Owner).snapshot();
       Cluster.advance(milliseconds(500)); // The old run is still alive.
       Cluster.start(Owner, State);
     },
     noAction, 398, 2},
};

TEST(RequestFaults, KeepsGuaranteesUnderEachFault) {
  std::printf("%-55s %8s %8s %8s %8s\n", "fault", "answered", "not run",
              "unknown", "no reply");
  for (const FaultCase &Case : Cases) {
    RequestCluster Cluster(4, 7);
    bool IsJoin = std::string(Case.Name) == "two joins at once";
    if (IsJoin) {
      Cluster.kill(2);
      Cluster.kill(3);
    }
    Cluster.advance(IsJoin ? seconds(10) : SettlingTime);
    size_t Owner = Cluster.ownerOf(0);
    size_t Backup = Cluster.backupOf(0);
    CallerLoad Callers(Cluster, IsJoin ? 2 : 4);
    for (int Step = 0; Step < Requests + 100; ++Step) {
      if (Step == 100) {
        Case.InjectFault(Cluster, Owner, Backup);
      }
      if (Step == 260) {
        Case.Repair(Cluster, Owner, Backup);
      }
      Callers.step(Step < Requests);
    }
    EXPECT_EQ(Cluster.violations(), "") << Case.Name;
    ClusterTotals Totals = Cluster.totals();
    EXPECT_GE(Totals.Answered, Case.MinAnswered) << Case.Name;
    EXPECT_LE(Totals.Unknown, Case.MaxUnknown) << Case.Name;
    std::printf("%-55s %8zu %8zu %8zu %8zu\n", Case.Name, Totals.Answered,
                Totals.NotRun, Totals.Unknown, Totals.NoOutcome);
  }
}

/// Pauses each node for longer than its lease, at each step of a request.
TEST(RequestFaults, KeepsGuaranteesWhenPausedAtAnyStep) {
  for (int Step = 0; Step < 20; ++Step) {
    for (size_t Paused = 0; Paused < 3; ++Paused) {
      RequestCluster Cluster(3, 11, {0, 10, 0, milliseconds(30)});
      Cluster.advance(SettlingTime);
      base::RequestId Id = requestIdInShard(5, 1);
      base::TimePoint Deadline = Cluster.now() + seconds(9);
      for (size_t Node = 0; Node < 3; ++Node) {
        Cluster.send(Node, Id, 1, Deadline);
      }
      Cluster.advance(milliseconds(10) * Step);
      Cluster.pause(Paused);
      for (int Repeat = 0; Repeat < 6; ++Repeat) {
        Cluster.advance(seconds(1));
        Cluster.send((Paused + 1) % 3, Id, 1, Deadline);
      }
      Cluster.resume(Paused);
      Cluster.advance(seconds(2));
      EXPECT_EQ(Cluster.violations(), "") << Step << " " << Paused;
      EXPECT_NE(Cluster.firstOutcome(Id, 1), nullptr) << Step << " " << Paused;
    }
  }
}

// Either of the last two agents of a service can drain, and the other then
// works without a backup. If a backup waited for another member to replace it,
// its draining would never end.
TEST(RequestFaults, EitherOfTwoAgentsCanDrain) {
  for (size_t Leaving : {0U, 1U}) {
    SCOPED_TRACE(Leaving);
    RequestCluster Cluster(2, 23);
    Cluster.advance(SettlingTime);
    Cluster.setState(Leaving, members::MemberState::Draining);
    Cluster.advance(seconds(5));
    EXPECT_EQ(Cluster.controller(Leaving).shardsHeld(), 0U);
    base::RequestId Id = requestIdInShard(3, 1);
    Cluster.send(1 - Leaving, Id, 1, Cluster.now() + seconds(4));
    Cluster.advance(seconds(1));
    EXPECT_EQ(Cluster.runCount(Id), 1);
    EXPECT_EQ(Cluster.violations(), "");
  }
}

TEST(RequestFaults, ACopyAfterTheAnswerGetsTheSameAnswer) {
  RequestCluster Cluster(3, 13);
  Cluster.advance(SettlingTime);
  base::RequestId Id = requestIdInShard(3, 1);
  base::TimePoint Deadline = Cluster.now() + seconds(5);
  Cluster.send(0, Id, 1, Deadline);
  Cluster.advance(seconds(1));
  for (uint32_t Attempt = 1; Attempt <= 2; ++Attempt) {
    for (size_t Node = 0; Node < 3; ++Node) {
      Cluster.send(Node, Id, Attempt, Deadline);
    }
  }
  Cluster.advance(seconds(1));
  ASSERT_NE(Cluster.firstOutcome(Id, 2), nullptr);
  EXPECT_TRUE(
      std::holds_alternative<wire::Answer>(*Cluster.firstOutcome(Id, 2)));
  EXPECT_EQ(Cluster.runCount(Id), 1);
  EXPECT_EQ(Cluster.violations(), "");
}

TEST(RequestFaults, ACopyPastItsDeadlineNeverRuns) {
  for (base::Duration Delay : {milliseconds(5), milliseconds(2500)}) {
    RequestCluster Cluster(3, 17);
    Cluster.advance(SettlingTime);
    base::RequestId Id = requestIdInShard(3, 1);
    base::TimePoint Deadline = Cluster.now();
    Cluster.advance(Delay);
    Cluster.send(Cluster.ownerOf(3), Id, 1, Deadline);
    Cluster.advance(seconds(1));
    EXPECT_EQ(Cluster.runCount(Id), 0);
    ASSERT_NE(Cluster.firstOutcome(Id, 1), nullptr);
    bool IsWithinSkew = Delay < base::MaxClockSkew;
    EXPECT_EQ(Cluster.wasReportedNotRun(Id, 1), IsWithinSkew);
  }
}

TEST(RequestFaults, RejectsDeadlinesBeyondTheMaximum) {
  RequestCluster Cluster(3, 19);
  Cluster.advance(SettlingTime);
  Cluster.send(0, requestIdInShard(3, 1), 1, Cluster.now() + seconds(13));
  Cluster.send(0, requestIdInShard(3, 2), 1, Cluster.now() + seconds(5),
               "unknown-class");
  Cluster.advance(seconds(1));
  for (uint64_t Number : {1U, 2U}) {
    base::RequestId Id = requestIdInShard(3, Number);
    EXPECT_EQ(Cluster.runCount(Id), 0);
    ASSERT_NE(Cluster.firstOutcome(Id, 1), nullptr);
    EXPECT_EQ(
        std::get<wire::OutcomeUnknown>(*Cluster.firstOutcome(Id, 1)).Reason,
        wire::RefusalReason::NotServed);
  }
}

struct CancelCase {
  const char *Name;
  base::Duration After;
  bool HasRunBefore;
};

TEST(RequestFaults, ACancellationReportsWhetherTheRequestRan) {
  const CancelCase CancelCases[] = {
      {"before it is recorded", milliseconds(0), false},
      {"after it ran", seconds(1), true},
  };
  for (const CancelCase &Case : CancelCases) {
    RequestCluster Cluster(3, 23, {0, 0, 0, milliseconds(60)});
    bool IsReplyDropped = !Case.HasRunBefore;
    Cluster.DropFilter = [&](const wire::PeerBody &Body) {
      const auto *Reply = std::get_if<wire::IntentReply>(&Body);
      return IsReplyDropped && Reply != nullptr &&
             Reply->Decision == wire::RequestDecision::Run;
    };
    Cluster.advance(SettlingTime);
    base::RequestId Id = requestIdInShard(3, 1);
    size_t Owner = Cluster.ownerOf(3);
    Cluster.send(Owner, Id, 1, Cluster.now() + seconds(5));
    Cluster.advance(milliseconds(100) + Case.After);
    Cluster.cancel(Owner, Id, 1);
    Cluster.advance(seconds(1));
    EXPECT_EQ(Cluster.runCount(Id), Case.HasRunBefore ? 1 : 0) << Case.Name;
    EXPECT_EQ(Cluster.wasReportedNotRun(Id, 1), !Case.HasRunBefore)
        << Case.Name;
    EXPECT_EQ(Cluster.violations(), "");
  }
}

TEST(RequestFaults, ForwardsThenRefusesUnderOverload) {
  RequestCluster Cluster(3, 29);
  Cluster.advance(SettlingTime);
  Cluster.ServiceTime = seconds(1);
  base::TimePoint Deadline = Cluster.now() + seconds(3);
  for (uint64_t Number = 1; Number <= 300; ++Number) {
    Cluster.send(Number % 3, requestIdInShard(Number % 8, Number), 1, Deadline);
  }
  Cluster.advance(seconds(8));
  ClusterTotals Totals = Cluster.totals();
  EXPECT_EQ(Cluster.violations(), "");
  EXPECT_GT(Totals.Answered, 12U);
  EXPECT_GT(Totals.NotRun, 100U);
  uint64_t PassedOn = 0;
  for (size_t Node = 0; Node < 3; ++Node) {
    PassedOn += Cluster.controller(Node).counts().PassedOn;
  }
  EXPECT_GT(PassedOn, 0U);
}

TEST(RequestFaults, NeverReportsNotRunForIdempotentRequests) {
  RequestCluster Cluster(3, 31, {0, 10, 30, milliseconds(5)});
  Cluster.IsStoreDown = true; // Idempotent requests need no shard.
  Cluster.advance(seconds(1));
  Cluster.ServiceTime = milliseconds(300);
  for (uint64_t Number = 1; Number <= 200; ++Number) {
    Cluster.send(Number % 3, requestIdInShard(Number % 8, Number), 1,
                 Cluster.now() + seconds(3), "lookup");
    Cluster.advance(milliseconds(20));
  }
  Cluster.advance(seconds(4));
  EXPECT_EQ(Cluster.violations(), "");
  EXPECT_GT(Cluster.totals().Answered, 100U);
  EXPECT_EQ(Cluster.totals().NotRun, 0U);
}

TEST(RequestFaults, HandsOverShardsOfADataCentreOutOfService) {
  RequestCluster Cluster(4, 37);
  Cluster.advance(SettlingTime);
  targets::Targets Out = requestTargets();
  Out.Revision = 2;
  Out.DataCentres[base::DataCentreName("mobile")] = false;
  Cluster.setTargets(Out);
  Cluster.advance(seconds(5));
  for (uint32_t Shard = 0; Shard < requests::ShardsPerService; ++Shard) {
    EXPECT_EQ(Cluster.ownerOf(Shard) % 2, 1U) << Shard;
    EXPECT_EQ(Cluster.backupOf(Shard) % 2, 1U) << Shard;
  }
  EXPECT_EQ(Cluster.controller(0).shardsHeld(), 0U);
  uint64_t Before = Cluster.controller(0).counts().Run;
  for (uint64_t Number = 1; Number <= 64; ++Number) {
    Cluster.send(1, requestIdInShard(Number % 32, Number), 1,
                 Cluster.now() + seconds(3));
  }
  Cluster.advance(seconds(4));
  EXPECT_EQ(Cluster.controller(0).counts().Run, Before);
  EXPECT_EQ(Cluster.totals().Answered, 64U);
}

TEST(RequestFaults, ReportsUnknownOutcomeWhenTheUpstreamIsLost) {
  RequestCluster Cluster(3, 41);
  Cluster.advance(SettlingTime);
  Cluster.IsUpstreamUnresponsive = true;
  base::RequestId Id = requestIdInShard(3, 1);
  Cluster.send(0, Id, 1, Cluster.now() + seconds(3));
  Cluster.advance(seconds(1));
  Cluster.loseUpstream(Cluster.ownerOf(3));
  Cluster.send(0, Id, 2, Cluster.now() + seconds(3));
  Cluster.advance(seconds(1));
  for (uint32_t Attempt : {1U, 2U}) {
    ASSERT_NE(Cluster.firstOutcome(Id, Attempt), nullptr);
    EXPECT_TRUE(std::holds_alternative<wire::OutcomeUnknown>(
        *Cluster.firstOutcome(Id, Attempt)));
  }
  EXPECT_EQ(Cluster.runCount(Id), 1);
}

} // namespace
} // namespace bilberry::testing
