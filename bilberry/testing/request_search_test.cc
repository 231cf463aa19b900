// Exhaustive search of the shard protocol, breadth first to a bounded depth:
// three replicas of one shard, with every order of arrivals, messages, swaps,
// record reads, ticks with every view of which holders are gone, and time
// steps.
//
// A message or swap that is lost, and a process that has failed or is paused,
// is one that the search does not advance any further, so each state also
// covers its faults. After each step the complete history is checked: no
// request has run twice, and no attempt that was reported as "not run" has run.
// Modified protocols that each break one rule must be detected by the same
// search.

#include "bilberry/requests/shard_replica.h"

#include <array>
#include <gtest/gtest.h>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bilberry::requests {
namespace {

using std::chrono::seconds;

constexpr size_t NodeCount = 3;
constexpr uint32_t MaxAttempts = 2;
const base::RequestId Id = {0, 7};
const base::TimePoint Start{std::chrono::hours(24)};
/// Two long steps exceed IncompleteOwnerWait; one doesn't exceed MaxListingAge.
constexpr base::Duration LongStep = IncompleteOwnerWait / 2 + seconds(1);
constexpr base::Duration ShortStep = HandOverTimeout + seconds(1);
constexpr base::Duration RequestTimeout = seconds(10);

/// A rule of the protocol that a modified version breaks.
enum class ProtocolFlaw {
  None,
  /// The owner runs a request before the backup has recorded it.
  RunsWithoutIntent,
  /// The owner reports "not run" without recording the refusal.
  UnrecordedRefusal,
  /// A backup keeps recording in an epoch that it has closed.
  BackupRecordsInClosedEpoch,
  /// A backup is treated as complete before it has received the copy.
  BackupWithoutCopy,
  /// The owner repeats a recorded refusal before the new backup has it.
  RefusalBeforeBackupCopy,
  /// An owner that hands over keeps deciding while its swap has no reply.
  UnsealedHandOver,
  /// An owner without a copy does not wait for earlier requests to expire.
  NoExpiryWait,
  /// A backup keeps recording indefinitely without listing the records.
  NoListingAgeLimit,
};

/// Limits of a search: its depth and the number of each event.
struct SearchLimits {
  int Depth = 0;
  uint64_t Epochs = 2;
  int Duplicates = 0;
  int LongSteps = 0;
  int ShortSteps = 0;
  int SwapFailures = 0;
  bool HandOvers = false;
  bool Refusals = false;
  /// A holder may see no other member.
  bool SingleMember = false;
  /// A swap takes effect at once or never; the reply may still be delayed.
  bool ImmediateSwaps = false;
};

struct Message {
  ShardHolder From;
  base::MemberName To;
  wire::PeerBody Body;
  uint64_t Digest = 0;
};

enum class Phase : uint8_t { None, Deciding, MayRun, Ended, Refusing };

struct PendingWork {
  Phase Stage = Phase::None;
  uint32_t Attempt = 0;
  bool MayHaveRun = false;
};

/// A replica in ValuePool, which stores equal replicas once.
struct PooledReplica {
  ShardReplica Value;
  uint64_t Digest = 0;
};

struct SearchState {
  std::array<const PooledReplica *, NodeCount> Replicas;
  std::array<PendingWork, NodeCount> PendingByNode;
  std::array<base::TimePoint, NodeCount> ListedAt;
  std::vector<const Message *> InFlight;
  std::vector<board::CompareAndSwapShard> Swaps;
  StoredShard Store;
  base::TimePoint Now = Start;
  /// The deadline of each attempt, set at its first arrival.
  std::array<base::TimePoint, MaxAttempts + 1> Deadlines;
  std::array<uint8_t, MaxAttempts + 1> RunCounts{};
  std::array<bool, MaxAttempts + 1> ReportedNotRun{};
  int Duplicates = 0;
  int LongSteps = 0;
  int ShortSteps = 0;
  int SwapFailures = 0;
  uint64_t Digest = 0;
};

void mixDigest(uint64_t &Sum, uint64_t Value) {
  Sum ^= Value + 0x9E3779B97F4A7C15ULL + (Sum << 6) + (Sum >> 2);
  Sum *= 0xBF58476D1CE4E5B9ULL;
}

uint64_t tickCount(base::TimePoint Time) {
  return static_cast<uint64_t>(Time.time_since_epoch().count());
}

ShardHolder holder(size_t Node) {
  return {base::MemberName(std::string(1, static_cast<char>('a' + Node))), 1};
}

uint64_t digest(const ShardRecord &Record) {
  uint64_t Sum = Record.Epoch;
  mixDigest(Sum, std::hash<base::MemberName>()(Record.Owner.Name));
  mixDigest(Sum, std::hash<base::MemberName>()(Record.Backup.Name));
  return Sum;
}

uint64_t digest(const Message &Value) {
  uint64_t Sum = Value.Body.index();
  mixDigest(Sum, std::hash<base::MemberName>()(Value.From.Name));
  mixDigest(Sum, std::hash<base::MemberName>()(Value.To));
  auto AddEntry = [&](const wire::IntentEntry &Entry) {
    mixDigest(Sum, Entry.Attempt * 2 + static_cast<uint64_t>(Entry.Decision));
    mixDigest(Sum, tickCount(Entry.Deadline));
  };
  if (const auto *Intent = std::get_if<wire::Intent>(&Value.Body)) {
    mixDigest(Sum, Intent->Epoch);
    AddEntry(Intent->Entry);
  } else if (const auto *Reply = std::get_if<wire::IntentReply>(&Value.Body)) {
    mixDigest(Sum, Reply->Epoch * 4 + (Reply->Recorded ? 2 : 0) +
                       static_cast<uint64_t>(Reply->Decision));
    mixDigest(Sum, Reply->Attempt);
  } else if (const auto *Copy = std::get_if<wire::ShardCopy>(&Value.Body)) {
    mixDigest(Sum, Copy->Epoch);
    for (const wire::IntentEntry &Entry : Copy->Entries) {
      AddEntry(Entry);
    }
  } else if (const auto *CopyReply =
                 std::get_if<wire::ShardCopyReply>(&Value.Body)) {
    mixDigest(Sum, CopyReply->Epoch * 2 + (CopyReply->Accepted ? 1 : 0));
  }
  return Sum;
}

uint64_t digest(const SearchState &State) {
  uint64_t Sum = tickCount(State.Now);
  for (size_t Node = 0; Node < NodeCount; ++Node) {
    mixDigest(Sum, State.Replicas[Node]->Digest);
    mixDigest(Sum, static_cast<uint64_t>(State.PendingByNode[Node].Stage) * 16 +
                       State.PendingByNode[Node].Attempt * 2 +
                       (State.PendingByNode[Node].MayHaveRun ? 1 : 0));
    mixDigest(Sum, tickCount(State.ListedAt[Node]));
  }
  for (const auto &Each : State.InFlight) {
    mixDigest(Sum, Each->Digest);
  }
  for (const board::CompareAndSwapShard &Each : State.Swaps) {
    mixDigest(Sum, digest(Each.Next));
    mixDigest(Sum, static_cast<uint64_t>(Each.Expected));
  }
  mixDigest(Sum, digest(State.Store.Record));
  for (uint32_t Attempt = 0; Attempt <= MaxAttempts; ++Attempt) {
    mixDigest(Sum, tickCount(State.Deadlines[Attempt]));
    mixDigest(Sum, State.RunCounts[Attempt] * 2 +
                       (State.ReportedNotRun[Attempt] ? 1 : 0));
  }
  mixDigest(Sum, (static_cast<uint64_t>(State.Duplicates) * 4096 +
                  State.LongSteps * 256 + State.ShortSteps * 16 +
                  State.SwapFailures));
  return Sum;
}

bool violatesGuarantees(const SearchState &State) {
  int Runs = 0;
  for (uint32_t Attempt = 1; Attempt <= MaxAttempts; ++Attempt) {
    Runs += State.RunCounts[Attempt];
    if (State.ReportedNotRun[Attempt] && State.RunCounts[Attempt] > 0) {
      return true;
    }
  }
  return Runs > 1;
}

/// Stores every distinct replica and message once, so that a search state holds
/// only a few pointers.
class ValuePool {
public:
  const PooledReplica *intern(ShardReplica Value) {
    uint64_t Digest = Value.fingerprint();
    auto &Interned = this->Replicas[Digest];
    if (Interned == nullptr) {
      Interned = std::make_unique<PooledReplica>(
          PooledReplica{std::move(Value), Digest});
    }
    return Interned.get();
  }
  const Message *intern(Message Value) {
    Value.Digest = digest(Value);
    auto &Interned = this->Messages[Value.Digest];
    if (Interned == nullptr) {
      Interned = std::make_unique<Message>(std::move(Value));
    }
    return Interned.get();
  }

private:
  std::unordered_map<uint64_t, std::unique_ptr<PooledReplica>> Replicas;
  std::unordered_map<uint64_t, std::unique_ptr<Message>> Messages;
};

class Search {
public:
  Search(ProtocolFlaw InjectedFlaw, SearchLimits Limits)
      : InjectedFlaw(InjectedFlaw), Limits(Limits) {}

