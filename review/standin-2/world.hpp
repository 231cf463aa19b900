// Stand-ins for the platform, its servers and its clients, for the cases in
// review/6 and up. One process runs all stand-ins in threads; the project's own
// programs are started as separate processes. All addresses are loopback
// addresses. The stand-ins follow ../given/kit/more/system/PROTOCOL.md.

#ifndef REVIEW_STANDIN_2_WORLD_H
#define REVIEW_STANDIN_2_WORLD_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Seconds since the start of the trial, by the steady clock.
double now();
void sleepUntil(double Time);
/// Unix time in milliseconds.
int64_t unixMs();

/// Writes record.txt: one line per event, with the time. Thread-safe.
void record(const std::string &Line);
void openRecord(const std::string &Path);

struct Endpoint {
  uint32_t Ip = 0;
  uint16_t Port = 0;
  auto operator<=>(const Endpoint &) const = default;
};
uint32_t parseIp(const std::string &Text);
std::string ipText(uint32_t Ip);

/// The ports of every machine of a trial.
struct Ports {
  static constexpr uint16_t Datagram = 18172;
  static constexpr uint16_t Ready = 18167;
  static constexpr uint16_t Control = 18166;
  static constexpr uint16_t Outbound = 18162;
  static constexpr uint16_t App = 18165;
  static constexpr uint16_t Internal = 17720;
  static constexpr uint16_t Store = 18169;
};

// Packets, as in the page's example.
enum Flags : uint8_t { Syn = 1, Bounced = 8, Rst = 16, Ack = 32, Fin = 128 };
struct Packet {
  uint32_t Echo = 0, Seq = 0, AckSeq = 0, Sum = 0;
  uint8_t Flags = 0, Pad = 0;
  Endpoint Src, Dst;
  std::string Data;
};
std::string encode(Packet P); // fills in the sum of an end
bool decode(const std::string &Bytes, Packet &Out);
bool hasValidSum(const Packet &P); // written by one of the two ends

/// The platform's store.
class Store {
public:
  /// Serves up to Threads calls at once, waiting watches included.
  explicit Store(uint32_t Ip, size_t Threads = 64);
  ~Store();
  void put(const std::string &Key, const std::string &Value);
  /// From now on, cuts a watch that has waited this long, with status 503.
  void cutWatchesAfter(double Seconds);

private:
  struct Impl;
  std::unique_ptr<Impl> I;
};

/// A process of the project.
class Program {
public:
  Program(std::string Name, std::string Binary, std::string Settings,
          std::string Folder);
  ~Program();
  void start();
  void signal(int Number);
  /// Waits until it has ended; kills it after Limit seconds.
  bool waitForEnd(double Limit);
  bool isRunning();
  /// From the next start on, its output goes through a pipe to a collector,
  /// which writes it to the log file. The collector reads while *Reads is true.
  void collectOutput(const std::atomic<bool> *Reads) { CollectorReads = Reads; }

private:
  void collect(int Pipe);

  std::string Name, Binary, SettingsPath, LogPath;
  int Pid = -1;
  const std::atomic<bool> *CollectorReads = nullptr;
  std::atomic<bool> StopCollecting{false};
  std::thread Collector;
};

/// One incarnation of a server beside an agent. Sound: answers each request
/// once, bounces the packets of flows that it doesn't hold.
class Server {
public:
  struct Options {
    std::string Id, Service, Zone;
    uint32_t Ip = 0;
    uint32_t Slots = 9;
    double BeatEvery = 1.2;
  };
  explicit Server(Options O);
  ~Server();
  const Options &options() const { return O; }
  int64_t born() const { return Born; }
  uint64_t sequence() const { return Seq; }
  /// The heartbeat that it would send with this sequence number.
  std::string beatBody(uint64_t Sequence, bool WithBorn = true) const;
  /// Ends it as a crash does: nothing more is sent or answered.
  void crash();
  /// From now on it handles each packet this much later.
  void setSlow(double Seconds) { Slow = Seconds; }
  /// Holds back heartbeats until this time.
  void setNextBeat(double At);
  double lastAckedBeat() const { return LastAcked; }
  /// True if it has the end of the handshake of the flow.
  bool holds(const Endpoint &Client, const Endpoint &Route);
  /// Request id to number of runs.
  std::map<std::string, int> runs();
  /// The number of requests that it ran, by the route of their flow.
  std::map<Endpoint, int> runsByRoute();
  /// Flows to the number of their packets that were bounced here.
  std::map<std::pair<Endpoint, Endpoint>, int> bounced();
  int invalidPackets() const { return Invalid; }
  std::function<void(const Packet &)> OnPacket;

private:
  struct Flow {
    uint32_t MySeq = 0, Next = 0;
    bool IsOpen = false, HasEnded = false;
    std::string LastAnswer;
    uint32_t LastAnswerSeq = 0;
  };
  void receive();
  void handle(Packet P, const std::string &Bytes);
  void beat();
  void send(const Packet &P);

