#include "bilberry/routing/balancer_router.h"

#include "bilberry/requests/shard_record.h"
#include "bilberry/routing/rendezvous.h"

#include <functional>
#include <gtest/gtest.h>

namespace bilberry::routing {
namespace {

constexpr base::TimePoint Start{std::chrono::hours(24)};
constexpr base::Address Caller{0x7F000001, 4000};
const base::ServiceName Rounds("rounds");
const base::ServiceName Photos("photos");
const base::ClassName WateringRound("watering-round");
const base::ClassName CheckOff("check-off");
const base::ClassName SoilPhoto("soil-photo");

targets::Targets document(base::Revision Revision, bool MobileInService) {
  targets::Targets Document;
  Document.Revision = Revision;
  Document.Classes[WateringRound] = {
      WateringRound, Rounds, targets::WorkKind::Stream, false, {}, {}};
  Document.Classes[CheckOff] = {CheckOff, Rounds, targets::WorkKind::Request,
                                false,    {},     {}};
  Document.Classes[SoilPhoto] = {SoilPhoto, Photos, targets::WorkKind::Upload,
                                 false,     {},     {}};
  Document.DataCentres[base::DataCentreName("mobile")] = MobileInService;
  return Document;
}

constexpr uint64_t Flows = 200;

// A router with four agents of the service "rounds".
struct RouterFixture {
  RouterFixture() {
    this->Targets.advance(document(1, true), "");
    for (uint16_t Index = 0; Index < 4; ++Index) {
      this->putAgent(Index, members::MemberState::InService);
    }
  }

  static base::MemberName nameOf(uint16_t Index) {
    return base::MemberName("agent-" + std::to_string(Index));
  }

  // Agents with an odd index are in the data centre "mobile".
  void putAgent(uint16_t Index, members::MemberState State) {
    members::Member Agent;
    Agent.Name = nameOf(Index);
    Agent.Run = 1;
    Agent.State = State;
    Agent.DataCentre =
        base::DataCentreName(Index % 2 == 1 ? "mobile" : "jackson");
    Agent.Service = Rounds;
    Agent.Data = {0x7F000001, static_cast<uint16_t>(5000 + Index)};
    this->Members.put(Start, Agent);
  }

  Route routeFlow(uint64_t Connection, uint8_t Flags,
                  const base::ClassName &Class = WateringRound) {
    wire::FlowPacket Packet{Class, Connection, Flags, 0, "x"};
    return this->Router.route(Start, Rounds, Caller, Packet);
  }

  base::MemberName firstOfPlacement(const base::FlowKey &Key) {
    return firstRanked(this->Members.view(Rounds)->Placement, Key)->Value.Name;
  }
  base::MemberName firstOfLookup(const base::FlowKey &Key) {
    return firstRanked(this->Members.view(Rounds)->Lookup, Key)->Value.Name;
  }
  static base::FlowKey keyOf(uint64_t Connection) {
    return flowKey(Rounds, Caller, Connection);
  }

