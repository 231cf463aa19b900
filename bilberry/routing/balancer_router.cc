#include "bilberry/routing/balancer_router.h"

#include "bilberry/requests/shard_record.h"
#include "bilberry/routing/rendezvous.h"

namespace bilberry::routing {

std::string_view routeReasonText(RouteReason Reason) {
  switch (Reason) {
  case RouteReason::NewFlow:
    return "new-flow";
  case RouteReason::Cached:
    return "cached";
  case RouteReason::LookupFirst:
    return "lookup-first";
  case RouteReason::RequestShard:
    return "request-shard";
  case RouteReason::NoMember:
    return "no-member";
  case RouteReason::WrongService:
    return "wrong-service";
  }
  return "unknown";
}

static Route routeTo(RouteReason Reason, const members::Member *Receiver) {
  if (Receiver == nullptr) {
    return {RouteReason::NoMember, {}, {}};
  }
  return {Reason, Receiver->Name, Receiver->Data};
}

static Route routeTo(RouteReason Reason,
                     const members::HashedMember *Receiver) {
  return routeTo(Reason, Receiver == nullptr ? nullptr : &Receiver->Value);
}

// Returns true if the class belongs to the service and has the packet's kind.
static bool servesClass(const targets::Targets &Document,
                        const base::ServiceName &Service,
                        const base::ClassName &Class, bool IsRequest) {
  const targets::WorkClass *Found = Document.findClass(Class);
  return Found != nullptr && Found->Service == Service &&
         (Found->Kind == targets::WorkKind::Request) == IsRequest;
}

BalancerRouter::BalancerRouter(const targets::TargetTable &Targets,
                               const members::MemberTable &Members,
                               size_t CacheFlows)
    : Targets(Targets), Members(Members), Cache(CacheFlows) {}

Route BalancerRouter::route(base::TimePoint Now,
                            const base::ServiceName &Service,
                            const base::Address &Caller,
                            const wire::CallerPacket &Packet) {
  if (const auto *Cancel = std::get_if<wire::CancelPacket>(&Packet)) {
    return this->routeRequest(Service, Cancel->Id);
  }
  std::shared_ptr<const targets::Targets> Document = this->Targets.current();
  if (const auto *Request = std::get_if<wire::RequestPacket>(&Packet)) {
    if (!servesClass(*Document, Service, Request->Class, true)) {
      return {RouteReason::WrongService, {}, {}};
    }
    return this->routeRequest(Service, Request->Id);
  }
  const auto &Flow = std::get<wire::FlowPacket>(Packet);
  if (!servesClass(*Document, Service, Flow.Class, false)) {
    return {RouteReason::WrongService, {}, {}};
  }
  return this->routeFlow(Now, Service, Caller, Flow);
}

Route BalancerRouter::routeFlow(base::TimePoint Now,
                                const base::ServiceName &Service,
                                const base::Address &Caller,
                                const wire::FlowPacket &Packet) {
  std::shared_ptr<const targets::Targets> Document = this->Targets.current();
  std::shared_ptr<const members::ServiceView> View =
      this->Members.view(Service);
  base::FlowKey Key = flowKey(Service, Caller, Packet.Connection);

  if (std::optional<base::MemberName> Holder = this->Cache.find(Now, Key)) {
    const members::Member *Known = View->find(*Holder);
    if (Known != nullptr && Document->isInService(Known->DataCentre)) {
      return routeTo(RouteReason::Cached, Known);
    }
    this->Cache.erase(Key);
  }
  if (Packet.hasOpenFlag()) {
    return routeTo(RouteReason::NewFlow,
                   this->selectForNewWork(*Document, *View, Key));
  }
  auto InService = [&](const members::Member &Member) {
    return Document->isInService(Member.DataCentre);
  };
  const members::HashedMember *First = firstRanked(View->Lookup, Key);
  if (First != nullptr && !InService(First->Value)) {
    First = firstRankedIf(View->Lookup, Key, InService);
  }
  return routeTo(RouteReason::LookupFirst, First);
}

Route BalancerRouter::routeRequest(const base::ServiceName &Service,
                                   base::RequestId Id) {
  std::shared_ptr<const targets::Targets> Document = this->Targets.current();
  std::shared_ptr<const members::ServiceView> View =
      this->Members.view(Service);
  base::FlowKey Key = shardKey(Service, requests::shardOf(Id));
  return routeTo(RouteReason::RequestShard,
                 this->selectForNewWork(*Document, *View, Key));
}

const members::HashedMember *
BalancerRouter::selectForNewWork(const targets::Targets &Document,
                                 const members::ServiceView &View,
                                 const base::FlowKey &Key) {
  std::shared_ptr<const MemberNames> Skipped = this->unresponsive();
  auto InService = [&](const members::Member &Member) {
    return Document.isInService(Member.DataCentre);
  };
  auto Responds = [&](const members::Member &Member) {
    return !Skipped->contains(Member.Name) && InService(Member);
  };
  // Fast path: the first-ranked member is nearly always usable.
  const members::HashedMember *First = firstRanked(View.Placement, Key);
  if (First != nullptr && Responds(First->Value)) {
    return First;
  }
  First = firstRankedIf(View.Placement, Key, Responds);
  if (First == nullptr) {
    First = firstRankedIf(View.Placement, Key, InService);
  }
  // If no member accepts new work, a draining agent can still refuse it: only
  // agents may report to a caller that its work was not run.
  if (First == nullptr) {
    First = firstRankedIf(View.Lookup, Key, InService);
  }
  return First;
}

void BalancerRouter::onHolderHint(base::TimePoint Now,
                                  const wire::HolderHint &Hint) {
  if (!Hint.Holder.empty()) {
    this->Cache.put(Now, Hint.Key, Hint.Holder);
  }
}

void BalancerRouter::setUnresponsive(const base::MemberName &Name,
                                     bool IsUnresponsive) {
  std::lock_guard Lock(this->Mutex);
  auto Next = std::make_shared<MemberNames>(*this->Unresponsive);
  if (IsUnresponsive) {
    Next->insert(Name);
  } else {
    Next->erase(Name);
  }
  this->Unresponsive = std::move(Next);
}

std::shared_ptr<const BalancerRouter::MemberNames>
BalancerRouter::unresponsive() const {
  std::lock_guard Lock(this->Mutex);
  return this->Unresponsive;
}

size_t BalancerRouter::cachedFlows() const { return this->Cache.size(); }

} // namespace bilberry::routing