  Options O;
  int64_t Born;
  std::atomic<uint64_t> Seq{0};
  std::atomic<double> Slow{0}, NextBeat{0}, LastAcked{-1};
  std::atomic<bool> Stop{false};
  std::atomic<int> Invalid{0};
  int Socket = -1;
  std::mutex M;
  std::map<std::pair<Endpoint, Endpoint>, Flow> Flows;
  std::map<std::string, int> Runs;
  std::map<Endpoint, int> RunsByRoute;
  std::map<std::pair<Endpoint, Endpoint>, int> Bounces;
  std::thread Receiver, Beater;
};

/// Sends a heartbeat to an agent. Returns the status, or -1.
int sendBeat(uint32_t AgentIp, const std::string &Id, const std::string &Body,
             double Timeout = 1.0);
int getStatus(uint32_t Ip, uint16_t Port, const std::string &Path);

/// The clients of one zone behind the platform's routers, which hash each flow
/// over the ready nodes of the zone.
class Clients {
public:
  explicit Clients(uint32_t Ip);
  ~Clients();
  /// The nodes of the zone; they are asked for /bilberrylb/ready twice a
  /// second.
  void setNodes(std::vector<uint32_t> Nodes);
  std::vector<uint32_t> inRotation();

  struct FlowState {
    Endpoint Client, Route;
    uint32_t Seq = 0, AckSeq = 0;
    bool IsOpen = false, IsReset = false, IsInvalid = false;
    double OpenedAt = 0, ResetAt = 0, LastPacketAt = 0;
    std::string Awaited, Answer;
    bool HasAnswer = false;
  };
  using Flow = std::shared_ptr<FlowState>;
  /// Opens a flow; null if that fails.
  Flow open(Endpoint Route);
  /// Sends a request and waits for its answer until Timeout.
  bool request(const Flow &F, const std::string &Id, double Timeout);
  /// Closes a flow with a FIN; doesn't wait for the server's.
  void finish(const Flow &F);
  int foreignAnswers() const { return Foreign; }

private:
  void receive();
  void poll();
  void send(FlowState &F, uint8_t Flags, const std::string &Data,
            uint32_t SynCopy = 0);
  /// Sends a packet to the node that the router chooses.
  void route(const Packet &P);

  uint32_t Ip;
  int Socket = -1;
  std::atomic<bool> Stop{false};
  std::atomic<int> Foreign{0};
  std::mutex M;
  std::condition_variable Changed;
  uint16_t NextPort = 40001;
  std::map<std::pair<Endpoint, Endpoint>, Flow> Flows;
  std::vector<uint32_t> Nodes;
  std::map<uint32_t, int> Misses;
  std::map<uint32_t, bool> WasReady;
  std::thread Receiver, Poller;
};

/// Settings as the templates of deploy/ give them on the small sites.
std::string balancerSettings(const std::string &Name, const std::string &Zone,
                             uint32_t Ip, uint32_t StoreIp);
std::string agentSettings(const std::string &Name, const std::string &Zone,
                          uint32_t Ip, const std::string &Service,
                          uint32_t StoreIp);
/// A configuration with one route per entry (host, service).
std::string
configuration(uint64_t Version,
              const std::vector<std::pair<std::string, std::string>> &Routes,
              const std::vector<std::string> &Services);

/// An address of this trial: 127.N.A.B, where N is drawn for the trial.
uint32_t machine(int A, int B);

} // namespace review

#endif
