#include "bilberry/routing/upstream_health.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace bilberry::routing {

using members::AgentIndex;
using members::AgentView;

static std::string factorText(double Factor) {
  std::array<char, 32> Text{};
  auto [End, Fault] = std::to_chars(Text.data(), Text.data() + Text.size(),
                                    Factor, std::chars_format::fixed, 1);
  return Fault == std::errc() ? std::string(Text.data(), End) : "?";
}

static bool isMeasured(base::TimePoint Now, const AgentView &View) {
  return !View.IsGone && View.hasRecentStatus(Now) &&
         View.Status.Condition == wire::AgentCondition::InService &&
         View.Status.ServiceTimeUs > 0;
}

// Precondition: Times isn't empty. Reorders Times.
static double median(std::vector<uint32_t> &Times) {
  auto Middle = Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::nth_element(Times.begin(), Middle, Times.end());
  return *Middle;
}

std::vector<std::string> UpstreamHealth::update(base::TimePoint Now,
                                                members::AgentViews &Agents) {
  std::vector<std::string> LogLines;
  if (Now < this->NextUpdate) {
    return LogLines;
  }
  this->NextUpdate = Now + HealthInterval;
  std::map<base::ServiceName, std::vector<uint32_t>> Times;
  for (size_t I = 0; I < Agents.size(); ++I) {
    const AgentView &View = Agents.at(static_cast<AgentIndex>(I));
    if (isMeasured(Now, View)) {
      Times[View.Status.Service].push_back(View.Status.ServiceTimeUs);
    }
  }
  std::map<base::ServiceName, double> Medians;
  for (auto &[Service, Values] : Times) {
    if (Values.size() >= MinComparedUpstreams) {
      Medians[Service] = median(Values);
    }
  }
  this->SlowCount = 0;
  for (size_t I = 0; I < Agents.size(); ++I) {
    auto Index = static_cast<AgentIndex>(I);
    AgentView &View = Agents.at(Index);
    auto Median = Medians.find(View.Status.Service);
    double Factor = isMeasured(Now, View) && Median != Medians.end()
                        ? View.Status.ServiceTimeUs / Median->second
                        : 1;
    View.SlotShare =
        Factor > SlowFactor ? std::max(MinSlotShare, 1 / Factor) : 1;
    this->SlowCount += View.SlotShare < 1 ? 1 : 0;
    auto Logged = this->LoggedShares.find(Index);
    double Before = Logged == this->LoggedShares.end() ? 1 : Logged->second;
    bool HasChanged =
        View.SlotShare < Before / 2 || View.SlotShare > Before * 2;
    if (HasChanged) {
      this->LoggedShares[Index] = View.SlotShare;
      LogLines.push_back("event=upstream-slow agent=" + View.Name.text() +
                         " factor=" + factorText(Factor));
    }
  }
  return LogLines;
}

} // namespace bilberry::routing
