#include "bilberry/standin/options.h"

#include <atomic>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <getopt.h>
#include <utility>

namespace bilberry::standin {

// The value that getopt_long returns for the option at index 0; the other
// options have the values after it.
static constexpr int FirstOptionCode = 1000;

static std::atomic<bool> StopRequested{false};

static bool parseNumber(const std::string &Text, uint32_t &Target) {
  const char *End = Text.data() + Text.size();
  auto [ParsedEnd, Failure] = std::from_chars(Text.data(), End, Target);
  return Failure == std::errc() && ParsedEnd == End;
}

Option numberOption(std::string Name, std::string Help, uint32_t &Target) {
  return {
      std::move(Name), "N", std::move(Help),
      [&Target](const std::string &Text) { return parseNumber(Text, Target); }};
}

template <typename Unit>
static Option durationOption(std::string Name, std::string Placeholder,
                             std::string Help, base::Duration &Target) {
  return {std::move(Name), std::move(Placeholder), std::move(Help),
          [&Target](const std::string &Text) {
            uint32_t Number = 0;
            bool IsValid = parseNumber(Text, Number);
            Target = Unit(Number);
            return IsValid;
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
            size_t Separator = Text.find('=');
            if (Separator == std::string::npos || Separator == 0) {
              return false;
            }
            auto ServiceAddress =
                base::parseAddress(Text.substr(Separator + 1));
            if (ServiceAddress) {
              Add(base::ServiceName(Text.substr(0, Separator)),
                  ServiceAddress.value());
            }
            return static_cast<bool>(ServiceAddress);
          }};
}

static void printUsage(const char *Program,
                       const std::vector<Option> &Options) {
  std::fprintf(stderr, "usage: %s [OPTION]...\n", Program);
  for (const Option &Each : Options) {
    std::string Usage = "--" + Each.Name + " " + Each.Placeholder;
    std::fprintf(stderr, "  %-32s %s\n", Usage.c_str(), Each.Help.c_str());
  }
}

bool parseOptions(int Count, char **Arguments,
                  const std::vector<Option> &Options) {
  std::vector<option> LongOptions;
  int Code = FirstOptionCode;
  for (const Option &Each : Options) {
    int HasValue = Each.Placeholder.empty() ? no_argument : required_argument;
    LongOptions.push_back({Each.Name.c_str(), HasValue, nullptr, Code++});
  }
  LongOptions.push_back({nullptr, 0, nullptr, 0});
  int OptionCode = 0;
  // NOLINTNEXTLINE(concurrency-mt-unsafe)
  while ((OptionCode = getopt_long(Count, Arguments, "", LongOptions.data(),
                                   nullptr)) != -1) {
    if (OptionCode < FirstOptionCode) {
      printUsage(Arguments[0], Options);
      return false;
    }
    const Option &Each =
        Options[static_cast<size_t>(OptionCode - FirstOptionCode)];
    std::string Value = optarg == nullptr ? "" : optarg;
    if (!Each.Parse(Value)) {
      std::fprintf(stderr, "%s: invalid value for --%s: %s\n", Arguments[0],
                   Each.Name.c_str(), Value.c_str());
      return false;
    }
  }
  return true;
}

static void onStopSignal(int) { StopRequested.store(true); }

void installStopSignalHandlers() {
  (void)std::signal(SIGTERM, onStopSignal);
  (void)std::signal(SIGINT, onStopSignal);
  (void)std::signal(SIGPIPE, SIG_IGN);
}

bool isStopRequested() { return StopRequested.load(); }

} // namespace bilberry::standin
