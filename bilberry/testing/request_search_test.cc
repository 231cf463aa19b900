// An exhaustive search of the shard protocol, breadth first to a bounded
// depth: three replicas of one shard, every order of arrivals, messages, swaps,
// readings of the record, ticks with every view of who is gone, and time.
//
// A message, swap or process that is lost, dead or paused is one that the
// search doesn't move again, so each state also stands for its faults. After
// each step an omniscient record is checked: no request has run twice, and no
// attempt that was told "not run" has run. Flawed versions, which break one
// rule each, must be caught by the same search.

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

constexpr size_t Nodes = 3;
constexpr uint32_t MaxAttempts = 2;
const base::RequestId Id = {0, 7};
const base::TimePoint Start{std::chrono::hours(24)};
/// Two of them outlast IncompleteOwnerWait; one doesn't outlast a proof.
constexpr base::Duration LongStep = IncompleteOwnerWait / 2 + seconds(1);
constexpr base::Duration ShortStep = HandOverTimeout + seconds(1);
constexpr base::Duration RequestTime = seconds(10);

/// One rule that a flawed version breaks.
enum class Flaw {
  None,
  /// Runs without waiting for the backup.
  NoIntents,
  /// Says "not run" without recording it.
  UnsealedRefusal,
  /// A backup goes on recording in an epoch that it has closed.
  OpenEpoch,
  /// A backup counts as having the table before it got the copy.
  NoCopy,
  /// Repeats a recorded refusal before the new backup has it.
  EarlyRefusal,
  /// An owner that hands over goes on deciding if its swap isn't answered.
  UnsealedHandOver,
  /// An owner without a copy doesn't wait.
  NoWait,
  /// A backup goes on for ever without reading the records.
  NoProof,
};

/// What a search may use up.
struct Budget {
  int Depth = 0;
  uint64_t Epochs = 2;
  int Doubled = 0;
  int LongSteps = 0;
  int ShortSteps = 0;
  int Failures = 0;
  bool HandOvers = false;
  bool Refusals = false;
  /// A holder may find itself without any other member.
  bool Alone = false;
  /// A swap takes effect at once or never; its answer may still be late.
  bool PromptSwaps = false;
};

struct Message {
  ShardHolder From;
  base::MemberName To;
  wire::PeerBody Body;
  uint64_t Digest = 0;
};

enum class Phase : uint8_t { None, Deciding, MayRun, Ended, Refusing };

struct Work {
  Phase In = Phase::None;
  uint32_t Attempt = 0;
  bool MayHaveRun = false;
};

/// A replica in the pool, where equal ones are one.
struct PooledReplica {
  ShardReplica Value;
  uint64_t Digest = 0;
};

struct World {
  std::array<const PooledReplica *, Nodes> Replicas;
  std::array<Work, Nodes> Works;
  std::array<base::TimePoint, Nodes> Listed;
  std::vector<const Message *> Net;
  std::vector<board::SwapShard> Swaps;
  StoredShard Store;
  base::TimePoint Now = Start;
  /// The deadline of each attempt, from its first arrival.
  std::array<base::TimePoint, MaxAttempts + 1> Deadlines;
  std::array<uint8_t, MaxAttempts + 1> Ran{};
  std::array<bool, MaxAttempts + 1> ToldNotRun{};
  int Doubled = 0;
  int LongSteps = 0;
  int ShortSteps = 0;
  int Failures = 0;
  uint64_t Digest = 0;
};

void mix(uint64_t &Sum, uint64_t Value) {
  Sum ^= Value + 0x9E3779B97F4A7C15ULL + (Sum << 6) + (Sum >> 2);
  Sum *= 0xBF58476D1CE4E5B9ULL;
}

uint64_t ticks(base::TimePoint Time) {
  return static_cast<uint64_t>(Time.time_since_epoch().count());
}

ShardHolder holder(size_t Node) {
  return {base::MemberName(std::string(1, static_cast<char>('a' + Node))), 1};
}

uint64_t digest(const ShardRecord &Record) {
  uint64_t Sum = Record.Epoch;
  mix(Sum, std::hash<base::MemberName>()(Record.Owner.Name));
  mix(Sum, std::hash<base::MemberName>()(Record.Backup.Name));
  return Sum;
}