  targets::TargetTable Targets;
  members::MemberTable Members;
  BalancerRouter Router{this->Targets, this->Members, 1000};
};

TEST(BalancerRouter, NewFlowsUsePlacementAndExistingFlowsUseLookup) {
  RouterFixture Setup;
  Setup.putAgent(1, members::MemberState::Draining);
  int DrainingIsFirst = 0;
  for (uint64_t Connection = 0; Connection < Flows; ++Connection) {
    base::FlowKey Key = RouterFixture::keyOf(Connection);
    Route New = Setup.routeFlow(Connection, wire::FlowOpenFlag);
    EXPECT_EQ(New.Reason, RouteReason::NewFlow);
    EXPECT_EQ(New.Receiver, Setup.firstOfPlacement(Key));
    EXPECT_NE(New.Receiver, RouterFixture::nameOf(1));
    EXPECT_EQ(New.To, Setup.Members.find(New.Receiver)->Data);

    Route Old = Setup.routeFlow(Connection, 0);
    EXPECT_EQ(Old.Reason, RouteReason::LookupFirst);
    EXPECT_EQ(Old.Receiver, Setup.firstOfLookup(Key));
    DrainingIsFirst += Old.Receiver == RouterFixture::nameOf(1) ? 1 : 0;
  }
  EXPECT_GT(DrainingIsFirst, 0);
}

TEST(BalancerRouter, CachePrecedesLookup) {
  struct Case {
    const char *What;
    std::function<void(RouterFixture &)> Change;
    RouteReason Expected;
  };
  const Case Cases[] = {
      {"nothing changed", [](auto &) {}, RouteReason::Cached},
      {"holder drains",
       [](RouterFixture &Fixture) {
         Fixture.putAgent(1, members::MemberState::Draining);
       },
       RouteReason::Cached},
      {"holder is unresponsive",
       [](RouterFixture &Fixture) {
         Fixture.Router.setUnresponsive(RouterFixture::nameOf(1), true);
       },
       RouteReason::Cached},
      {"holder has been removed",
       [](RouterFixture &Fixture) {
         Fixture.Members.remove(RouterFixture::nameOf(1));
       },
       RouteReason::LookupFirst},
      {"holder's data centre is out, by the members",
       [](RouterFixture &Fixture) {
         Fixture.Members.setOutOfService({base::DataCentreName("mobile")});
       },
       RouteReason::LookupFirst},
      {"holder's data centre is out, by the targets alone",
       [](RouterFixture &Fixture) {
         Fixture.Targets.advance(document(2, false), "");
       },
       RouteReason::LookupFirst},
  };
  for (const Case &Current : Cases) {
    SCOPED_TRACE(Current.What);
    RouterFixture Fresh;
    for (uint64_t Connection = 0; Connection < Flows; ++Connection) {
      Fresh.Router.onHolderHint(
          Start, {RouterFixture::keyOf(Connection), RouterFixture::nameOf(1)});
    }
    Current.Change(Fresh);
    for (uint64_t Connection = 0; Connection < Flows; ++Connection) {
      Route Chosen = Fresh.routeFlow(Connection, 0);
      ASSERT_EQ(Chosen.Reason, Current.Expected);
      ASSERT_EQ(Chosen.Receiver == RouterFixture::nameOf(1),
                Current.Expected == RouteReason::Cached);
    }
  }
}

TEST(BalancerRouter, UnresponsiveMembersReceiveOnlyExistingFlows) {
  RouterFixture Setup;
  Setup.Router.setUnresponsive(RouterFixture::nameOf(2), true);
  for (uint64_t Connection = 0; Connection < Flows; ++Connection) {
    EXPECT_NE(Setup.routeFlow(Connection, wire::FlowOpenFlag).Receiver,
              RouterFixture::nameOf(2));
    EXPECT_EQ(Setup.routeFlow(Connection, 0).Receiver,
              Setup.firstOfLookup(RouterFixture::keyOf(Connection)));
    wire::CancelPacket Cancel{{Connection, 1}, 0};
    EXPECT_NE(Setup.Router.route(Start, Rounds, Caller, Cancel).Receiver,
              RouterFixture::nameOf(2));
  }
  Setup.Router.setUnresponsive(RouterFixture::nameOf(2), false);
  for (uint64_t Connection = 0; Connection < Flows; ++Connection) {
    EXPECT_EQ(Setup.routeFlow(Connection, wire::FlowOpenFlag).Receiver,
              Setup.firstOfPlacement(RouterFixture::keyOf(Connection)));
  }
}

TEST(BalancerRouter, RoutesWhenNoMemberResponds) {
  RouterFixture Setup;
  for (uint16_t Index = 0; Index < 4; ++Index) {
    Setup.Router.setUnresponsive(RouterFixture::nameOf(Index), true);
  }
  EXPECT_EQ(Setup.routeFlow(1, wire::FlowOpenFlag).Receiver,
            Setup.firstOfPlacement(RouterFixture::keyOf(1)));
}

TEST(BalancerRouter, RequestsAndCancelsAreRoutedByShard) {
  RouterFixture Setup;
  Setup.putAgent(0, members::MemberState::Draining);
  for (uint64_t Index = 0; Index < Flows; ++Index) {
    base::RequestId Id{Index, Index * 7};
    base::FlowKey Key = shardKey(Rounds, requests::shardOf(Id));
    wire::RequestPacket Request{CheckOff, 1, Id, 0, Start, "x"};
    wire::CancelPacket Cancel{Id, 0};
    for (const wire::CallerPacket &Packet :
         {wire::CallerPacket(Request), wire::CallerPacket(Cancel)}) {
      Route Chosen = Setup.Router.route(Start, Rounds, Caller, Packet);
      EXPECT_EQ(Chosen.Reason, RouteReason::RequestShard);
      EXPECT_EQ(Chosen.Receiver, Setup.firstOfPlacement(Key));
    }
  }
}

TEST(BalancerRouter, DropsPacketsOfOtherServices) {
  RouterFixture Setup;
  wire::RequestPacket StreamAsRequest{WateringRound, 1, {1, 2}, 0, Start, ""};
  wire::FlowPacket OtherService{SoilPhoto, 1, wire::FlowOpenFlag, 0, ""};
  wire::FlowPacket Unknown{base::ClassName("none"), 1, wire::FlowOpenFlag, 0,
                           ""};
  wire::FlowPacket RequestAsFlow{CheckOff, 1, wire::FlowOpenFlag, 0, ""};
  wire::FlowPacket NoMembers{SoilPhoto, 1, wire::FlowOpenFlag, 0, ""};
  struct Case {
    wire::CallerPacket Packet;
    base::ServiceName Service;
    RouteReason Expected;
  };
  const Case Cases[] = {
      {StreamAsRequest, Rounds, RouteReason::WrongService},
      {OtherService, Rounds, RouteReason::WrongService},
      {Unknown, Rounds, RouteReason::WrongService},
      {RequestAsFlow, Rounds, RouteReason::WrongService},
      {NoMembers, Photos, RouteReason::NoMember},
  };
  for (const Case &Current : Cases) {
    // Must hold even if the cache contains a holder.
    Setup.Router.onHolderHint(
        Start, {RouterFixture::keyOf(1), RouterFixture::nameOf(0)});
    Route Chosen =
        Setup.Router.route(Start, Current.Service, Caller, Current.Packet);
    EXPECT_EQ(Chosen.Reason, Current.Expected);
    EXPECT_TRUE(Chosen.Receiver.empty());
    EXPECT_EQ(Chosen.To, base::Address());
  }
}

} // namespace
} // namespace bilberry::routing
