#include "bilberry/settings/ini_document.h"
#include "bilberry/targets/target_document.h"

#include <filesystem>
#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

namespace bilberry::targets {
namespace {

const std::string ServiceText = "[service s]\n"
                                "slots = 4\n"
                                "connections = 100\n"
                                "cold-slots = 1\n"
                                "cold-connections = 10\n"
                                "completions-per-slot = 10\n"
                                "latency-bound = 250ms\n";

TEST(TargetDocument, ReadsEveryKey) {
  base::Findings Problems;
  Targets Value =
      parseTargets(ServiceText + "[class a]\nservice = s\nkind = stream\n"
                                 "longest-flow = 10h\n"
                                 "[class b]\nservice = s\nkind = request\n"
                                 "idempotent = yes\ndeadline = 5s\n"
                                 "[class c]\nservice = s\nkind = upload\n"
                                 "longest-flow = 30min\n"
                                 "[data-centre in]\nin-service = yes\n"
                                 "[data-centre out]\nin-service = no\n",
                   "f", Problems);
  EXPECT_EQ(Problems.text(), "");
  const UpstreamCapacity &Capacity = Value.Services[base::ServiceName("s")];
  EXPECT_EQ(Capacity.Slots, 4u);
  EXPECT_EQ(Capacity.Connections, 100u);
  EXPECT_EQ(Capacity.ColdSlots, 1u);
  EXPECT_EQ(Capacity.ColdConnections, 10u);
  EXPECT_EQ(Capacity.CompletionsPerSlot, 10u);
  EXPECT_EQ(Capacity.LatencyBound, std::chrono::milliseconds(250));
  const WorkClass *Stream = Value.findClass(base::ClassName("a"));
  ASSERT_TRUE(Stream);
  EXPECT_EQ(Stream->Kind, WorkKind::Stream);
  EXPECT_EQ(Stream->Service.text(), "s");
  EXPECT_EQ(Stream->MaxFlowDuration, std::chrono::hours(10));
  const WorkClass *Request = Value.findClass(base::ClassName("b"));
  ASSERT_TRUE(Request);
  EXPECT_EQ(Request->Kind, WorkKind::Request);
  EXPECT_TRUE(Request->Idempotent);
  EXPECT_EQ(Request->Deadline, std::chrono::seconds(5));
  EXPECT_EQ(Value.findClass(base::ClassName("c"))->Kind, WorkKind::Upload);
  EXPECT_EQ(Value.outOfService(), std::set{base::DataCentreName("out")});
}

TEST(TargetDocument, ReportsEveryFindingWithItsPlace) {
  struct Case {
    std::string Text;
    std::string ExpectedProblems;
  };
  const Case Cases[] = {
      {"", "f: there is no [service NAME]\n"},
      {ServiceText + "[zone a]\n[class]\n[data-centre A]\nin-service = maybe\n",
       "f:8: [zone a] unknown section; known are [service NAME], [class NAME] "
       "and [data-centre NAME]\n"
       "f:9: [class] '' is no name; a name has 1 to 63 of a-z, 0-9, '.' and "
       "'-'\n"
       "f:9: [class] service: is missing\n"
       "f:9: [class] kind: is missing\n"
       "f:10: [data-centre A] 'A' is no name; a name has 1 to 63 of a-z, 0-9, "
       "'.' and '-'\n"
       "f:11: [data-centre A] in-service: 'maybe' is neither yes nor no\n"},
      {"[service s]\nslots = 4\nconnections = 9\ncold-slots = 5\n"
       "cold-connections = 10\ncompletions-per-slot = 0\nweight = 3\n",
       "f:6: [service s] completions-per-slot: 0 is not between 1 and 100000\n"
       "f:1: [service s] latency-bound: is missing\n"
       "f:4: [service s] cold-slots: 5 is above slots = 4\n"
       "f:5: [service s] cold-connections: 10 is above connections = 9\n"
       "f:7: [service s] weight: unknown key\n"},
      {ServiceText +
           "[class a]\nservice = t\nkind = request\nlongest-flow = 1h\n"
           "[class b]\nservice = s\nkind = stream\nidempotent = no\n"
           "deadline = 1s\n[class c]\nservice = s\nkind = x\n"
           "deadline = 1s\n[class d]\nservice = s\nkind = request\n"
           "idempotent = no\ndeadline = 2h\n",
       "f:8: [class a] deadline: is missing\n"
       "f:8: [class a] idempotent: is missing\n"
       "f:11: [class a] longest-flow: applies to streams and uploads; a "
       "request has a deadline\n"
       "f:12: [class b] longest-flow: is missing\n"
       "f:16: [class b] deadline: applies to requests; a flow has a "
       "longest-flow\n"
       "f:15: [class b] idempotent: applies to requests\n"
       "f:19: [class c] kind: 'x' is not stream, upload or request\n"
       "f:25: [class d] deadline: 2h is not between 1ms and 1h\n"
       "f:9: [class a] service: there is no [service t]\n"},
      {ServiceText + "; caf\xe9\n; caf\xc3\xa9\n",
       "f:8: the line is not UTF-8\n"},
      {std::string(600 << 10, ';'),
       "f: the document has 614400 bytes; the limit is 524288\n"},
  };
  for (const Case &Item : Cases) {
    base::Findings Problems;
    parseTargets(Item.Text, "f", Problems);
    EXPECT_EQ(Problems.text(), Item.ExpectedProblems);
  }
}

TEST(TargetDocument, SetsOneDataCentreAndKeepsOtherText) {
  struct Case {
    std::string Before;
    std::string After;
  };
  const Case Cases[] = {
      {"; c\n[data-centre b]\nin-service = yes\n[data-centre a]\n; d\n"
       "in-service   =yes ; why\n",
       "; c\n[data-centre b]\nin-service = yes\n[data-centre a]\n; d\n"
       "in-service   =no ; why\n"},
      {"[data-centre a]\r\nin-service: yes\r\n[x]",
       "[data-centre a]\r\nin-service: no\r\n[x]"},
      {"[data-centre a]\n[x]\n", "[data-centre a]\nin-service = no\n[x]\n"},
      {"[data-centre a]\r\n", "[data-centre a]\r\nin-service = no\r\n"},
      {"[data-centre a]\nin-service = ; c\n",
       "[data-centre a]\nin-service =no ; c\n"},
      {"[x]", "[x]\n\n[data-centre a]\nin-service = no\n"},
      {"", "\n[data-centre a]\nin-service = no\n"},
  };
  base::DataCentreName Name("a");
  for (const Case &Item : Cases) {
    EXPECT_EQ(withDataCentreState(Item.Before, Name, false), Item.After);
  }
}

std::vector<std::string> sampleDocuments() {
  auto Root = std::filesystem::path(__FILE__).parent_path() / "../..";
  std::vector<std::string> Texts;
  for (const char *Name : {"thibodeaux", "serumpun"}) {
    auto Path = Root / "examples" / (std::string(Name) + ".targets.ini");
    auto Text = settings::readTextFile(Path.string());
    if (Text) {
      Texts.push_back(Text.value());
    }
  }
  return Texts;
}

TEST(TargetDocument, SamplesAreValidAndDataCentreChangesAreReversible) {
  std::vector<std::string> Samples = sampleDocuments();
  ASSERT_EQ(Samples.size(), 2u);
  for (const std::string &Text : Samples) {
    base::Findings Problems;
    Targets Value = parseTargets(Text, "f", Problems);
    EXPECT_EQ(Problems.text(), "");
    for (const auto &[Name, InService] : Value.DataCentres) {
      std::string Out = withDataCentreState(Text, Name, false);
      EXPECT_EQ(parseTargets(Out, "f", Problems).outOfService(),
                std::set{Name});
      EXPECT_EQ(Problems.text(), "");
      EXPECT_EQ(withDataCentreState(Out, Name, true), Text);
    }
  }
}

// Randomly edits the sample documents. Parsing and setting a data centre must
// return for any bytes, and the parser must read what was set.
TEST(TargetDocument, RandomlyEditedDocumentsDoNotCrash) {
  constexpr int Rounds = 5000;
  std::mt19937_64 Random(20240117);
  std::vector<std::string> Samples = sampleDocuments();
  ASSERT_EQ(Samples.size(), 2u);
  int ValidDocuments = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::string Text = Samples[Random() % Samples.size()];
    for (uint64_t Count = 1 + Random() % 4; Count > 0; --Count) {
      size_t At = Random() % Text.size();
      switch (Random() % 4) {
      case 0:
        Text[At] = static_cast<char>(Random());
        break;
      case 1:
        Text.erase(At, Random() % 40);
        break;
      case 2:
        Text.insert(At, Text.substr(Random() % Text.size(), Random() % 300));
        break;
      default:
        Text.insert(At, 1, "[]=:;#\n\r\t "[Random() % 10]);
      }
      Text += ';'; // Never empty.
    }
    base::Findings Problems;
    Targets Value = parseTargets(Text, "f", Problems);
    std::string Changed =
        withDataCentreState(Text, base::DataCentreName("mobile"), false);
    if (Problems.empty()) {
      ++ValidDocuments;
      Targets After = parseTargets(Changed, "f", Problems);
      EXPECT_EQ(Problems.text(), "") << Changed;
      EXPECT_FALSE(After.isInService(base::DataCentreName("mobile")));
      EXPECT_EQ(After.Classes.size(), Value.Classes.size());
    }
  }
  EXPECT_GT(ValidDocuments, Rounds / 100);
  EXPECT_LT(ValidDocuments, Rounds / 2);
}

} // namespace
} // namespace bilberry::targets