  /// Returns true if a reachable state violates a guarantee.
  bool findsViolation(SearchState (*MakeInitial)(ValuePool &)) {
    std::vector<SearchState> Layer = {MakeInitial(this->Values)};
    Layer.front().Digest = digest(Layer.front());
    this->Seen.insert(Layer.front().Digest);
    for (this->Depth = 0; this->Depth < this->Limits.Depth; ++this->Depth) {
      std::vector<SearchState> Next;
      this->NextLayer = &Next;
      for (const SearchState &State : Layer) {
        this->expand(State);
        if (this->Found) {
          return true;
        }
      }
      Layer = std::move(Next);
      if (Layer.empty()) {
        break;
      }
    }
    return false;
  }

  size_t states() const { return this->Seen.size(); }
  int depth() const { return this->Depth; }

private:
  void expand(const SearchState &State) {
    for (size_t Node = 0; Node < NodeCount; ++Node) {
      this->expandArrivals(State, Node);
      this->expandPendingWork(State, Node);
      this->expandTicks(State, Node);
      this->expandRecordReads(State, Node);
    }
    this->expandDeliveries(State);
    this->expandSwaps(State);
    this->expandTimeSteps(State);
  }

  void expandArrivals(const SearchState &State, size_t Node) {
    for (uint32_t Attempt = 1; Attempt <= MaxAttempts; ++Attempt) {
      if (Attempt > 1 && !State.ReportedNotRun[Attempt - 1]) {
        return;
      }
      this->expandArrival(State, Node, Attempt, wire::RequestDecision::Run);
      if (this->Limits.Refusals) {
        this->expandArrival(State, Node, Attempt,
                            wire::RequestDecision::Refuse);
      }
    }
  }

