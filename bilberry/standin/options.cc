#include "bilberry/standin/options.h"

#include <atomic>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <getopt.h>
#include <utility>

namespace bilberry::standin {

// What getopt_long returns for the option at index 0; others follow.
static constexpr int FirstOptionCode = 1000;

static std::atomic<bool> StopRequested{false};

static bool readNumber(const std::string &Text, uint32_t &Target) {
  const char *End = Text.data() + Text.size();
  auto [Read, Failure] = std::from_chars(Text.data(), End, Target);
  return Failure == std::errc() && Read == End;
}

Option numberOption(std::string Name, std::string Help, uint32_t &Target) {
  return {
      std::move(Name), "N", std::move(Help),
      [&Target](const std::string &Text) { return readNumber(Text, Target); }};
}

template <typename Unit>
static Option durationOption(std::string Name, std::string Value,
                             std::string Help, base::Duration &Target) {
  return {std::move(Name), std::move(Value), std::move(Help),
          [&Target](const std::string &Text) {
            uint32_t Number = 0;
            bool IsRead = readNumber(Text, Number);
            Target = Unit(Number);
            return IsRead;
          }};
}

Option millisecondsOption(std::string Name, std::string Help,
                          base::Duration &Target) {
  return durationOption<std::chrono::milliseconds>(std::move(Name), "MS",
                                                   std::move(Help), Target);
}

Option secondsOption(std::string Name, std::string Help,
                     base::Duration &Target) {
  return durationOption<std::chrono::seconds>(std::move(Name), "S",
                                              std::move(Help), Target);
}

Option textOption(std::string Name, std::string Help, std::string &Target) {
  return {std::move(Name), "NAME", std::move(Help),
          [&Target](const std::string &Text) {
            Target = Text;
            return !Text.empty();
          }};
}

Option addressOption(std::string Name, std::string Help,
                     base::Address &Target) {
  return {std::move(Name), "IP:PORT", std::move(Help),
          [&Target](const std::string &Text) {
            base::Result<base::Address> Parsed = base::parseAddress(Text);
            if (Parsed) {
              Target = Parsed.value();
            }
            return static_cast<bool>(Parsed);
          }};
}

Option flagOption(std::string Name, std::string Help, bool &Target) {
  return {std::move(Name), "", std::move(Help), [&Target](const std::string &) {
            Target = true;
            return true;
          }};
}

Option
serviceOption(std::string Help,
              std::function<void(base::ServiceName, base::Address)> Add) {
  return {"service", "NAME=IP:PORT", std::move(Help),
          [Add = std::move(Add)](const std::string &Text) {
            size_t Split = Text.find('=');
            if (Split == std::string::npos || Split == 0) {
              return false;
            }
            auto Where = base::parseAddress(Text.substr(Split + 1));
            if (Where) {
              Add(base::ServiceName(Text.substr(0, Split)), Where.value());
            }
            return static_cast<bool>(Where);
          }};
}

static void printUsage(const char *Program,
                       const std::vector<Option> &Options) {
  std::fprintf(stderr, "usage: %s [OPTION]...\n", Program);
  for (const Option &Each : Options) {
    std::string Left = "--" + Each.Name + " " + Each.Value;
    std::fprintf(stderr, "  %-32s %s\n", Left.c_str(), Each.Help.c_str());
  }
}

bool readOptions(int Count, char **Arguments,
                 const std::vector<Option> &Options) {
  std::vector<option> Known;
  int Code = FirstOptionCode;
  for (const Option &Each : Options) {
    int HasValue = Each.Value.empty() ? no_argument : required_argument;
    Known.push_back({Each.Name.c_str(), HasValue, nullptr, Code++});
  }
  Known.push_back({nullptr, 0, nullptr, 0});
  int Found = 0;
  // NOLINTNEXTLINE(concurrency-mt-unsafe)
  while ((Found = getopt_long(Count, Arguments, "", Known.data(), nullptr)) !=
         -1) {
    if (Found < FirstOptionCode) {
      printUsage(Arguments[0], Options);
      return false;
    }
    const Option &Each = Options[static_cast<size_t>(Found - FirstOptionCode)];
    std::string Value = optarg == nullptr ? "" : optarg;
    if (!Each.Read(Value)) {
      std::fprintf(stderr, "%s: bad value for --%s: %s\n", Arguments[0],
                   Each.Name.c_str(), Value.c_str());
      return false;
    }
  }
  return true;
}

static void onStopSignal(int) { StopRequested.store(true); }

void catchStopSignals() {
  (void)std::signal(SIGTERM, onStopSignal);
  (void)std::signal(SIGINT, onStopSignal);
  (void)std::signal(SIGPIPE, SIG_IGN);
}

bool isStopRequested() { return StopRequested.load(); }

} // namespace bilberry::standin
