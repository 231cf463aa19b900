// Tests of the inference that an upstream has been restarted.

#include "bilberry/admission/restart_detector.h"

#include <gtest/gtest.h>
#include <map>
#include <vector>

namespace bilberry::admission {
namespace {

using std::chrono::milliseconds;

enum class Step : uint8_t {
  /// The first copy of an opening packet is sent, or it is answered.
  Send,
  Answer,
  /// The upstream sends data on a flow, or returns a packet of one that it
  /// held.
  Data,
  Lose,
  Heartbeat,
};

struct Event {
  int At;
  Step What;
  uint16_t Flow = 0;
};

struct DetectorCase {
  const char *Name;
  std::vector<Event> Events;
  bool IsSuspected;
};

class RestartDetectorTest : public ::testing::TestWithParam<DetectorCase> {};

// Guards against a cold upstream that is taken for the warm run before, and
// against a warm one that is limited although it was not restarted.
TEST_P(RestartDetectorTest, WeighsWhatTheUpstreamSends) {
  RestartDetector Detector;
  std::map<uint16_t, base::TimePoint> HeldSince;
  for (const Event &Item : GetParam().Events) {
    base::TimePoint Now = base::TimePoint() + milliseconds(Item.At);
    packet::FlowId Flow{{1, Item.Flow}, {2, 443}};
    switch (Item.What) {
    case Step::Send:
      Detector.recordOpening(Now, Flow);
      break;
    case Step::Answer:
      Detector.recordPacket(Detector.recordOpeningAnswer(Now, Flow), false, {});
      HeldSince.emplace(Item.Flow, Now);
      break;
    case Step::Data:
      Detector.recordPacket(UpstreamEvidence::HoldsFlow, false,
                            HeldSince.at(Item.Flow));
      break;
    case Step::Lose:
      Detector.recordPacket(UpstreamEvidence::LostFlow, false, {});
      break;
    case Step::Heartbeat:
      Detector.recordHeartbeat();
      break;
    }
  }
  EXPECT_EQ(Detector.isRestartSuspected(), GetParam().IsSuspected);
}

const Event Opens1[] = {{0, Step::Send, 1}, {0, Step::Answer, 1}};

std::vector<Event> afterOpening1(std::vector<Event> Events) {
  Events.insert(Events.begin(), std::begin(Opens1), std::end(Opens1));
  return Events;
}

INSTANTIATE_TEST_SUITE_P(
    RestartDetector, RestartDetectorTest,
    ::testing::Values(
        DetectorCase{
            "Calm", afterOpening1({{50, Step::Send, 2}, {51, Step::Answer, 2}}),
            false},
        DetectorCase{
            "SkipsAnOpening",
            {{50, Step::Send, 2}, {90, Step::Send, 3}, {91, Step::Answer, 3}},
            true},
        DetectorCase{"ResumesAfterAPause",
                     {{50, Step::Send, 2},
                      {90, Step::Send, 3},
                      {300, Step::Answer, 2},
                      {300, Step::Answer, 3}},
                     false},
        DetectorCase{"AnswersCopiesInOrder",
                     {{50, Step::Send, 2},
                      {90, Step::Send, 3},
                      {250, Step::Answer, 2},
                      {290, Step::Answer, 3}},
                     false},
        DetectorCase{"AnswersACopyAndSkipsAnOpening",
                     {{50, Step::Send, 2},
                      {90, Step::Send, 3},
                      {250, Step::Answer, 2},
                      {260, Step::Send, 4},
                      {261, Step::Answer, 4}},
                     true},
        DetectorCase{
            "ThreadsAnswerInAnotherOrder",
            {{50, Step::Send, 2}, {58, Step::Send, 3}, {59, Step::Answer, 3}},
            false},
        DetectorCase{"DatagramIsLost",
                     afterOpening1({{50, Step::Send, 2},
                                    {90, Step::Send, 3},
                                    {91, Step::Answer, 3},
                                    {95, Step::Data, 1}}),
                     false},
        DetectorCase{"FlowOfTheNewRunProvesNothing",
                     {{50, Step::Send, 2},
                      {90, Step::Send, 3},
                      {250, Step::Answer, 2},
                      {260, Step::Send, 4},
                      {261, Step::Answer, 4},
                      {265, Step::Data, 2}},
                     true},
        DetectorCase{"LostFlowIsNotRefuted",
                     afterOpening1({{50, Step::Send, 2},
                                    {90, Step::Send, 3},
                                    {91, Step::Answer, 3},
                                    {92, Step::Lose},
                                    {95, Step::Data, 1}}),
                     true},
        DetectorCase{"LaterLossDoesNotMoveTheFirst",
                     {{50, Step::Send, 2},
                      {90, Step::Send, 3},
                      {91, Step::Answer, 3},
                      {120, Step::Send, 4},
                      {150, Step::Send, 5},
                      {151, Step::Answer, 5},
                      {155, Step::Data, 3}},
                     true},
        DetectorCase{"AbandonedOpeningIsForgotten",
                     {{50, Step::Send, 2},
                      {1600, Step::Send, 3},
                      {1601, Step::Answer, 3}},
                     false},
        DetectorCase{"OneLossCountsOnce",
                     {{50, Step::Send, 2},
                      {90, Step::Send, 3},
                      {91, Step::Answer, 3},
                      {100, Step::Heartbeat},
                      {130, Step::Send, 4},
                      {131, Step::Answer, 4}},
                     false}),
    [](const auto &Info) { return std::string(Info.param.Name); });

} // namespace
} // namespace bilberry::admission