  /// Models RequestEngine::decideAsOwner.
  void expandArrival(const SearchState &State, size_t Node, uint32_t Attempt,
                     wire::RequestDecision Requested) {
    const ShardReplica &Replica = State.Replicas[Node]->Value;
    const PendingWork &Before = State.PendingByNode[Node];
    bool IsPending = Before.Stage != Phase::None;
    // An earlier arrival would wait, which is equivalent to arriving once the
    // owner decides.
    bool CanReply =
        Replica.canDecide(this->context(State, Node)) ||
        (this->InjectedFlaw == ProtocolFlaw::RefusalBeforeBackupCopy &&
         Replica.isOwner(holder(Node)));
    if (IsPending || !CanReply) {
      return;
    }
    SearchState Next = State;
    if (Next.Deadlines[Attempt] == base::TimePoint()) {
      Next.Deadlines[Attempt] = Next.Now + RequestTimeout;
    }
    base::TimePoint Deadline = Next.Deadlines[Attempt];
    if (isExpired(Next.Now, Deadline)) {
      return;
    }
    const wire::IntentEntry *Entry = Replica.table().find(Id);
    if (Entry != nullptr && Entry->Decision == wire::RequestDecision::Run) {
      return;
    }
    if (Entry != nullptr && Attempt <= Entry->Attempt) {
      Next.ReportedNotRun[Attempt] = true;
      this->add(std::move(Next));
      return;
    }
    if (Next.Now >= Deadline) {
      Requested = wire::RequestDecision::Refuse;
    }
    Next.PendingByNode[Node] = {Requested == wire::RequestDecision::Run
                                    ? Phase::Deciding
                                    : Phase::Refusing,
                                Attempt, false};
    this->propose(Next, Node, Requested);
    this->add(std::move(Next));
  }

