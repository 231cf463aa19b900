#include "bilberry/board/agent_action.h"

namespace bilberry::board {

std::string_view decisionKindText(DecisionKind Kind) {
  switch (Kind) {
  case DecisionKind::FlowPlaced:
    return "flow-placed";
  case DecisionKind::FlowPassedOn:
    return "flow-passed-on";
  case DecisionKind::FlowRefused:
    return "flow-refused";
  case DecisionKind::FlowFound:
    return "flow-found";
  case DecisionKind::FlowReset:
    return "flow-reset";
  case DecisionKind::FlowClosed:
    return "flow-closed";
  case DecisionKind::PacketDropped:
    return "packet-dropped";
  case DecisionKind::RequestRun:
    return "request-run";
  case DecisionKind::RequestPassedOn:
    return "request-passed-on";
  case DecisionKind::RequestAnswered:
    return "request-answered";
  case DecisionKind::RequestRefused:
    return "request-refused";
  case DecisionKind::RequestUnknown:
    return "request-unknown";
  case DecisionKind::ShardTaken:
    return "shard-taken";
  case DecisionKind::ShardHandedOver:
    return "shard-handed-over";
  case DecisionKind::ShardLost:
    return "shard-lost";
  case DecisionKind::LimitChanged:
    return "limit-changed";
  }
  return "unknown";
}

} // namespace bilberry::board
