#include "bilberry/settings/daemon_options.h"
#include "bilberry/settings/process_settings.h"

#include <gtest/gtest.h>
#include <sstream>
#include <string>
#include <vector>

namespace bilberry::settings {
namespace {

using members::MemberRole;

const std::string ProcessSectionText =
    "[process]\nname = p1\ndata-centre = mobile\n"
    "data = 127.0.0.1:1\ncontrol = 127.0.0.1:2\n";
const std::string StoreSectionText = "[store]\naddress = 127.0.0.1:3\n";

TEST(ProcessSettings, ReadsEveryKey) {
  base::Findings Problems;
  ProcessSettings Agent = parseProcessSettings(
      ProcessSectionText +
          "service = rounds\nmetrics = 127.0.0.1:4\nworkers = 16\n" +
          StoreSectionText +
          "timeout = 250ms\n[upstream]\naddress = 127.0.0.1:5\n"
          "[peers]\nseeds = 127.0.0.1:6, 127.0.0.1:7\n"
          "[log]\nlevel = warn\nlayout = json\n",
      "f", MemberRole::Agent, Problems);
  EXPECT_EQ(Problems.text(), "");
  EXPECT_EQ(Agent.Name.text(), "p1");
  EXPECT_EQ(Agent.DataCentre.text(), "mobile");
  EXPECT_EQ(Agent.Service.text(), "rounds");
  EXPECT_EQ(Agent.Data.Port, 1);
  EXPECT_EQ(Agent.Control.Port, 2);
  EXPECT_EQ(Agent.Store.Port, 3);
  EXPECT_EQ(Agent.Metrics->Port, 4);
  EXPECT_EQ(Agent.Upstream.Port, 5);
  ASSERT_EQ(Agent.Seeds.size(), 2u);
  EXPECT_EQ(Agent.Seeds[1].Port, 7);
  EXPECT_EQ(Agent.Workers, 16u);
  EXPECT_EQ(Agent.StoreTimeout, std::chrono::milliseconds(250));
  EXPECT_EQ(Agent.LogLevel, log::Level::Warn);
  EXPECT_EQ(Agent.LogLayout, log::Layout::Json);
}

TEST(ProcessSettings, UsesDefaultsForOptionalKeys) {
  base::Findings Problems;
  ProcessSettings Balancer =
      parseProcessSettings(ProcessSectionText + StoreSectionText, "f",
                           MemberRole::Balancer, Problems);
  EXPECT_EQ(Problems.text(), "");
  EXPECT_EQ(Balancer.Workers, 2u);
  EXPECT_EQ(Balancer.CacheFlows, 300000u);
  EXPECT_EQ(Balancer.StoreTimeout, std::chrono::seconds(1));
  EXPECT_EQ(Balancer.LogLevel, log::Level::Info);
  EXPECT_FALSE(Balancer.Metrics);
  EXPECT_TRUE(Balancer.Seeds.empty());
}

TEST(ProcessSettings, ReportsErrorsWithLineAndKey) {
  struct Case {
    MemberRole Role;
    std::string Text;
    std::string Problems;
  };
  const Case Cases[] = {
      {MemberRole::Agent, ProcessSectionText,
       "f:1: [process] service: is missing\n"
       "f: [store] address: is missing\n"
       "f: [upstream] address: is missing\n"},
      {MemberRole::Balancer,
       ProcessSectionText + "service = s\nworkers = 17\n" + StoreSectionText +
           "[upstream]\naddress = 127.0.0.1:1\n[log]\nlevel = loud\n"
           "layout = text\ncolour = red\n[cluster]\n",
       "f:7: [process] workers: 17 is not between 1 and 16\n"
       "f:6: [process] service: is for agents; a balancer serves all "
       "services\n"
       "f:10: [upstream] is for agents; a balancer has no upstream\n"
       "f:13: [log] level: 'loud' is not one of debug info warn error\n"
       "f:15: [log] colour: unknown key\n"
       "f:16: [cluster] unknown section\n"},
      {MemberRole::Balancer,
       "[process]\nname = P\ndata = 127.0.0.1:0\ncontrol = x\n" +
           StoreSectionText + "timeout = 1ms\n[peers]\nseeds = 127.0.0.1:1,\n",
       "f:2: [process] name: 'P' is no name; a name has 1 to 63 of a-z, 0-9, "
       "'.' and '-'\n"
       "f:1: [process] data-centre: is missing\n"
       "f:3: [process] data: the port must not be 0\n"
       "f:4: [process] control: 'x' is not IP:PORT, such as 127.0.0.1:4000\n"
       "f:7: [store] timeout: 1ms is not between 10ms and 1min\n"
       "f:9: [peers] seeds: '' is not IP:PORT, such as 127.0.0.1:4000\n"},
  };
  for (const Case &Item : Cases) {
    base::Findings Problems;
    parseProcessSettings(Item.Text, "f", Item.Role, Problems);
    EXPECT_EQ(Problems.text(), Item.Problems);
  }
}

TEST(DaemonOptions, ReturnsExitCodeAndAllFindings) {
  struct Case {
    std::vector<std::string> Arguments;
    int Code;
    std::string Out;
    std::string Err;
  };
  const Case Cases[] = {
      {{"--version"}, 0, "bilberry-agent 0.1.0\n", ""},
      {{}, 2, "", "command line: --settings: is missing\n"},
      {{"--settings"},
       2,
       "",
       "command line: --settings: needs a value\n"
       "command line: --settings: is missing\n"},
      {{"--loud", "--settings", "/no/such", "--check", "more"},
       2,
       "",
       "command line: --loud: unknown option\n"
       "command line: more: unexpected argument\n"
       "/no/such: can't open /no/such: No such file or directory\n"},
  };
  for (const Case &Item : Cases) {
    std::vector<std::string> Arguments = Item.Arguments;
    Arguments.insert(Arguments.begin(), "bilberry-agent");
    std::vector<char *> Argv;
    Argv.reserve(Arguments.size() + 1);
    for (std::string &Argument : Arguments) {
      Argv.push_back(Argument.data());
    }
    Argv.push_back(nullptr);
    std::ostringstream Out;
    std::ostringstream Err;
    DaemonOptionsResult Start =
        parseDaemonOptions(static_cast<int>(Arguments.size()), Argv.data(),
                           MemberRole::Agent, Out, Err);
    ASSERT_TRUE(std::holds_alternative<ExitNow>(Start));
    EXPECT_EQ(std::get<ExitNow>(Start).Code, Item.Code);
    EXPECT_EQ(Out.str(), Item.Out);
    EXPECT_EQ(Err.str(), Item.Err);
  }
}

} // namespace
} // namespace bilberry::settings