  void expandPendingWork(const SearchState &State, size_t Node) {
    const PendingWork &Current = State.PendingByNode[Node];
    if (Current.Stage == Phase::MayRun) {
      if (State.Now < State.Deadlines[Current.Attempt]) {
        SearchState Next = State;
        Next.PendingByNode[Node].Stage = Phase::Ended;
        ++Next.RunCounts[Current.Attempt];
        this->add(std::move(Next));
      }
      if (!this->Limits.Refusals) {
        return;
      }
      SearchState Next = State; // Shed by the upstream; it did not run.
      Next.PendingByNode[Node].Stage = Phase::Refusing;
      this->propose(Next, Node, wire::RequestDecision::Refuse);
      this->add(std::move(Next));
    }
    if (Current.Stage == Phase::Deciding && this->Limits.Refusals) {
      SearchState Next = State; // Cancelled.
      Next.PendingByNode[Node].Stage = Phase::Refusing;
      this->propose(Next, Node, wire::RequestDecision::Refuse);
      this->add(std::move(Next));
    }
  }

  void propose(SearchState &Next, size_t Node,
               wire::RequestDecision Requested) {
    const PendingWork &Current = Next.PendingByNode[Node];
    wire::IntentEntry Entry{Id, Current.Attempt, Requested,
                            Next.Deadlines[Current.Attempt]};
    bool SkipsRun = this->InjectedFlaw == ProtocolFlaw::RunsWithoutIntent &&
                    Requested == wire::RequestDecision::Run;
    bool SkipsRefusal = this->InjectedFlaw == ProtocolFlaw::UnrecordedRefusal &&
                        Requested == wire::RequestDecision::Refuse;
    if (SkipsRun || SkipsRefusal) {
      this->onCommitted(Next, Node, Entry);
      return;
    }
    this->change(Next, Node, [&](ShardReplica &Replica, auto &Out) {
      Replica.propose(this->context(Next, Node), Entry, Out);
    });
  }

  void onCommitted(SearchState &Next, size_t Node,
                   const wire::IntentEntry &Entry) {
    PendingWork &Current = Next.PendingByNode[Node];
    if (Current.Attempt != Entry.Attempt) {
      return;
    }
    bool IsRun = Entry.Decision == wire::RequestDecision::Run;
    if (IsRun && Current.Stage == Phase::Deciding) {
      Current.Stage = Phase::MayRun;
      Current.MayHaveRun = true;
    } else if (!IsRun && Current.Stage == Phase::Refusing) {
      Current = {};
      Next.ReportedNotRun[Entry.Attempt] = true;
    }
  }

  void onAborted(SearchState &Next, size_t Node,
                 const wire::IntentEntry &Entry) {
    PendingWork &Current = Next.PendingByNode[Node];
    if (Current.Attempt == Entry.Attempt) {
      Current.Stage = Current.MayHaveRun ? Phase::Ended : Phase::None;
    }
  }

  /// Expands only the views that a replica in its role acts on.
  void expandTicks(const SearchState &State, size_t Node) {
    const ShardReplica &Replica = State.Replicas[Node]->Value;
    ShardView NoneGone;
    NoneGone.Ranked = {{holder(Node), {}},
                       {holder((Node + 1) % NodeCount), {}}};
    this->expandTick(State, Node, NoneGone, false);
    uint64_t Epoch = Replica.record().Record.Epoch;
    if (Epoch >= this->Limits.Epochs || Replica.isSwapping()) {
      return;
    }
    bool IsOwner = Replica.isOwner(holder(Node));
    for (size_t Offset = 1; Offset < NodeCount; ++Offset) {
      size_t Other = (Node + Offset) % NodeCount;
      ShardView View;
      View.Ranked = {{holder(Node), {}}, {holder(Other), {}}};
      View.OwnerIsGone = !IsOwner;
      View.BackupIsGone = !Replica.isBackup(holder(Node));
      this->expandTick(State, Node, View, false);
      if (this->Limits.HandOvers && IsOwner) {
        ShardView Leaving;
        Leaving.Ranked = {
            {holder(Other), {}},
            {holder((Node + NodeCount - Offset) % NodeCount), {}}};
        Leaving.MayHandOver = true;
        this->expandTick(State, Node, Leaving, true);
      }
    }
    if (this->Limits.SingleMember) {
      ShardView OnlySelf;
      OnlySelf.Ranked = {{holder(Node), {}}};
      OnlySelf.OwnerIsGone = !IsOwner;
      OnlySelf.BackupIsGone = true;
      this->expandTick(State, Node, OnlySelf, false);
    }
  }

