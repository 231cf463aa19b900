#include "bilberry/routing/flow_text.h"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <utility>

namespace bilberry::routing {

std::string flowText(const base::FlowKey &Key) {
  std::array<char, 33> Digits;
  std::snprintf(Digits.data(), Digits.size(), "%016" PRIx64 "%016" PRIx64,
                Key.High, Key.Low);
  return Digits.data();
}

void logDecision(board::AgentActions &Out, board::DecisionKind Kind,
                 const base::FlowKey &Key, const base::MemberName &To,
                 std::string Reason) {
  Out.emplace_back(
      board::LogDecision{Kind, flowText(Key), To, std::move(Reason)});
}

} // namespace bilberry::routing