uint64_t digest(const Message &Value) {
  uint64_t Sum = Value.Body.index();
  mix(Sum, std::hash<base::MemberName>()(Value.From.Name));
  mix(Sum, std::hash<base::MemberName>()(Value.To));
  auto AddEntry = [&](const wire::IntentEntry &Entry) {
    mix(Sum, Entry.Attempt * 2 + static_cast<uint64_t>(Entry.Decision));
    mix(Sum, ticks(Entry.Deadline));
  };
  if (const auto *Intent = std::get_if<wire::Intent>(&Value.Body)) {
    mix(Sum, Intent->Epoch);
    AddEntry(Intent->Entry);
  } else if (const auto *Reply = std::get_if<wire::IntentReply>(&Value.Body)) {
    mix(Sum, Reply->Epoch * 4 + (Reply->Recorded ? 2 : 0) +
                 static_cast<uint64_t>(Reply->Decision));
    mix(Sum, Reply->Attempt);
  } else if (const auto *Copy = std::get_if<wire::ShardCopy>(&Value.Body)) {
    mix(Sum, Copy->Epoch);
    for (const wire::IntentEntry &Entry : Copy->Entries) {
      AddEntry(Entry);
    }
  } else if (const auto *Taken =
                 std::get_if<wire::ShardCopyReply>(&Value.Body)) {
    mix(Sum, Taken->Epoch * 2 + (Taken->Accepted ? 1 : 0));
  }
  return Sum;
}

uint64_t digest(const World &State) {
  uint64_t Sum = ticks(State.Now);
  for (size_t Node = 0; Node < Nodes; ++Node) {
    mix(Sum, State.Replicas[Node]->Digest);
    mix(Sum, static_cast<uint64_t>(State.Works[Node].In) * 16 +
                 State.Works[Node].Attempt * 2 +
                 (State.Works[Node].MayHaveRun ? 1 : 0));
    mix(Sum, ticks(State.Listed[Node]));
  }
  for (const auto &Each : State.Net) {
    mix(Sum, Each->Digest);
  }
  for (const board::SwapShard &Each : State.Swaps) {
    mix(Sum, digest(Each.Next));
    mix(Sum, static_cast<uint64_t>(Each.Expected));
  }
  mix(Sum, digest(State.Store.Record));
  for (uint32_t Attempt = 0; Attempt <= MaxAttempts; ++Attempt) {
    mix(Sum, ticks(State.Deadlines[Attempt]));
    mix(Sum, State.Ran[Attempt] * 2 + (State.ToldNotRun[Attempt] ? 1 : 0));
  }
  mix(Sum, (static_cast<uint64_t>(State.Doubled) * 4096 +
            State.LongSteps * 256 + State.ShortSteps * 16 + State.Failures));
  return Sum;
}

bool isViolated(const World &State) {
  int Runs = 0;
  for (uint32_t Attempt = 1; Attempt <= MaxAttempts; ++Attempt) {
    Runs += State.Ran[Attempt];
    if (State.ToldNotRun[Attempt] && State.Ran[Attempt] > 0) {
      return true;
    }
  }
  return Runs > 1;
}

/// Keeps every distinct replica and message once, so that a state of the whole
/// is a few pointers.
class Pool {
public:
  const PooledReplica *keep(ShardReplica Value) {
    uint64_t Digest = Value.fingerprint();
    auto &Kept = this->Replicas[Digest];
    if (Kept == nullptr) {
      Kept = std::make_unique<PooledReplica>(
          PooledReplica{std::move(Value), Digest});
    }
    return Kept.get();
  }
  const Message *keep(Message Value) {
    Value.Digest = digest(Value);
    auto &Kept = this->Messages[Value.Digest];
    if (Kept == nullptr) {
      Kept = std::make_unique<Message>(std::move(Value));
    }
    return Kept.get();
  }

private:
  std::unordered_map<uint64_t, std::unique_ptr<PooledReplica>> Replicas;
  std::unordered_map<uint64_t, std::unique_ptr<Message>> Messages;
};

class Search {
public:
  Search(Flaw Broken, Budget Limits) : Broken(Broken), Limits(Limits) {}