  void expandTick(const SearchState &State, size_t Node, const ShardView &View,
                  bool HandsOver) {
    SearchState Next = State;
    this->change(Next, Node, [&](ShardReplica &Replica, auto &Out) {
      ShardReplica Before = Replica;
      Replica.tick(this->context(Next, Node), View, Out);
      bool IsFlawed =
          this->InjectedFlaw == ProtocolFlaw::UnsealedHandOver && HandsOver;
      if (IsFlawed && Replica.isHandingOver()) {
        Replica = Before; // The copy is sent, but the epoch is not sealed.
      }
    });
    this->add(std::move(Next));
  }

  void expandRecordReads(const SearchState &State, size_t Node) {
    SearchState Next = State;
    Next.ListedAt[Node] = Next.Now;
    this->change(Next, Node, [&](ShardReplica &Replica, auto &Out) {
      Replica.onRecord(this->context(Next, Node), Next.Store, Out);
    });
    const ShardReplica &Replica = Next.Replicas[Node]->Value;
    if (this->InjectedFlaw == ProtocolFlaw::NoExpiryWait &&
        Replica.isAwaitingExpiry(holder(Node))) {
      this->change(Next, Node, [&](ShardReplica &Waiting, auto &Out) {
        wire::ShardCopy Empty{0, Waiting.record().Record.Epoch, {}};
        Waiting.onShardCopy(this->context(Next, Node), Waiting.previous().Owner,
                            Empty, Out);
      });
    }
    this->add(std::move(Next));
    bool MayFail = State.SwapFailures < this->Limits.SwapFailures;
    if (MayFail && State.Replicas[Node]->Value.isSwapping()) {
      SearchState Failed = State;
      ++Failed.SwapFailures;
      this->change(Failed, Node, [&](ShardReplica &Swapping, auto &) {
        Swapping.onSwapFailed();
      });
      this->add(std::move(Failed));
    }
  }

  void expandDeliveries(const SearchState &State) {
    for (size_t Index = 0; Index < State.InFlight.size(); ++Index) {
      SearchState Next = State;
      this->deliver(Next, *State.InFlight[Index]);
      if (digest(Next) == State.Digest) {
        continue; // No effect now; equivalent to a later delivery.
      }
      std::erase(Next.InFlight, State.InFlight[Index]);
      this->add(std::move(Next));
      if (State.Duplicates < this->Limits.Duplicates) {
        SearchState Again = State;
        ++Again.Duplicates;
        this->deliver(Again, *State.InFlight[Index]);
        this->add(std::move(Again));
      }
    }
  }

  void deliver(SearchState &Next, const Message &Value) {
    size_t To = static_cast<size_t>(Value.To.text()[0] - 'a');
    const ShardReplica &Receiver = Next.Replicas[To]->Value;
    const auto *Intent = std::get_if<wire::Intent>(&Value.Body);
    bool IsOldEpoch =
        Intent != nullptr && Intent->Epoch < Receiver.record().Record.Epoch;
    if (this->InjectedFlaw == ProtocolFlaw::BackupRecordsInClosedEpoch &&
        IsOldEpoch) {
      this->send(Next, To, Value.From.Name,
                 wire::IntentReply{0, Intent->Epoch, Id, Intent->Entry.Attempt,
                                   true, Intent->Entry.Decision});
      return;
    }
    const auto *CopyReply = std::get_if<wire::ShardCopyReply>(&Value.Body);
    uint64_t Epoch = Receiver.record().Record.Epoch;
    bool IsForHandOver = CopyReply != nullptr && CopyReply->Epoch == Epoch + 1;
    if (this->InjectedFlaw == ProtocolFlaw::UnsealedHandOver && IsForHandOver) {
      ShardRecord Successor{Value.From, Receiver.record().Record.Backup,
                            Epoch + 1};
      Next.Swaps.push_back({0, Successor, Receiver.record().ModRevision});
      return;
    }
    this->change(Next, To, [&](ShardReplica &Replica, auto &Out) {
      ReplicaContext Context = this->context(Next, To);
      if (Intent != nullptr) {
        Replica.onIntent(Context, Value.From, *Intent, Out);
      } else if (const auto *Reply =
                     std::get_if<wire::IntentReply>(&Value.Body)) {
        Replica.onIntentReply(Context, Value.From, *Reply, Out);
      } else if (const auto *Copy = std::get_if<wire::ShardCopy>(&Value.Body)) {
        Replica.onShardCopy(Context, Value.From, *Copy, Out);
      } else {
        Replica.onShardCopyReply(Context, Value.From,
                                 std::get<wire::ShardCopyReply>(Value.Body),
                                 Out);
      }
    });
  }

