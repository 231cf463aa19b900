// Runs the stand-in for the platform's store as a process. The protocol is
// described in bilberry/standin/store_server.h.

#include "bilberry/standin/store_server.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <string>

namespace {

constexpr char Usage[] =
    "usage: bilberry-store-standin --listen IP:PORT\n"
    "Serves an in-memory store with the etcd v3 JSON gateway's protocol.\n"
    "  --listen IP:PORT  listening address; port 0 selects a free port\n"
    "  --help            print this help and exit\n"
    "  --version         print the version and exit\n"
    "SIGTERM or SIGINT stops it. POST /standin/fault injects faults;\n"
    "GET /standin/counts returns the number of calls by kind.\n";
constexpr char Version[] = "bilberry-store-standin 0.1.0\n";
constexpr int UsageError = 2;

const option Options[] = {{"listen", required_argument, nullptr, 'l'},
                          {"help", no_argument, nullptr, 'h'},
                          {"version", no_argument, nullptr, 'v'},
                          {nullptr, 0, nullptr, 0}};

// Prints the message to stderr and returns Status.
int printError(const std::string &Message, int Status) {
  std::fprintf(stderr, "bilberry-store-standin: %s\n", Message.c_str());
  return Status;
}

// Blocks SIGTERM and SIGINT in this thread and in threads it starts, so that
// sigwait() can receive them.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

int serve(const std::string &Listen) {
  auto Address = bilberry::base::parseAddress(Listen);
  if (!Address) {
    return printError(Address.error().Message, UsageError);
  }
  sigset_t Signals = blockStopSignals();
  bilberry::standin::StoreServer Server;
  auto Bound = Server.start(Address.value());
  if (!Bound) {
    return printError(Bound.error().Message, EXIT_FAILURE);
  }
  std::printf("listening on %s\n",
              bilberry::base::addressText(Bound.value()).c_str());
  std::fflush(stdout);
  int Received = 0;
  sigwait(&Signals, &Received);
  Server.stop();
  return EXIT_SUCCESS;
}

} // namespace

int main(int Count, char **Arguments) {
  std::string Listen;
  int Option = 0;
  while ((Option = getopt_long(Count, Arguments, "", Options, nullptr)) != -1) {
    switch (Option) {
    case 'l':
      Listen = optarg;
      break;
    case 'h':
      std::fputs(Usage, stdout);
      return EXIT_SUCCESS;
    case 'v':
      std::fputs(Version, stdout);
      return EXIT_SUCCESS;
    default:
      std::fputs(Usage, stderr);
      return UsageError;
    }
  }
  if (Listen.empty() || optind != Count) {
    std::fputs(Usage, stderr);
    return UsageError;
  }
  return serve(Listen);
}
