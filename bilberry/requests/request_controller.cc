#include "bilberry/requests/request_controller.h"

#include "bilberry/base/ranked_mutex.h"
#include "bilberry/requests/request_engine.h"
#include "bilberry/requests/request_snapshot.h"

#include <mutex>

namespace bilberry::requests {

struct RequestController::Impl {
  Impl(const board::LocalMember &Self, const targets::TargetTable &Targets,
       const members::MemberTable &Members, admission::UpstreamLimits &Limits)
      : Self(Self), Targets(Targets), Members(Members), Engine(Limits) {}

  /// Reads the tables whose locks have a lower rank. Precondition: Mutex isn't
  /// held.
  AgentContext agentContext(base::TimePoint Now) const {
    AgentContext Agent;
    Agent.Now = Now;
    Agent.Self = this->Self.get();
    Agent.View = this->Members.view(Agent.Self.Service);
    Agent.Document = this->Targets.current();
    Agent.CanRunLocally = members::takesNewWork(Agent.Self) &&
                          Agent.Document->isInService(Agent.Self.DataCentre);
    return Agent;
  }

  /// Looks up the states of the named members. Precondition: Mutex isn't held.
  HolderStates holderStates(const AgentContext &Agent,
                            const std::vector<base::MemberName> &Names) const {
    HolderStates States;
    for (const base::MemberName &Name : Names) {
      HolderState &State = States[Name];
      std::optional<members::Member> Value = this->Members.find(Name);
      if (!Value) {
        continue;
      }
      State.IsKnown = true;
      State.IsSilent = this->Members.isSilent(Name);
      State.Run = Value->Run;
      State.State = Value->State;
      State.IsDataCentreOutOfService =
          !Agent.Document->isInService(Value->DataCentre);
    }
    return States;
  }

  const board::LocalMember &Self;
  const targets::TargetTable &Targets;
  const members::MemberTable &Members;
  mutable base::RankedMutex Mutex{base::LockRank::Requests};
  RequestEngine Engine;
};

RequestController::RequestController(const board::LocalMember &Self,
                                     const targets::TargetTable &Targets,
                                     const members::MemberTable &Members,
                                     admission::UpstreamLimits &Limits)
    : Inner(std::make_unique<Impl>(Self, Targets, Members, Limits)) {}

RequestController::~RequestController() = default;

void RequestController::onRequest(base::TimePoint Now,
                                  const wire::ForwardHeader &Header,
                                  std::string_view Payload,
                                  const wire::RequestPacket &Packet,
                                  board::AgentActions &Out) {
  AgentContext Agent = this->Inner->agentContext(Now);
  std::lock_guard Lock(this->Inner->Mutex);
  this->Inner->Engine.onRequest(Agent, Header, Payload, Packet, Out);
}

void RequestController::onCancel(base::TimePoint Now,
                                 const wire::ForwardHeader &Header,
                                 std::string_view Payload,
                                 const wire::CancelPacket &Packet,
                                 board::AgentActions &Out) {
  AgentContext Agent = this->Inner->agentContext(Now);
  std::lock_guard Lock(this->Inner->Mutex);
  this->Inner->Engine.onCancel(Agent, Header, Payload, Packet, Out);
}

void RequestController::onPeer(base::TimePoint Now,
                               const wire::PeerMessage &Message,
                               board::AgentActions &Out) {
  AgentContext Agent = this->Inner->agentContext(Now);
  std::lock_guard Lock(this->Inner->Mutex);
  this->Inner->Engine.onPeer(Agent, Message, Out);
}

void RequestController::onUpstreamResult(base::TimePoint Now,
                                         const wire::RunResult &Result,
                                         board::AgentActions &Out) {
  AgentContext Agent = this->Inner->agentContext(Now);
  std::lock_guard Lock(this->Inner->Mutex);
  this->Inner->Engine.onUpstreamResult(Agent, Result, Out);
}

void RequestController::onUpstreamLost(base::TimePoint Now,
                                       board::AgentActions &Out) {
  AgentContext Agent = this->Inner->agentContext(Now);
  std::lock_guard Lock(this->Inner->Mutex);
  this->Inner->Engine.onUpstreamLost(Agent, Out);
}

void RequestController::onShardRecord(base::TimePoint Now,
                                      const StoredShard &Record,
                                      board::AgentActions &Out) {
  AgentContext Agent = this->Inner->agentContext(Now);
  std::lock_guard Lock(this->Inner->Mutex);
  this->Inner->Engine.onShardRecord(Agent, Record, Out);
}

void RequestController::onShardsListed(base::TimePoint ListingStart) {
  std::lock_guard Lock(this->Inner->Mutex);
  this->Inner->Engine.Shards.onRecordsListed(ListingStart);
}

void RequestController::onSwapFailed(base::TimePoint /*Now*/, uint32_t Shard,
                                     board::AgentActions & /*Out*/) {
  std::lock_guard Lock(this->Inner->Mutex);
  this->Inner->Engine.onSwapFailed(Shard);
}

void RequestController::onTick(base::TimePoint Now, board::AgentActions &Out) {
  AgentContext Agent = this->Inner->agentContext(Now);
  std::vector<base::MemberName> Names;
  {
    std::lock_guard Lock(this->Inner->Mutex);
    Names = this->Inner->Engine.Shards.holderNames();
  }
  HolderStates States = this->Inner->holderStates(Agent, Names);
  std::lock_guard Lock(this->Inner->Mutex);
  this->Inner->Engine.tick(Agent, States, Out);
}

RequestCounts RequestController::counts() const {
  members::Member Self = this->Inner->Self.get();
  std::lock_guard Lock(this->Inner->Mutex);
  return this->Inner->Engine.counts({Self.Name, Self.Run});
}

size_t RequestController::requestsInFlight() const {
  std::lock_guard Lock(this->Inner->Mutex);
  return this->Inner->Engine.requestsInFlight();
}

size_t RequestController::shardsHeld() const {
  members::Member Self = this->Inner->Self.get();
  ShardHolder Holder{Self.Name, Self.Run};
  std::lock_guard Lock(this->Inner->Mutex);
  return this->Inner->Engine.Shards.ownedCount(Holder) +
         this->Inner->Engine.Shards.backupCount(Holder);
}

std::string RequestController::snapshot() {
  members::Member Self = this->Inner->Self.get();
  std::lock_guard Lock(this->Inner->Mutex);
  this->Inner->Engine.Shards.seal();
  return encodeSnapshot({Self.Name, Self.Run}, this->Inner->Engine.Shards,
                        this->Inner->Engine.Outcomes);
}

base::Result<void> RequestController::restore(base::TimePoint Now,
                                              std::string_view State) {
  members::Member Self = this->Inner->Self.get();
  std::lock_guard Lock(this->Inner->Mutex);
  return restoreSnapshot(Now, Self.Name, State, this->Inner->Engine.Shards,
                         this->Inner->Engine.Outcomes);
}

} // namespace bilberry::requests