  void expandSwaps(const SearchState &State) {
    for (size_t Index = 0; Index < State.Swaps.size(); ++Index) {
      SearchState Next = State;
      board::CompareAndSwapShard Swap = Next.Swaps[Index];
      Next.Swaps.erase(Next.Swaps.begin() + static_cast<ptrdiff_t>(Index));
      if (Swap.Expected != Next.Store.ModRevision) {
        continue; // The swap failed; its issuer reads the record.
      }
      Next.Store.Record = Swap.Next;
      ++Next.Store.ModRevision;
      this->add(std::move(Next));
    }
  }

  void expandTimeSteps(const SearchState &State) {
    auto AddStep = [&](base::Duration Step, int SearchState::*Used, int Most) {
      if (State.*Used >= Most) {
        return;
      }
      SearchState Next = State;
      Next.Now += Step;
      ++(Next.*Used);
      this->add(std::move(Next));
    };
    AddStep(LongStep, &SearchState::LongSteps, this->Limits.LongSteps);
    AddStep(ShortStep, &SearchState::ShortSteps, this->Limits.ShortSteps);
  }

  ReplicaContext context(const SearchState &State, size_t Node) const {
    bool IgnoresListingAge =
        this->InjectedFlaw == ProtocolFlaw::NoListingAgeLimit;
    return {State.Now, holder(Node),
            IgnoresListingAge ? State.Now : State.ListedAt[Node]};
  }

  template <typename Change>
  void change(SearchState &Next, size_t Node, Change Apply) {
    ShardReplica Copy = Next.Replicas[Node]->Value;
    ReplicaEffects Effects;
    Apply(Copy, Effects);
    Next.Replicas[Node] = this->Values.intern(std::move(Copy));
    for (ReplicaEffects::Send &Each : Effects.Sends) {
      this->send(Next, Node, Each.To, std::move(Each.Body));
    }
    if (Effects.Swap) {
      Next.Swaps.push_back(*Effects.Swap);
    }
    for (const wire::IntentEntry &Entry : Effects.Committed) {
      this->onCommitted(Next, Node, Entry);
    }
    for (const wire::IntentEntry &Entry : Effects.Aborted) {
      this->onAborted(Next, Node, Entry);
    }
  }

  void send(SearchState &Next, size_t From, const base::MemberName &To,
            wire::PeerBody Body) {
    const auto *Copy = std::get_if<wire::ShardCopy>(&Body);
    bool IsForBackup = Copy != nullptr &&
                       Copy->Epoch == Next.Store.Record.Epoch &&
                       Next.Store.Record.Backup.Name == To;
    if (this->InjectedFlaw == ProtocolFlaw::BackupWithoutCopy && IsForBackup) {
      std::get<wire::ShardCopy>(Body).Entries.clear();
    }
    const Message *Value =
        this->Values.intern(Message{holder(From), To, std::move(Body), 0});
    auto Position = std::lower_bound(
        Next.InFlight.begin(), Next.InFlight.end(), Value->Digest,
        [](const Message *Each, uint64_t Sum) { return Each->Digest < Sum; });
    if (Position == Next.InFlight.end() ||
        (*Position)->Digest != Value->Digest) {
      Next.InFlight.insert(Position, Value);
    }
  }

  uint64_t epochAt(const SearchState &State,
                   const base::MemberName &Name) const {
    size_t Node = static_cast<size_t>(Name.text()[0] - 'a');
    return State.Replicas[Node]->Value.record().Record.Epoch;
  }

