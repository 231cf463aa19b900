// A small deployment on loopback addresses: the platform's store, a connection
// proxy in front of it, the routers, the application servers and the clients
// are threads of this program; balancers and agents are separate processes.

#ifndef REVIEW_STANDIN_WORLD_H
#define REVIEW_STANDIN_WORLD_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// Milliseconds since the start of the program.
int64_t nowMs();

/// Writes record.txt: one line an event, with its time in milliseconds.
/// Thread-safe.
class Record {
public:
  explicit Record(const std::string &Path);
  ~Record();
  void line(const std::string &Text);

private:
  std::mutex Mutex;
  FILE *File;
};

struct Address {
  uint32_t Ip = 0;
  uint16_t Port = 0;
  auto operator<=>(const Address &) const = default;
};
std::string ipText(uint32_t Ip);
std::string text(const Address &At);

/// The addresses and ports of one run: a loopback network of its own.
struct Plan {
  uint32_t Network = 0;
  uint16_t Base = 0;
  Plan();
  uint32_t ip(int Host) const { return this->Network + Host; }
  uint16_t outbound() const { return this->Base; }
  uint16_t app() const { return this->Base + 3; }
  uint16_t control() const { return this->Base + 4; }
  uint16_t ready() const { return this->Base + 5; }
  uint16_t datagram() const { return this->Base + 10; }
  uint16_t internalFirst() const { return this->Base + 20; }
  uint16_t storePort() const { return this->Base + 50; }
  uint16_t storeBackend() const { return this->Base + 51; }
};

/// The platform's store, by the section on the metadata store. Thread-safe.
class Store {
public:
  explicit Store(Address At);
  ~Store();
  /// Writes or deletes a key as the operator does, and returns the revision.
  int64_t put(const std::string &Key, const std::string &Value);
  int64_t remove(const std::string &Key);

private:
  struct Impl;
  std::unique_ptr<Impl> PImpl;
};

/// Forwards TCP connections to the store. Thread-safe.
class Proxy {
public:
  Proxy(Address Listen, Address To);
  ~Proxy();
  /// The connections open now go silent for good, without a reset; later ones
  /// work. Returns their number.
  int silenceOpenConnections();

private:
  struct Connection {
    int Client = -1;
    int Server = -1;
    std::atomic<bool> IsSilent{false};
    std::atomic<bool> IsDone{false};
  };
  void accept();
  void pump(std::shared_ptr<Connection> Entry);
  int Listener = -1;
  Address To;
  std::atomic<bool> IsStopping{false};
  std::mutex Mutex;
  std::vector<std::shared_ptr<Connection>> Connections;
  std::vector<std::thread> Threads;
};

/// The packet format of the pages.
struct Packet {
  uint32_t Echo = 0, Seq = 0, Ack = 0, Sum = 0;
  uint16_t Len = 0;
  uint8_t Flags = 0, Pad = 0;
  Address Src, Dst;
  std::string Data;
  static constexpr uint8_t Syn = 1, Bounced = 8, Rst = 16, AckFlag = 32,
                           Fin = 128;
  bool is(uint8_t Flag) const { return (this->Flags & Flag) != 0; }
  static std::optional<Packet> parse(const char *Bytes, size_t Size);
  std::string bytes() const;
  /// The keyed sum over all fields but echo, pad and BOUNCED.
  uint32_t keyedSum() const;
};

using FlowKey = std::pair<Address, Address>; // client, route

/// One balancer or agent process with its settings file.
class Process {
public:
  Process(std::string Name, std::string Program, std::string Settings,
          std::string Directory);
  ~Process() { this->kill(9); }
  void start();
  void kill(int Signal);
  bool isRunning();
  /// Waits for the process to end.
  void waitForEnd(Ms Limit);
  const std::string &name() const { return this->Name; }

private:
  std::string Name, Program, SettingsPath, LogPath;
  pid_t Pid = -1;
};

class World;

/// One run of an application server on a side machine.
struct ServerRun {
  std::string Id;
  std::string Service;
  std::string Zone;
  int Host = 0;
  int64_t BornMs = 0;    // Unix time
  int64_t StartedAt = 0; // nowMs()
  int64_t WarmupMs = 0;  // how long it is cold
  int Slots = 2;
  uint64_t NextSeq = 1;
  std::atomic<bool> IsDraining{false};
  /// When a heartbeat that says so was first acknowledged, or 0.
  std::atomic<int64_t> DrainAckAt{0};
  int Socket = -1;
  Address App, Outbound, Control;
  struct Flow {
    uint32_t OwnSeq = 0; // of the SYN+ACK
    uint32_t NextOwn = 0;
    uint32_t NextPeer = 0;
    bool IsOpen = false;
    bool HasEnded = false;
    int64_t OpenedAt = 0;
    std::map<uint32_t, std::string> Answers; // by the request's sequence
    std::set<uint32_t> Running;
  };
  std::map<FlowKey, Flow> Flows;
  /// When each opening packet that it took arrived, and the flow.
  std::vector<std::pair<int64_t, FlowKey>> Openings;
  std::atomic<bool> IsAlive{true};
  std::thread Heartbeats;
  /// How long after its start it first says that it is there.
  int64_t FirstHeartbeatDelayMs = 0;
  int HeartbeatMs = 770;
};