  /// True where a reachable state breaks a promise.
  bool findsViolation(World (*First)(Pool &)) {
    std::vector<World> Layer = {First(this->Kept)};
    Layer.front().Digest = digest(Layer.front());
    this->Seen.insert(Layer.front().Digest);
    for (this->Depth = 0; this->Depth < this->Limits.Depth; ++this->Depth) {
      std::vector<World> Next;
      this->Following = &Next;
      for (const World &State : Layer) {
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
  void expand(const World &State) {
    for (size_t Node = 0; Node < Nodes; ++Node) {
      this->arrivals(State, Node);
      this->works(State, Node);
      this->ticksOf(State, Node);
      this->readings(State, Node);
    }
    this->deliveries(State);
    this->landings(State);
    this->passTime(State);
  }

  void arrivals(const World &State, size_t Node) {
    for (uint32_t Attempt = 1; Attempt <= MaxAttempts; ++Attempt) {
      if (Attempt > 1 && !State.ToldNotRun[Attempt - 1]) {
        return;
      }
      this->arrive(State, Node, Attempt, wire::Verdict::Run);
      if (this->Limits.Refusals) {
        this->arrive(State, Node, Attempt, wire::Verdict::Refuse);
      }
    }
  }

  /// As RequestEngine::decideAsOwner.
  void arrive(const World &State, size_t Node, uint32_t Attempt,
              wire::Verdict Wish) {
    const ShardReplica &Replica = State.Replicas[Node]->Value;
    const Work &Before = State.Works[Node];
    bool IsOpen = Before.In != Phase::None;
    // What comes earlier waits: as good as coming when the owner decides.
    bool MayTell =
        Replica.isDeciding(this->context(State, Node)) ||
        (this->Broken == Flaw::EarlyRefusal && Replica.isOwner(holder(Node)));
    if (IsOpen || !MayTell) {
      return;
    }
    World Next = State;
    if (Next.Deadlines[Attempt] == base::TimePoint()) {
      Next.Deadlines[Attempt] = Next.Now + RequestTime;
    }
    base::TimePoint Deadline = Next.Deadlines[Attempt];
    if (isExpired(Next.Now, Deadline)) {
      return;
    }
    const wire::IntentEntry *Entry = Replica.table().find(Id);
    if (Entry != nullptr && Entry->Decision == wire::Verdict::Run) {
      return;
    }
    if (Entry != nullptr && Attempt <= Entry->Attempt) {
      Next.ToldNotRun[Attempt] = true;
      this->add(std::move(Next));
      return;
    }
    if (Next.Now >= Deadline) {
      Wish = wire::Verdict::Refuse;
    }
    Next.Works[Node] = {Wish == wire::Verdict::Run ? Phase::Deciding
                                                   : Phase::Refusing,
                        Attempt, false};
    this->propose(Next, Node, Wish);
    this->add(std::move(Next));
  }

  void works(const World &State, size_t Node) {
    const Work &Present = State.Works[Node];
    if (Present.In == Phase::MayRun) {
      if (State.Now < State.Deadlines[Present.Attempt]) {
        World Next = State;
        Next.Works[Node].In = Phase::Ended;
        ++Next.Ran[Present.Attempt];
        this->add(std::move(Next));
      }
      if (!this->Limits.Refusals) {
        return;
      }
      World Next = State; // Shed: nothing ran.
      Next.Works[Node].In = Phase::Refusing;
      this->propose(Next, Node, wire::Verdict::Refuse);
      this->add(std::move(Next));
    }
    if (Present.In == Phase::Deciding && this->Limits.Refusals) {
      World Next = State; // Cancelled.
      Next.Works[Node].In = Phase::Refusing;
      this->propose(Next, Node, wire::Verdict::Refuse);
      this->add(std::move(Next));
    }
  }

  void propose(World &Next, size_t Node, wire::Verdict Wish) {
    const Work &Present = Next.Works[Node];
    wire::IntentEntry Entry{Id, Present.Attempt, Wish,
                            Next.Deadlines[Present.Attempt]};
    bool SkipsRun =
        this->Broken == Flaw::NoIntents && Wish == wire::Verdict::Run;
    bool SkipsRefusal =
        this->Broken == Flaw::UnsealedRefusal && Wish == wire::Verdict::Refuse;
    if (SkipsRun || SkipsRefusal) {
      this->decided(Next, Node, Entry);
      return;
    }
    this->change(Next, Node, [&](ShardReplica &Replica, auto &Out) {
      Replica.propose(this->context(Next, Node), Entry, Out);
    });
  }

  void decided(World &Next, size_t Node, const wire::IntentEntry &Entry) {
    Work &Present = Next.Works[Node];
    if (Present.Attempt != Entry.Attempt) {
      return;
    }
    bool IsRun = Entry.Decision == wire::Verdict::Run;
    if (IsRun && Present.In == Phase::Deciding) {
      Present.In = Phase::MayRun;
      Present.MayHaveRun = true;
    } else if (!IsRun && Present.In == Phase::Refusing) {
      Present = {};
      Next.ToldNotRun[Entry.Attempt] = true;
    }
  }

  void voided(World &Next, size_t Node, const wire::IntentEntry &Entry) {
    Work &Present = Next.Works[Node];
    if (Present.Attempt == Entry.Attempt) {
      Present.In = Present.MayHaveRun ? Phase::Ended : Phase::None;
    }
  }

  /// Only the views that a replica in its role acts on.
  void ticksOf(const World &State, size_t Node) {
    const ShardReplica &Replica = State.Replicas[Node]->Value;
    ShardView Quiet;
    Quiet.Ranked = {{holder(Node), {}}, {holder((Node + 1) % Nodes), {}}};
    this->tick(State, Node, Quiet, false);
    uint64_t Epoch = Replica.record().Record.Epoch;
    if (Epoch >= this->Limits.Epochs || Replica.isSwapping()) {
      return;
    }
    bool IsOwner = Replica.isOwner(holder(Node));
    for (size_t Turn = 1; Turn < Nodes; ++Turn) {
      size_t Other = (Node + Turn) % Nodes;
      ShardView View;
      View.Ranked = {{holder(Node), {}}, {holder(Other), {}}};
      View.OwnerIsGone = !IsOwner;
      View.BackupIsGone = !Replica.isBackup(holder(Node));
      this->tick(State, Node, View, false);
      if (this->Limits.HandOvers && IsOwner) {
        ShardView Leaving;
        Leaving.Ranked = {{holder(Other), {}},
                          {holder((Node + Nodes - Turn) % Nodes), {}}};
        Leaving.MayHandOver = true;
        this->tick(State, Node, Leaving, true);
      }
    }
    if (this->Limits.Alone) {
      ShardView Last;
      Last.Ranked = {{holder(Node), {}}};
      Last.OwnerIsGone = !IsOwner;
      Last.BackupIsGone = true;
      this->tick(State, Node, Last, false);
    }
  }

  void tick(const World &State, size_t Node, const ShardView &View,
            bool HandsOver) {
    World Next = State;
    this->change(Next, Node, [&](ShardReplica &Replica, auto &Out) {
      ShardReplica Before = Replica;
      Replica.tick(this->context(Next, Node), View, Out);
      bool IsFlawed = this->Broken == Flaw::UnsealedHandOver && HandsOver;
      if (IsFlawed && Replica.isHandingOver()) {
        Replica = Before; // The copy is sent, but the epoch stays open.
      }
    });
    this->add(std::move(Next));
  }

  void readings(const World &State, size_t Node) {
    World Next = State;
    Next.Listed[Node] = Next.Now;
    this->change(Next, Node, [&](ShardReplica &Replica, auto &Out) {
      Replica.onRecord(this->context(Next, Node), Next.Store, Out);
    });
    const ShardReplica &Replica = Next.Replicas[Node]->Value;
    if (this->Broken == Flaw::NoWait && Replica.isWaitingOut(holder(Node))) {
      this->change(Next, Node, [&](ShardReplica &Waiting, auto &Out) {
        wire::ShardCopy Empty{0, Waiting.record().Record.Epoch, {}};
        Waiting.onShardCopy(this->context(Next, Node), Waiting.previous().Owner,
                            Empty, Out);
      });
    }
    this->add(std::move(Next));
    bool MayFail = State.Failures < this->Limits.Failures;
    if (MayFail && State.Replicas[Node]->Value.isSwapping()) {
      World Failed = State;
      ++Failed.Failures;
      this->change(Failed, Node, [&](ShardReplica &Swapping, auto &) {
        Swapping.onSwapFailed();
      });
      this->add(std::move(Failed));
    }
  }

  void deliveries(const World &State) {
    for (size_t Place = 0; Place < State.Net.size(); ++Place) {
      World Next = State;
      this->deliver(Next, *State.Net[Place]);
      if (digest(Next) == State.Digest) {
        continue; // No effect now: as good as not delivered yet.
      }
      std::erase(Next.Net, State.Net[Place]);
      this->add(std::move(Next));
      if (State.Doubled < this->Limits.Doubled) {
        World Again = State;
        ++Again.Doubled;
        this->deliver(Again, *State.Net[Place]);
        this->add(std::move(Again));
      }
    }
  }

  void deliver(World &Next, const Message &Value) {
    size_t To = static_cast<size_t>(Value.To.text()[0] - 'a');
    const ShardReplica &Receiver = Next.Replicas[To]->Value;
    const auto *Intent = std::get_if<wire::Intent>(&Value.Body);
    bool IsPast =
        Intent != nullptr && Intent->Epoch < Receiver.record().Record.Epoch;
    if (this->Broken == Flaw::OpenEpoch && IsPast) {
      this->send(Next, To, Value.From.Name,
                 wire::IntentReply{0, Intent->Epoch, Id, Intent->Entry.Attempt,
                                   true, Intent->Entry.Decision});
      return;
    }
    const auto *Taken = std::get_if<wire::ShardCopyReply>(&Value.Body);
    uint64_t Epoch = Receiver.record().Record.Epoch;
    bool IsForHandOver = Taken != nullptr && Taken->Epoch == Epoch + 1;
    if (this->Broken == Flaw::UnsealedHandOver && IsForHandOver) {
      ShardRecord Heir{Value.From, Receiver.record().Record.Backup, Epoch + 1};
      Next.Swaps.push_back({0, Heir, Receiver.record().Changed});
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

  void landings(const World &State) {
    for (size_t Place = 0; Place < State.Swaps.size(); ++Place) {
      World Next = State;
      board::SwapShard Swap = Next.Swaps[Place];
      Next.Swaps.erase(Next.Swaps.begin() + static_cast<ptrdiff_t>(Place));
      if (Swap.Expected != Next.Store.Changed) {
        continue; // Lost the race: the issuer learns it by reading.
      }
      Next.Store.Record = Swap.Next;
      ++Next.Store.Changed;
      this->add(std::move(Next));
    }
  }

  void passTime(const World &State) {
    auto Pass = [&](base::Duration Step, int World::*Used, int Most) {
      if (State.*Used >= Most) {
        return;
      }
      World Next = State;
      Next.Now += Step;
      ++(Next.*Used);
      this->add(std::move(Next));
    };
    Pass(LongStep, &World::LongSteps, this->Limits.LongSteps);
    Pass(ShortStep, &World::ShortSteps, this->Limits.ShortSteps);
  }

  ReplicaContext context(const World &State, size_t Node) const {
    bool IsFresh = this->Broken == Flaw::NoProof;
    return {State.Now, holder(Node), IsFresh ? State.Now : State.Listed[Node]};
  }

  template <typename Change> void change(World &Next, size_t Node, Change Do) {
    ShardReplica Copy = Next.Replicas[Node]->Value;
    ReplicaEffects Effects;
    Do(Copy, Effects);
    Next.Replicas[Node] = this->Kept.keep(std::move(Copy));
    for (ReplicaEffects::Send &Each : Effects.Sends) {
      this->send(Next, Node, Each.To, std::move(Each.Body));
    }
    if (Effects.Swap) {
      Next.Swaps.push_back(*Effects.Swap);
    }
    for (const wire::IntentEntry &Entry : Effects.Decided) {
      this->decided(Next, Node, Entry);
    }
    for (const wire::IntentEntry &Entry : Effects.Voided) {
      this->voided(Next, Node, Entry);
    }
  }

  void send(World &Next, size_t From, const base::MemberName &To,
            wire::PeerBody Body) {
    const auto *Copy = std::get_if<wire::ShardCopy>(&Body);
    bool IsForBackup = Copy != nullptr &&
                       Copy->Epoch == Next.Store.Record.Epoch &&
                       Next.Store.Record.Backup.Name == To;
    if (this->Broken == Flaw::NoCopy && IsForBackup) {
      std::get<wire::ShardCopy>(Body).Entries.clear();
    }
    const Message *Value =
        this->Kept.keep(Message{holder(From), To, std::move(Body), 0});
    auto Place = std::lower_bound(
        Next.Net.begin(), Next.Net.end(), Value->Digest,
        [](const Message *Each, uint64_t Sum) { return Each->Digest < Sum; });
    if (Place == Next.Net.end() || (*Place)->Digest != Value->Digest) {
      Next.Net.insert(Place, Value);
    }
  }

  uint64_t epochAt(const World &State, const base::MemberName &Name) const {
    size_t Node = static_cast<size_t>(Name.text()[0] - 'a');
    return State.Replicas[Node]->Value.record().Record.Epoch;
  }

  /// True for a message that can have no effect any more.
  bool isSpent(const World &State, const Message &Value) const {
    uint64_t AtReceiver = this->epochAt(State, Value.To);
    uint64_t AtSender = this->epochAt(State, Value.From.Name);
    if (const auto *Reply = std::get_if<wire::IntentReply>(&Value.Body)) {
      return Reply->Epoch < AtReceiver;
    }
    if (const auto *Reply = std::get_if<wire::ShardCopyReply>(&Value.Body)) {
      return Reply->Epoch < AtReceiver;
    }
    uint64_t Both = std::min(AtReceiver, AtSender);
    if (const auto *Intent = std::get_if<wire::Intent>(&Value.Body)) {
      return Intent->Epoch < Both;
    }
    return std::get<wire::ShardCopy>(Value.Body).Epoch < Both;
  }

  void add(World Next) {
    if (this->Limits.PromptSwaps && !Next.Swaps.empty()) {
      board::SwapShard Swap = Next.Swaps.back();
      Next.Swaps.clear();
      if (Swap.Expected != Next.Store.Changed) {
        return;
      }
      Next.Store.Record = Swap.Next;
      ++Next.Store.Changed;
    }
    std::erase_if(Next.Net, [&](const Message *Each) {
      return this->isSpent(Next, *Each);
    });
    Next.Digest = digest(Next);
    if (!this->Seen.insert(Next.Digest).second) {
      return;
    }
    this->Found = this->Found || isViolated(Next);
    this->Following->push_back(std::move(Next));
  }

  Flaw Broken;
  Budget Limits;
  int Depth = 0;
  bool Found = false;
  Pool Kept;
  std::unordered_set<uint64_t> Seen;
  std::vector<World> *Following = nullptr;
};

/// All have read that record; the backup has the copy.
World begun(Pool &Kept, const ShardRecord &Record) {
  World State;
  State.Store = {0, Record, Record.Epoch > 0 ? 1 : 0};
  for (size_t Node = 0; Node < Nodes; ++Node) {
    ReplicaContext Context{Start, holder(Node), Start};
    ReplicaEffects Effects;
    ShardReplica Replica(0);
    State.Listed[Node] = Start;
    Replica.onRecord(Context, State.Store, Effects);
    Replica.onShardCopyReply(Context, Record.Backup, {0, 1, true}, Effects);
    State.Replicas[Node] = Kept.keep(Replica);
  }
  return State;
}

/// A owns the shard, B backs it up, C holds nothing.
World settled(Pool &Kept) { return begun(Kept, {holder(0), holder(1), 1}); }
/// Nobody holds the shard yet.
World unclaimed(Pool &Kept) { return begun(Kept, {}); }
/// A is alone in the shard's record.
World alone(Pool &Kept) { return begun(Kept, {holder(0), {}, 1}); }

/// A has run the request, and B has recorded that.
World ran(Pool &Kept) {
  World State = settled(Kept);
  wire::IntentEntry Entry{Id, 1, wire::Verdict::Run, Start + RequestTime};
  ReplicaEffects Effects;
  ShardReplica Owner = State.Replicas[0]->Value;
  ShardReplica Backup = State.Replicas[1]->Value;
  Owner.propose({Start, holder(0), Start}, Entry, Effects);
  Backup.onIntent({Start, holder(1), Start}, holder(0), {0, 1, Entry}, Effects);
  Owner.onIntentReply({Start, holder(0), Start}, holder(1),
                      {0, 1, Id, 1, true, wire::Verdict::Run}, Effects);
  State.Replicas[0] = Kept.keep(Owner);
  State.Replicas[1] = Kept.keep(Backup);
  State.Works[0] = {Phase::Ended, 1, true};
  State.Deadlines[1] = Entry.Deadline;
  State.Ran[1] = 1;
  return State;
}

struct SearchCase {
  const char *Name;
  World (*First)(Pool &);
  Budget Limits;
};

// Depth, epochs, doubled, long steps, short steps, failed swaps, hand-overs,
// refusals.
const SearchCase SoundCases[] = {
    {"one change of holders", settled, {.Depth = 9, .Refusals = true}},
    {"three changes of holders",
     ran,
     {.Depth = 60, .Epochs = 4, .PromptSwaps = true}},
    {"two changes and refusals",
     settled,
     {.Depth = 12, .Epochs = 3, .Refusals = true, .PromptSwaps = true}},
    {"failed swaps", ran, {.Depth = 8, .Epochs = 3, .Failures = 2}},
    {"doubled messages", settled, {.Depth = 8, .Doubled = 2}},
    {"hand-over",
     ran,
     {.Depth = 8,
      .Epochs = 3,
      .ShortSteps = 1,
      .HandOvers = true,
      .PromptSwaps = true}},
    {"long silence",
     settled,
     {.Depth = 10, .LongSteps = 3, .PromptSwaps = true}},
    {"claim", unclaimed, {.Depth = 8}},
    {"alone",
     alone,
     {.Depth = 9,
      .LongSteps = 3,
      .Refusals = true,
      .Alone = true,
      .PromptSwaps = true}},
};

TEST(RequestSearch, NoScheduleBreaksAPromise) {
  for (const SearchCase &Case : SoundCases) {
    Search Exhaustive(Flaw::None, Case.Limits);
    EXPECT_FALSE(Exhaustive.findsViolation(Case.First)) << Case.Name;
    EXPECT_GT(Exhaustive.states(), 1000U) << Case.Name;
    std::printf("%s: %zu states to depth %d\n", Case.Name, Exhaustive.states(),
                Exhaustive.depth());
    std::fflush(stdout);
  }
}

struct FlawCase {
  Flaw Broken;
  const char *Name;
  World (*First)(Pool &);
  Budget Limits;
};

const FlawCase FlawCases[] = {
    {Flaw::NoIntents, "no intents", settled, {.Depth = 10}},
    {Flaw::UnsealedRefusal,
     "unsealed refusal",
     settled,
     {.Depth = 8, .Refusals = true}},
    {Flaw::OpenEpoch,
     "open epoch",
     settled,
     {.Depth = 12, .Alone = true, .PromptSwaps = true}},
    {Flaw::NoCopy,
     "no copy",
     ran,
     {.Depth = 14, .Epochs = 3, .Alone = true, .PromptSwaps = true}},
    {Flaw::EarlyRefusal,
     "early refusal",
     settled,
     {.Depth = 14,
      .Epochs = 3,
      .Refusals = true,
      .Alone = true,
      .PromptSwaps = true}},
    {Flaw::UnsealedHandOver,
     "unsealed hand-over",
     settled,
     {.Depth = 14, .HandOvers = true, .PromptSwaps = true}},
    {Flaw::NoWait,
     "no wait",
     ran,
     {.Depth = 10, .Alone = true, .PromptSwaps = true}},
    {Flaw::NoProof,
     "no proof",
     settled,
     {.Depth = 14, .LongSteps = 2, .Alone = true, .PromptSwaps = true}},
};

TEST(RequestSearch, EachFlawIsFound) {
  for (const FlawCase &Case : FlawCases) {
    Search Exhaustive(Case.Broken, Case.Limits);
    EXPECT_TRUE(Exhaustive.findsViolation(Case.First)) << Case.Name;
    std::printf("%s: found at depth %d after %zu states\n", Case.Name,
                Exhaustive.depth() + 1, Exhaustive.states());
  }
}

} // namespace
} // namespace bilberry::requests