  /// Returns true for a message that can no longer have an effect.
  bool isObsolete(const SearchState &State, const Message &Value) const {
    uint64_t AtReceiver = this->epochAt(State, Value.To);
    uint64_t AtSender = this->epochAt(State, Value.From.Name);
    if (const auto *Reply = std::get_if<wire::IntentReply>(&Value.Body)) {
      return Reply->Epoch < AtReceiver;
    }
    if (const auto *Reply = std::get_if<wire::ShardCopyReply>(&Value.Body)) {
      return Reply->Epoch < AtReceiver;
    }
    uint64_t OldestEpoch = std::min(AtReceiver, AtSender);
    if (const auto *Intent = std::get_if<wire::Intent>(&Value.Body)) {
      return Intent->Epoch < OldestEpoch;
    }
    return std::get<wire::ShardCopy>(Value.Body).Epoch < OldestEpoch;
  }

  void add(SearchState Next) {
    if (this->Limits.ImmediateSwaps && !Next.Swaps.empty()) {
      board::CompareAndSwapShard Swap = Next.Swaps.back();
      Next.Swaps.clear();
      if (Swap.Expected != Next.Store.ModRevision) {
        return;
      }
      Next.Store.Record = Swap.Next;
      ++Next.Store.ModRevision;
    }
    std::erase_if(Next.InFlight, [&](const Message *Each) {
      return this->isObsolete(Next, *Each);
    });
    Next.Digest = digest(Next);
    if (!this->Seen.insert(Next.Digest).second) {
      return;
    }
    this->Found = this->Found || violatesGuarantees(Next);
    this->NextLayer->push_back(std::move(Next));
  }

