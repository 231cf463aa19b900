#include "bilberry/routing/load_forecast.h"

#include <algorithm>
#include <limits>

namespace bilberry::routing {

using members::AgentIndex;

// Fewer arrivals are treated as this many, so that the candidates with the
// lowest load keep a positive weight.
static constexpr double MinArrivals = 1e-6;

double levelAfter(std::span<const Candidate> Candidates, double Arrivals) {
  // Begins with a level that includes all candidates, and leaves out those that
  // are above it until none is. Each pass lowers the level.
  double Level = std::numeric_limits<double>::max();
  while (true) {
    double Slots = 0;
    double Filled = std::max(Arrivals, MinArrivals);
    for (const Candidate &Item : Candidates) {
      if (Item.Load < Level) {
        Slots += Item.Slots;
        Filled += Item.Load * Item.Slots;
      }
    }
    double Next = Filled / Slots;
    if (Next >= Level) {
      return Level;
    }
    Level = Next;
  }
}

// A number from 0 to 1 that is uniformly distributed over flows, and
// independent of other uses of the hash.
static double unitInterval(uint64_t FlowHash) {
  constexpr uint64_t GoldenRatio = 0x9E3779B97F4A7C15ULL;
  constexpr unsigned UnusedBits = 11;
  constexpr double Scale = 0x1p-53;
  uint64_t Mixed = (FlowHash ^ (FlowHash >> 29U)) * GoldenRatio;
  return static_cast<double>(Mixed >> UnusedBits) * Scale;
}

AgentIndex drawCandidate(std::span<const Candidate> Candidates, double Arrivals,
                         uint64_t FlowHash) {
  if (Candidates.empty()) {
    return members::NoAgent;
  }
  double Level = levelAfter(Candidates, Arrivals);
  auto RoomOf = [Level](const Candidate &Item) {
    return std::max(0.0, Level - Item.Load) * Item.Slots;
  };
  double Total = 0;
  for (const Candidate &Item : Candidates) {
    Total += RoomOf(Item);
  }
  double Remaining = unitInterval(FlowHash) * Total;
  AgentIndex Drawn = members::NoAgent;
  for (const Candidate &Item : Candidates) {
    double Room = RoomOf(Item);
    // The last candidate with room is kept in case of rounding errors.
    if (Room > 0) {
      Drawn = Item.Index;
      Remaining -= Room;
      if (Remaining < 0) {
        break;
      }
    }
  }
  return Drawn;
}

} // namespace bilberry::routing
