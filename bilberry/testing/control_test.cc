#include "bilberry/control/control_options.h"
#include "bilberry/control/document_file.h"
#include "bilberry/control/report.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace bilberry::control {
namespace {

members::Member makeMember(const std::string &Name, base::Revision Applied) {
  members::Member Value;
  Value.Name = base::MemberName(Name);
  Value.Applied = Applied;
  return Value;
}

targets::ChangeRecord makeChangeRecord(base::Revision Revision) {
  return {std::to_string(Revision), Revision, "me", "what",
          base::TimePoint(std::chrono::seconds(Revision))};
}

TEST(ForceStatus, ListsOutdatedProcessesAndSinceWhen) {
  targets::StoredTargets Current;
  Current.Revision = 5;
  Current.Changes = {makeChangeRecord(3), makeChangeRecord(4),
                     makeChangeRecord(5)};
  targets::RolloutTracker Tracker;
  targets::RolloutStatus Status = Tracker.evaluate(Current, {});
  EXPECT_FALSE(Status.isInForce());
  Status = Tracker.evaluate(
      Current,
      {{makeMember("a", 5), makeMember("b", 3), makeMember("c", 1)}, {}});
  EXPECT_FALSE(Status.isInForce());
  EXPECT_EQ(rolloutText(Status),
            "revision 5 is not in force yet; 3 live processes\n"
            "not acknowledged: b: has revision 3, outdated since "
            "1970-01-01T00:00:04Z\n"
            "not acknowledged: c: has revision 1, outdated since "
            "1970-01-01T00:00:03Z or earlier\n");
  members::Member Leaving = makeMember("b", 3);
  Leaving.State = members::MemberState::Leaving;
  Tracker.evaluate(Current,
                   {{makeMember("a", 5), Leaving, makeMember("c", 1)}, {}});
  Status = Tracker.evaluate(Current, {{makeMember("a", 5)}, {}});
  EXPECT_TRUE(Status.isInForce());
  ASSERT_EQ(Status.ExpiredProcesses.size(), 1u);
  EXPECT_EQ(Status.ExpiredProcesses[0].Member.Name.text(), "c");
  Status = Tracker.evaluate(Current, {{makeMember("a", 5)}, {"/x"}});
  EXPECT_FALSE(Status.isInForce());
}

TEST(DocumentFile, KeepsTheRevisionItIsBasedOn) {
  DocumentFile File = parseDocumentFile(documentFileText(7, "[a]\n"));
  EXPECT_EQ(File.Revision, 7u);
  EXPECT_EQ(File.Text, "[a]\n");
  for (const char *Text : {"", "; revision x\n[a]", "[a]\n; revision 7\n"}) {
    EXPECT_FALSE(parseDocumentFile(Text).Revision);
    EXPECT_EQ(parseDocumentFile(Text).Text, Text);
  }
}

TEST(ChangeReport, MapsEachResultToItsExitCodeAndText) {
  struct Case {
    targets::ChangeResult Result;
    ExitCode Code;
    std::string ExpectedPrefix;
  };
  const Case Cases[] = {
      {targets::Accepted{7, {}, false, {}}, ExitCode::Success,
       "accepted as revision 7\n"},
      {targets::NoChangeNeeded{7}, ExitCode::Success, "nothing to change"},
      {targets::RevisionConflict{1, 2, {makeChangeRecord(2)}, "+ x\n"},
       ExitCode::Refused,
       "not accepted: the change is based on revision 1, but revision 2 is "
       "in the store\nrevision 2 by me at 1970-01-01T00:00:02Z: what\n"},
      {targets::RefusedUnsafe{{{targets::UnsafeKind::LastDataCentre, "why"}}},
       ExitCode::Refused,
       "not accepted: unsafe\nwhy (override with --force-last-data-centre)\n"},
      {targets::BadInput{}, ExitCode::BadInput, "not accepted:\n"},
      {targets::OutcomeUnknown{7, "no answer"}, ExitCode::Unknown,
       "outcome unknown; the change may have been accepted: no answer\n"
       "to check the outcome: bilberryctl change id --revision 7\n"},
      {targets::StoreFailed{{base::ErrorCode::Unavailable, "down"}},
       ExitCode::StoreUnavailable, "not accepted: down\n"},
  };
  for (const Case &Item : Cases) {
    Report Value = changeReport(Item.Result, "id");
    EXPECT_EQ(Value.Code, Item.Code) << Item.ExpectedPrefix;
    EXPECT_TRUE(Value.Text.starts_with(Item.ExpectedPrefix)) << Value.Text;
  }
}

TEST(ControlOptions, ParsesCommandsAndReportsEveryFinding) {
  struct Case {
    std::vector<std::string> Arguments;
    std::string ExpectedProblems;
  };
  const Case Cases[] = {
      {{"data-centre", "out", "mobile", "--store", "127.0.0.1:1"}, ""},
      {{"check", "file"}, ""},
      {{}, "command line: no command; see --help\n"},
      {{"data-centre", "out"},
       "command line: data-centre out: NAME is missing\n"
       "command line: data-centre out: needs --store or --settings\n"},
      {{"--wait", "soon", "--loud", "status", "x", "--store", "127.0.0.1:1"},
       "command line: --wait: 'soon' is no duration such as 250ms, 5s, 30min "
       "or 10h\n"
       "command line: --loud: unknown option\n"
       "command line: x: unexpected argument\n"},
  };
  for (const Case &Item : Cases) {
    std::vector<std::string> Arguments = Item.Arguments;
    Arguments.insert(Arguments.begin(), "bilberryctl");
    std::vector<char *> Argv;
    Argv.reserve(Arguments.size() + 1);
    for (std::string &Argument : Arguments) {
      Argv.push_back(Argument.data());
    }
    Argv.push_back(nullptr);
    base::Findings Problems;
    parseControlOptions(static_cast<int>(Arguments.size()), Argv.data(), "me",
                        Problems);
    EXPECT_EQ(Problems.text(), Item.ExpectedProblems);
  }
}

} // namespace
} // namespace bilberry::control