  ProtocolFlaw InjectedFlaw;
  SearchLimits Limits;
  int Depth = 0;
  bool Found = false;
  ValuePool Values;
  std::unordered_set<uint64_t> Seen;
  std::vector<SearchState> *NextLayer = nullptr;
};

/// Every node has read that record, and the backup has the copy.
SearchState initialState(ValuePool &Values, const ShardRecord &Record) {
  SearchState State;
  State.Store = {0, Record, Record.Epoch > 0 ? 1 : 0};
  for (size_t Node = 0; Node < NodeCount; ++Node) {
    ReplicaContext Context{Start, holder(Node), Start};
    ReplicaEffects Effects;
    ShardReplica Replica(0);
    State.ListedAt[Node] = Start;
    Replica.onRecord(Context, State.Store, Effects);
    Replica.onShardCopyReply(Context, Record.Backup, {0, 1, true}, Effects);
    State.Replicas[Node] = Values.intern(Replica);
  }
  return State;
}

/// Node 0 owns the shard, node 1 backs it up, and node 2 holds nothing.
SearchState ownedAndBackedUp(ValuePool &Values) {
  return initialState(Values, {holder(0), holder(1), 1});
}
/// The shard has no record yet.
SearchState unclaimed(ValuePool &Values) { return initialState(Values, {}); }
/// Node 0 owns the shard without a backup.
SearchState singleHolder(ValuePool &Values) {
  return initialState(Values, {holder(0), {}, 1});
}

/// Node 0 has run the request, and node 1 has recorded the decision.
SearchState requestAlreadyRun(ValuePool &Values) {
  SearchState State = ownedAndBackedUp(Values);
  wire::IntentEntry Entry{Id, 1, wire::RequestDecision::Run,
                          Start + RequestTimeout};
  ReplicaEffects Effects;
  ShardReplica Owner = State.Replicas[0]->Value;
  ShardReplica Backup = State.Replicas[1]->Value;
  Owner.propose({Start, holder(0), Start}, Entry, Effects);
  Backup.onIntent({Start, holder(1), Start}, holder(0), {0, 1, Entry}, Effects);
  Owner.onIntentReply({Start, holder(0), Start}, holder(1),
                      {0, 1, Id, 1, true, wire::RequestDecision::Run}, Effects);
  State.Replicas[0] = Values.intern(Owner);
  State.Replicas[1] = Values.intern(Backup);
  State.PendingByNode[0] = {Phase::Ended, 1, true};
  State.Deadlines[1] = Entry.Deadline;
  State.RunCounts[1] = 1;
  return State;
}

struct SearchCase {
  const char *Name;
  SearchState (*MakeInitial)(ValuePool &);
  SearchLimits Limits;
};

// Searches of the unmodified protocol, which must find no violation.
const SearchCase SoundCases[] = {
    {"one change of holders", ownedAndBackedUp, {.Depth = 9, .Refusals = true}},
    {"three changes of holders",
     requestAlreadyRun,
     {.Depth = 60, .Epochs = 4, .ImmediateSwaps = true}},
    {"two changes and refusals",
     ownedAndBackedUp,
     {.Depth = 12, .Epochs = 3, .Refusals = true, .ImmediateSwaps = true}},
    {"failed swaps",
     requestAlreadyRun,
     {.Depth = 8, .Epochs = 3, .SwapFailures = 2}},
    {"duplicate messages", ownedAndBackedUp, {.Depth = 8, .Duplicates = 2}},
    {"hand-over",
     requestAlreadyRun,
     {.Depth = 8,
      .Epochs = 3,
      .ShortSteps = 1,
      .HandOvers = true,
      .ImmediateSwaps = true}},
    {"long intervals without a listing",
     ownedAndBackedUp,
     {.Depth = 10, .LongSteps = 3, .ImmediateSwaps = true}},
    {"claim", unclaimed, {.Depth = 8}},
    {"single holder",
     singleHolder,
     {.Depth = 9,
      .LongSteps = 3,
      .Refusals = true,
      .SingleMember = true,
      .ImmediateSwaps = true}},
};

TEST(RequestSearch, NoScheduleViolatesTheGuarantees) {
  for (const SearchCase &Case : SoundCases) {
    Search Exhaustive(ProtocolFlaw::None, Case.Limits);
    EXPECT_FALSE(Exhaustive.findsViolation(Case.MakeInitial)) << Case.Name;
    EXPECT_GT(Exhaustive.states(), 1000U) << Case.Name;
    std::printf("%s: %zu states to depth %d\n", Case.Name, Exhaustive.states(),
                Exhaustive.depth());
    std::fflush(stdout);
  }
}

struct FlawCase {
  ProtocolFlaw InjectedFlaw;
  const char *Name;
  SearchState (*MakeInitial)(ValuePool &);
  SearchLimits Limits;
};

const FlawCase FlawCases[] = {
    {ProtocolFlaw::RunsWithoutIntent,
     "run without intent",
     ownedAndBackedUp,
     {.Depth = 10}},
    {ProtocolFlaw::UnrecordedRefusal,
     "unrecorded refusal",
     ownedAndBackedUp,
     {.Depth = 8, .Refusals = true}},
    {ProtocolFlaw::BackupRecordsInClosedEpoch,
     "backup records in closed epoch",
     ownedAndBackedUp,
     {.Depth = 12, .SingleMember = true, .ImmediateSwaps = true}},
    {ProtocolFlaw::BackupWithoutCopy,
     "backup without copy",
     requestAlreadyRun,
     {.Depth = 14, .Epochs = 3, .SingleMember = true, .ImmediateSwaps = true}},
    {ProtocolFlaw::RefusalBeforeBackupCopy,
     "refusal before backup copy",
     ownedAndBackedUp,
     {.Depth = 14,
      .Epochs = 3,
      .Refusals = true,
      .SingleMember = true,
      .ImmediateSwaps = true}},
    {ProtocolFlaw::UnsealedHandOver,
     "unsealed hand-over",
     ownedAndBackedUp,
     {.Depth = 14, .HandOvers = true, .ImmediateSwaps = true}},
    {ProtocolFlaw::NoExpiryWait,
     "no expiry wait",
     requestAlreadyRun,
     {.Depth = 10, .SingleMember = true, .ImmediateSwaps = true}},
    {ProtocolFlaw::NoListingAgeLimit,
     "no listing age limit",
     ownedAndBackedUp,
     {.Depth = 14,
      .LongSteps = 2,
      .SingleMember = true,
      .ImmediateSwaps = true}},
};

TEST(RequestSearch, FindsAViolationForEachFlaw) {
  for (const FlawCase &Case : FlawCases) {
    Search Exhaustive(Case.InjectedFlaw, Case.Limits);
    EXPECT_TRUE(Exhaustive.findsViolation(Case.MakeInitial)) << Case.Name;
    std::printf("%s: found at depth %d after %zu states\n", Case.Name,
                Exhaustive.depth() + 1, Exhaustive.states());
  }
}

} // namespace
} // namespace bilberry::requests
