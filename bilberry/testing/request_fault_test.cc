// Each fault by name, against whole controllers under a steady load of
// non-idempotent requests: what the promises cost in refusals, and that they
// are kept. The figures that a run prints go into docs/REQUESTS.md.

#include "bilberry/testing/request_cluster.h"

#include <gtest/gtest.h>

namespace bilberry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration Settling = seconds(3);
constexpr base::Duration SendInterval = milliseconds(50);
constexpr base::Duration CallerResend = milliseconds(400);
constexpr base::Duration CallerPatience = seconds(4);
/// 20 requests a second for 20 seconds.
constexpr int Requests = 400;

/// Callers that send one request each, repeat it to another node until they
/// are told something, and raise the attempt after "not run".
class Load {
public:
  Load(RequestCluster &Cluster, size_t Count)
      : Cluster(Cluster), Count(Count) {}

  void step(bool MaySendNew) {
    if (MaySendNew) {
      auto Shard = static_cast<uint32_t>(this->Callers.size() %
                                         requests::ShardsPerService);
      this->Callers.push_back({idIn(Shard, this->Callers.size() + 1), 1,
                               this->Cluster.now() + CallerPatience,
                               base::TimePoint(), this->Callers.size()});
    }
    for (Caller &Each : this->Callers) {
      this->repeat(Each);
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

  void repeat(Caller &Each) {
    bool IsOver = this->Cluster.now() >= Each.Deadline;
    bool IsEarly = this->Cluster.now() < Each.SentAt + CallerResend;
    if (IsOver || IsEarly) {
      return;
    }
    if (this->Cluster.told(Each.Id, Each.Attempt) != nullptr) {
      if (!this->Cluster.wasToldNotRun(Each.Id, Each.Attempt)) {
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
  /// Done 5 seconds into the load; O owns shard 0 and B backs it up.
  void (*Break)(RequestCluster &Cluster, size_t O, size_t B);
  /// Done 8 seconds later.
  void (*Mend)(RequestCluster &Cluster, size_t O, size_t B);
  /// The least that is answered, and the most that isn't known.
  size_t LeastAnswered;
  size_t MostUnknown;
};

void nothing(RequestCluster &, size_t, size_t) {}
void resumeBoth(RequestCluster &Cluster, size_t O, size_t B) {
  Cluster.resume(O);
  Cluster.resume(B);
}

const FaultCase Cases[] = {
    {"no fault", nothing, nothing, 400, 0},
    {"two views at once",
     [](RequestCluster &Cluster, size_t O, size_t B) {
       for (size_t Node = 0; Node < 4; ++Node) {
         Cluster.setSilent(Node, O, Node != O);
         Cluster.setSilent(Node, B, Node % 2 == 0 && Node != B);
       }
     },
     [](RequestCluster &Cluster, size_t O, size_t B) {
       for (size_t Node = 0; Node < 4; ++Node) {
         Cluster.setSilent(Node, O, false);
         Cluster.setSilent(Node, B, false);
       }
     },
     380, 15},
    {"two joins at once",
     [](RequestCluster &Cluster, size_t, size_t) {
       Cluster.start(2);
       Cluster.start(3);
     },
     nothing, 400, 0},
    {"owner paused beyond its lease",
     [](RequestCluster &Cluster, size_t O, size_t) { Cluster.pause(O); },
     resumeBoth, 330, 40},
    {"backup paused beyond its lease",
     [](RequestCluster &Cluster, size_t, size_t B) { Cluster.pause(B); },
     resumeBoth, 330, 40},
    {"owner and backup paused beyond their leases",
     [](RequestCluster &Cluster, size_t O, size_t B) {
       Cluster.pause(O);
       Cluster.pause(B);
     },
     resumeBoth, 200, 150},
    {"death of the owner",
     [](RequestCluster &Cluster, size_t O, size_t) { Cluster.kill(O); },
     nothing, 330, 40},
    {"death of the backup",
     [](RequestCluster &Cluster, size_t, size_t B) { Cluster.kill(B); },
     nothing, 330, 40},
    {"death of both",
     [](RequestCluster &Cluster, size_t O, size_t B) {
       Cluster.kill(O);
       Cluster.kill(B);
     },
     nothing, 200, 150},
    {"owner dies and starts anew with nothing",
     [](RequestCluster &Cluster, size_t O, size_t) { Cluster.kill(O); },
     [](RequestCluster &Cluster, size_t O, size_t) { Cluster.start(O); }, 330,
     40},
    {"store down throughout",
     [](RequestCluster &Cluster, size_t, size_t) {
       Cluster.IsStoreDown = true;
     },
     nothing, 400, 0},
    {"store down, then death of the owner",
     [](RequestCluster &Cluster, size_t O, size_t) {
       Cluster.IsStoreDown = true;
       Cluster.kill(O);
     },
     [](RequestCluster &Cluster, size_t, size_t) {
       Cluster.IsStoreDown = false;
     },
     200, 150},
    {"death of the owner, answers of swaps lost",
     [](RequestCluster &Cluster, size_t O, size_t) {
       Cluster.LostSwapAnswers = 40;
       Cluster.kill(O);
     },
     nothing, 300, 60},
    {"owner and backup cut off from the rest and the store",
     [](RequestCluster &Cluster, size_t O, size_t B) {
       Cluster.cut({O, B});
     },
     [](RequestCluster &Cluster, size_t, size_t) { Cluster.cut({}); }, 200,
     150},
    {"owner drains",
     [](RequestCluster &Cluster, size_t O, size_t) {
       Cluster.setState(O, members::MemberState::Draining);
     },
     nothing, 400, 0},
    {"owner and backup drain",
     [](RequestCluster &Cluster, size_t O, size_t B) {
       Cluster.setState(O, members::MemberState::Draining);
       Cluster.setState(B, members::MemberState::Draining);
     },
     nothing, 400, 0},
    {"planned restart of the owner",
     [](RequestCluster &Cluster, size_t O, size_t) {
       std::string State = Cluster.controller(O).snapshot();
       Cluster.advance(milliseconds(500)); // The old run still ticks.
       Cluster.start(O, State);
     },
     nothing, 398, 2},
};

TEST(RequestFaults, ThePromisesHoldAndCostThisMuch) {
  std::printf("%-55s %8s %8s %8s %8s\n", "fault", "answered", "not run",
              "unknown", "silent");
  for (const FaultCase &Case : Cases) {
    RequestCluster Cluster(4, 7);
    bool IsJoin = std::string(Case.Name) == "two joins at once";
    if (IsJoin) {
      Cluster.kill(2);
      Cluster.kill(3);
    }
    Cluster.advance(IsJoin ? seconds(10) : Settling);
    size_t O = Cluster.ownerOf(0);
    size_t B = Cluster.backupOf(0);
    Load Callers(Cluster, IsJoin ? 2 : 4);
    for (int Step = 0; Step < Requests + 100; ++Step) {
      if (Step == 100) {
        Case.Break(Cluster, O, B);
      }
      if (Step == 260) {
        Case.Mend(Cluster, O, B);
      }
      Callers.step(Step < Requests);
    }
    EXPECT_EQ(Cluster.violations(), "") << Case.Name;
    ClusterTotals Totals = Cluster.totals();
    EXPECT_GE(Totals.Answered, Case.LeastAnswered) << Case.Name;
    EXPECT_LE(Totals.Unknown, Case.MostUnknown) << Case.Name;
    std::printf("%-55s %8zu %8zu %8zu %8zu\n", Case.Name, Totals.Answered,
                Totals.NotRun, Totals.Unknown, Totals.Silent);
  }
}

/// The owner is frozen for longer than its lease at each step of a request.
TEST(RequestFaults, APauseAtAnyStepBreaksNothing) {
  for (int Step = 0; Step < 20; ++Step) {
    for (size_t Paused = 0; Paused < 3; ++Paused) {
      RequestCluster Cluster(3, 11, {0, 10, 0, milliseconds(30)});
      Cluster.advance(Settling);
      base::RequestId Id = idIn(5, 1);
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
      EXPECT_NE(Cluster.told(Id, 1), nullptr) << Step << " " << Paused;
    }
  }
}

// Of the last two agents of a service either one may leave: the other goes on
// alone. A backup that waits for another to take its place would never end.
TEST(RequestFaults, EitherOfTwoAgentsCanDrain) {
  for (size_t Leaving : {0U, 1U}) {
    SCOPED_TRACE(Leaving);
    RequestCluster Cluster(2, 23);
    Cluster.advance(Settling);
    Cluster.setState(Leaving, members::MemberState::Draining);
    Cluster.advance(seconds(5));
    EXPECT_EQ(Cluster.controller(Leaving).shardsHeld(), 0U);
    base::RequestId Id = idIn(3, 1);
    Cluster.send(1 - Leaving, Id, 1, Cluster.now() + seconds(4));
    Cluster.advance(seconds(1));
    EXPECT_EQ(Cluster.runs(Id), 1);
    EXPECT_EQ(Cluster.violations(), "");
  }
}

TEST(RequestFaults, ACopyAfterTheAnswerGetsTheSameAnswer) {
  RequestCluster Cluster(3, 13);
  Cluster.advance(Settling);
  base::RequestId Id = idIn(3, 1);
  base::TimePoint Deadline = Cluster.now() + seconds(5);
  Cluster.send(0, Id, 1, Deadline);
  Cluster.advance(seconds(1));
  for (uint32_t Attempt = 1; Attempt <= 2; ++Attempt) {
    for (size_t Node = 0; Node < 3; ++Node) {
      Cluster.send(Node, Id, Attempt, Deadline);
    }
  }
  Cluster.advance(seconds(1));
  ASSERT_NE(Cluster.told(Id, 2), nullptr);
  EXPECT_TRUE(std::holds_alternative<wire::Answer>(*Cluster.told(Id, 2)));
  EXPECT_EQ(Cluster.runs(Id), 1);
  EXPECT_EQ(Cluster.violations(), "");
}

TEST(RequestFaults, ACopyPastItsDeadlineNeverRuns) {
  for (base::Duration Late : {milliseconds(5), milliseconds(2500)}) {
    RequestCluster Cluster(3, 17);
    Cluster.advance(Settling);
    base::RequestId Id = idIn(3, 1);
    base::TimePoint Deadline = Cluster.now();
    Cluster.advance(Late);
    Cluster.send(Cluster.ownerOf(3), Id, 1, Deadline);
    Cluster.advance(seconds(1));
    EXPECT_EQ(Cluster.runs(Id), 0);
    ASSERT_NE(Cluster.told(Id, 1), nullptr);
    bool IsWithinSkew = Late < base::MaxClockSkew;
    EXPECT_EQ(Cluster.wasToldNotRun(Id, 1), IsWithinSkew);
  }
}

TEST(RequestFaults, ADeadlineTooFarAwayIsNotServed) {
  RequestCluster Cluster(3, 19);
  Cluster.advance(Settling);
  Cluster.send(0, idIn(3, 1), 1, Cluster.now() + seconds(13));
  Cluster.send(0, idIn(3, 2), 1, Cluster.now() + seconds(5), "unknown-class");
  Cluster.advance(seconds(1));
  for (uint64_t Number : {1U, 2U}) {
    base::RequestId Id = idIn(3, Number);
    EXPECT_EQ(Cluster.runs(Id), 0);
    ASSERT_NE(Cluster.told(Id, 1), nullptr);
    EXPECT_EQ(std::get<wire::OutcomeUnknown>(*Cluster.told(Id, 1)).Reason,
              wire::RefusalReason::NotServed);
  }
}

struct CancelCase {
  const char *Name;
  base::Duration After;
  bool RunsBefore;
};

TEST(RequestFaults, ACancellationSaysWhatHappened) {
  const CancelCase CancelCases[] = {
      {"before it is recorded", milliseconds(0), false},
      {"after it ran", seconds(1), true},
  };
  for (const CancelCase &Case : CancelCases) {
    RequestCluster Cluster(3, 23, {0, 0, 0, milliseconds(60)});
    bool IsHeld = !Case.RunsBefore;
    Cluster.Drops = [&](const wire::PeerBody &Body) {
      const auto *Reply = std::get_if<wire::IntentReply>(&Body);
      return IsHeld && Reply != nullptr &&
             Reply->Decision == wire::Verdict::Run;
    };
    Cluster.advance(Settling);
    base::RequestId Id = idIn(3, 1);
    size_t Owner = Cluster.ownerOf(3);
    Cluster.send(Owner, Id, 1, Cluster.now() + seconds(5));
    Cluster.advance(milliseconds(100) + Case.After);
    Cluster.cancel(Owner, Id, 1);
    Cluster.advance(seconds(1));
    EXPECT_EQ(Cluster.runs(Id), Case.RunsBefore ? 1 : 0) << Case.Name;
    EXPECT_EQ(Cluster.wasToldNotRun(Id, 1), !Case.RunsBefore) << Case.Name;
    EXPECT_EQ(Cluster.violations(), "");
  }
}

TEST(RequestFaults, OverloadIsPassedOnThenRefusedTruly) {
  RequestCluster Cluster(3, 29);
  Cluster.advance(Settling);
  Cluster.ServiceTime = seconds(1);
  base::TimePoint Deadline = Cluster.now() + seconds(3);
  for (uint64_t Number = 1; Number <= 300; ++Number) {
    Cluster.send(Number % 3, idIn(Number % 8, Number), 1, Deadline);
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

TEST(RequestFaults, AnIdempotentRequestIsNeverToldNotRun) {
  RequestCluster Cluster(3, 31, {0, 10, 30, milliseconds(5)});
  Cluster.IsStoreDown = true; // It needs no shard.
  Cluster.advance(seconds(1));
  Cluster.ServiceTime = milliseconds(300);
  for (uint64_t Number = 1; Number <= 200; ++Number) {
    Cluster.send(Number % 3, idIn(Number % 8, Number), 1,
                 Cluster.now() + seconds(3), "lookup");
    Cluster.advance(milliseconds(20));
  }
  Cluster.advance(seconds(4));
  EXPECT_EQ(Cluster.violations(), "");
  EXPECT_GT(Cluster.totals().Answered, 100U);
  EXPECT_EQ(Cluster.totals().NotRun, 0U);
}

TEST(RequestFaults, ADataCentreThatIsTakenOutHandsOverAndRunsNothing) {
  RequestCluster Cluster(4, 37);
  Cluster.advance(Settling);
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
    Cluster.send(1, idIn(Number % 32, Number), 1, Cluster.now() + seconds(3));
  }
  Cluster.advance(seconds(4));
  EXPECT_EQ(Cluster.controller(0).counts().Run, Before);
  EXPECT_EQ(Cluster.totals().Answered, 64U);
}

TEST(RequestFaults, ALostUpstreamMeansAnUnknownOutcome) {
  RequestCluster Cluster(3, 41);
  Cluster.advance(Settling);
  Cluster.IsUpstreamMute = true;
  base::RequestId Id = idIn(3, 1);
  Cluster.send(0, Id, 1, Cluster.now() + seconds(3));
  Cluster.advance(seconds(1));
  Cluster.loseUpstream(Cluster.ownerOf(3));
  Cluster.send(0, Id, 2, Cluster.now() + seconds(3));
  Cluster.advance(seconds(1));
  for (uint32_t Attempt : {1U, 2U}) {
    ASSERT_NE(Cluster.told(Id, Attempt), nullptr);
    EXPECT_TRUE(std::holds_alternative<wire::OutcomeUnknown>(
        *Cluster.told(Id, Attempt)));
  }
  EXPECT_EQ(Cluster.runs(Id), 1);
}

} // namespace
} // namespace bilberry::testing