/// What a client sees of one flow.
struct ClientFlow {
  FlowKey Key;
  std::string Zone;
  std::string Label;
  int64_t SentAt = 0; // the first opening packet
  int SynCopies = 0;
  uint32_t OwnSeq = 0, NextOwn = 0, NextPeer = 0;
  bool IsOpen = false;
  bool IsDone = false;
  std::string Outcome; // answered, reset-opening, reset-open, timeout
  int64_t EndedAt = 0;
  std::string ServerId;
  int Requests = 1;    // how many requests it sends in all
  int64_t PauseMs = 0; // between two requests
  int64_t WorkMs = 20;
  int Answered = 0;
  int64_t RequestSentAt = 0;
  int64_t NextSendAt = 0;
  int64_t RetryMs = 200;
  int Retransmissions = 0;
  bool IsWaiting = false;
  uint32_t RequestSeq = 0;
  int64_t DeadlineMs = 4000;
};

/// Thread-safe unless said otherwise.
class World {
public:
  World(const std::string &RecordPath, const std::string &RepositoryRoot);
  ~World();

  Plan Net;
  Record Out;
  std::unique_ptr<Store> Platform;
  std::unique_ptr<Proxy> StoreProxy;
  std::map<std::string, std::unique_ptr<Process>> Processes;

  void addBalancer(const std::string &Name, const std::string &Zone, int Host);
  void addAgent(const std::string &Name, const std::string &Zone, int Host,
                const std::string &Service);
  void startAll();
  bool waitUntilReady(Ms Limit);

  struct ServerOptions {
    int64_t WarmupMs = 0;
    int64_t FirstHeartbeatDelayMs = 0;
    uint64_t FirstSeq = 1;
  };
  std::shared_ptr<ServerRun> startServer(const std::string &Id,
                                         const std::string &Service,
                                         const std::string &Zone, int Host,
                                         ServerOptions Options);
  /// The server says from now on that it is leaving.
  void drainServer(const std::shared_ptr<ServerRun> &Run);
  /// Says that the server leaves, and ends it.
  void leave(const std::shared_ptr<ServerRun> &Run);
  /// Ends a server at once; its flows are lost.
  void crashServer(const std::shared_ptr<ServerRun> &Run);

  Address routeAddress(int Number) const {
    return {this->Net.ip(200), static_cast<uint16_t>(443 + Number)};
  }
  /// Starts a flow of a client in the zone. Returns its index.
  size_t openFlow(const std::string &Zone, const Address &Route,
                  const std::string &Label, int Requests, int64_t PauseMs,
                  int64_t WorkMs);
  /// Calls Look with all flows and servers, while nothing changes.
  void look(
      const std::function<void(const std::vector<ClientFlow> &,
                               const std::vector<std::shared_ptr<ServerRun>> &)>
          &Look);

  /// One HTTP call; returns the status, or 0 without a response. FromIp is the
  /// caller's address, or 0 for any.
  static int call(const std::string &Method, const Address &At,
                  const std::string &Path, const std::string &Body, Ms Timeout,
                  uint32_t FromIp = 0);
  void stop();

private:
  struct Front {
    std::string Zone;
    Address Ready, Datagram;
    int Misses = 2;
    bool IsInRotation = false;
  };
  void runPackets();
  void runProbes();
  void runHeartbeats(std::shared_ptr<ServerRun> Run);
  void onServerPacket(ServerRun &Run, const char *Bytes, size_t Size);
  void sendFromServer(ServerRun &Run, const FlowKey &Key, uint8_t Flags,
                      uint32_t Seq, uint32_t Ack, const std::string &Data);
  void onClientPacket(const char *Bytes, size_t Size);
  void sendFromClient(ClientFlow &Flow, uint8_t Flags, uint32_t Seq,
                      uint32_t Ack, const std::string &Data);
  void sendRequest(ClientFlow &Flow, bool IsNew);
  void tickClients();
  void endFlow(ClientFlow &Flow, const std::string &Outcome);
  std::string render(const std::string &Template,
                     const std::map<std::string, std::string> &Values) const;

  std::string Root, Directory;
  std::mutex Mutex;
  std::vector<Front> Fronts;
  std::vector<std::shared_ptr<ServerRun>> Servers;
  std::vector<ClientFlow> Flows;
  std::map<FlowKey, size_t> FlowIndex;
  std::vector<size_t> ActiveFlows;
  struct Client {
    uint32_t Ip = 0;
    int Socket = -1;
    std::string Zone;
    uint16_t NextPort = 40001;
  };
  std::vector<Client> Clients;
  size_t NextClient = 0;
  std::multimap<int64_t, std::function<void()>> Timers;
  std::atomic<bool> IsStopping{false};
  std::thread PacketThread, ProbeThread;
  uint32_t Random = 0x12345;
  uint32_t nextRandom();
};

} // namespace review

#endif
