#include "world.hpp"

#include <arpa/inet.h>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <random>
#include <signal.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

static const Clock::time_point ProgramStart = Clock::now();

int64_t nowMs() {
  return std::chrono::duration_cast<Ms>(Clock::now() - ProgramStart).count();
}

static int64_t unixMs() {
  return std::chrono::duration_cast<Ms>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Record::Record(const std::string &Path) : File(fopen(Path.c_str(), "w")) {
  if (this->File == nullptr) {
    throw std::runtime_error("can't write " + Path);
  }
}
Record::~Record() { fclose(this->File); }
void Record::line(const std::string &Text) {
  std::lock_guard Lock(this->Mutex);
  fprintf(this->File, "%8.3f %s\n", static_cast<double>(nowMs()) / 1000.0,
          Text.c_str());
  fflush(this->File);
}

std::string ipText(uint32_t Ip) {
  in_addr Value{htonl(Ip)};
  char Text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Value, Text, sizeof(Text));
  return Text;
}
std::string text(const Address &At) {
  return ipText(At.Ip) + ":" + std::to_string(At.Port);
}

static sockaddr_in socketAddress(const Address &At) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_addr.s_addr = htonl(At.Ip);
  Result.sin_port = htons(At.Port);
  return Result;
}

static int bindUdp(const Address &At) {
  int Fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int Size = 1 << 20;
  setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &Size, sizeof(Size));
  sockaddr_in Value = socketAddress(At);
  if (bind(Fd, reinterpret_cast<sockaddr *>(&Value), sizeof(Value)) != 0) {
    close(Fd);
    return -1;
  }
  return Fd;
}

// Takes a loopback network and a range of ports that nobody uses.
Plan::Plan() {
  std::random_device Source;
  for (int Try = 0; Try < 50; ++Try) {
    this->Network = (127U << 24U) | ((20 + Source() % 200) << 16U) |
                    ((1 + Source() % 250) << 8U);
    this->Base = static_cast<uint16_t>(20000 + (Source() % 100) * 100);
    bool IsFree = true;
    for (uint16_t Offset : {0, 3, 4, 5, 10, 20, 21, 22, 23, 50, 51}) {
      auto Port = static_cast<uint16_t>(this->Base + Offset);
      int Udp = bindUdp({this->ip(10), Port});
      int Tcp = socket(AF_INET, SOCK_STREAM, 0);
      sockaddr_in Value = socketAddress({this->ip(10), Port});
      IsFree =
          IsFree && Udp >= 0 &&
          bind(Tcp, reinterpret_cast<sockaddr *>(&Value), sizeof(Value)) == 0;
      close(Tcp);
      if (Udp >= 0) {
        close(Udp);
      }
    }
    if (IsFree) {
      return;
    }
  }
  throw std::runtime_error("no free ports");
}

// Packets.

static uint32_t get32(const unsigned char *At) {
  return (uint32_t{At[0]} << 24U) | (uint32_t{At[1]} << 16U) |
         (uint32_t{At[2]} << 8U) | At[3];
}
static void put32(std::string &Out, size_t At, uint32_t Value) {
  for (int I = 0; I < 4; ++I) {
    Out[At + I] = static_cast<char>(Value >> (24 - 8 * I));
  }
}
static void put16(std::string &Out, size_t At, uint16_t Value) {
  Out[At] = static_cast<char>(Value >> 8U);
  Out[At + 1] = static_cast<char>(Value);
}

std::optional<Packet> Packet::parse(const char *Bytes, size_t Size) {
  if (Size < 32) {
    return std::nullopt;
  }
  const auto *B = reinterpret_cast<const unsigned char *>(Bytes);
  auto Port = [&](size_t At) {
    return static_cast<uint16_t>((B[At] << 8U) | B[At + 1]);
  };
  Packet P;
  P.Echo = get32(B);
  P.Seq = get32(B + 4);
  P.Ack = get32(B + 8);
  P.Len = Port(12);
  P.Sum = get32(B + 14);
  P.Flags = B[18];
  P.Pad = B[19];
  P.Src = {get32(B + 20), Port(26)};
  P.Dst = {get32(B + 28), Port(24)};
  if (Size != size_t{32} + P.Len) {
    return std::nullopt;
  }
  P.Data.assign(Bytes + 32, P.Len);
  return P;
}

std::string Packet::bytes() const {
  std::string Out(32, '\0');
  put32(Out, 0, this->Echo);
  put32(Out, 4, this->Seq);
  put32(Out, 8, this->Ack);
  put16(Out, 12, static_cast<uint16_t>(this->Data.size()));
  put32(Out, 14, this->Sum);
  Out[18] = static_cast<char>(this->Flags);
  Out[19] = static_cast<char>(this->Pad);
  put32(Out, 20, this->Src.Ip);
  put16(Out, 24, this->Dst.Port);
  put16(Out, 26, this->Src.Port);
  put32(Out, 28, this->Dst.Ip);
  return Out + this->Data;
}

uint32_t Packet::keyedSum() const {
  uint64_t Hash = 0x5EED1234ABCD9876ULL;
  auto Add = [&](uint64_t Value) {
    Hash = (Hash ^ Value) * 0x100000001B3ULL;
    Hash ^= Hash >> 29U;
  };
  Add(this->Seq);
  Add(this->Ack);
  Add(this->Data.size());
  Add(this->Flags & static_cast<uint8_t>(~Bounced));
  Add((uint64_t{this->Src.Ip} << 16U) | this->Src.Port);
  Add((uint64_t{this->Dst.Ip} << 16U) | this->Dst.Port);
  for (char C : this->Data) {
    Add(static_cast<unsigned char>(C));
  }
  auto Sum = static_cast<uint32_t>(Hash ^ (Hash >> 32U));
  return Sum == 0 ? 1 : Sum;
}

// Processes.

Process::Process(std::string Name, std::string Program, std::string Settings,
                 std::string Directory)
    : Name(std::move(Name)), Program(std::move(Program)),
      SettingsPath(Directory + "/" + this->Name + ".ini"),
      LogPath(Directory + "/" + this->Name + ".log") {
  std::ofstream(this->SettingsPath) << Settings;
}

void Process::start() {
  pid_t Child = fork();
  if (Child == 0) {
    // So that it ends with this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int Log = open(this->LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(Log, 1);
    dup2(Log, 2);
    // As in the deploy file, with the settings at another path.
    execl(this->Program.c_str(), this->Program.c_str(), "--settings",
          this->SettingsPath.c_str(), static_cast<char *>(nullptr));
    _exit(127);
  }
  this->Pid = Child;
}

bool Process::isRunning() {
  if (this->Pid > 0 && waitpid(this->Pid, nullptr, WNOHANG) == this->Pid) {
    this->Pid = -1;
  }
  return this->Pid > 0;
}

void Process::kill(int Signal) {
  if (!this->isRunning()) {
    return;
  }
  ::kill(this->Pid, Signal);
  if (Signal == SIGKILL) {
    waitpid(this->Pid, nullptr, 0);
    this->Pid = -1;
  }
}

void Process::waitForEnd(Ms Limit) {
  auto Until = Clock::now() + Limit;
  while (this->isRunning() && Clock::now() < Until) {
    std::this_thread::sleep_for(Ms(5));
  }
}

// The world.

World::World(const std::string &RecordPath, const std::string &RepositoryRoot)
    : Out(RecordPath), Root(RepositoryRoot) {
  char Template[] = "/tmp/bilberry-review-XXXXXX";
  if (mkdtemp(Template) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  this->Directory = Template;
  Address Front{this->Net.ip(250), this->Net.storePort()};
  Address Back{this->Net.ip(250), this->Net.storeBackend()};
  this->Platform = std::make_unique<Store>(Back);
  this->StoreProxy = std::make_unique<Proxy>(Front, Back);
  this->PacketThread = std::thread([this] { this->runPackets(); });
  this->ProbeThread = std::thread([this] { this->runProbes(); });
}

World::~World() { this->stop(); }

void World::stop() {
  if (this->IsStopping.exchange(true)) {
    return;
  }
  for (auto &[Name, Value] : this->Processes) {
    Value->kill(SIGKILL);
  }
  this->PacketThread.join();
  this->ProbeThread.join();
  for (auto &Run : this->Servers) {
    Run->IsAlive = false;
    if (Run->Heartbeats.joinable()) {
      Run->Heartbeats.join();
    }
    if (Run->Socket >= 0) {
      close(Run->Socket);
    }
  }
  for (Client &Value : this->Clients) {
    close(Value.Socket);
  }
  this->StoreProxy.reset();
  this->Platform.reset();
  std::error_code Ignored;
  std::filesystem::remove_all(this->Directory, Ignored);
}

std::string
World::render(const std::string &Template,
              const std::map<std::string, std::string> &Values) const {
  std::ifstream File(this->Root + "/" + Template);
  std::stringstream Text;
  Text << File.rdbuf();
  std::string Result = Text.str();
  if (Result.empty()) {
    throw std::runtime_error("can't read " + Template);
  }
  for (const auto &[Name, Value] : Values) {
    std::string Placeholder = "{{" + Name + "}}";
    for (size_t At = Result.find(Placeholder); At != std::string::npos;
         At = Result.find(Placeholder, At + Value.size())) {
      Result.replace(At, Placeholder.size(), Value);
    }
  }
  if (Result.find("{{") != std::string::npos) {
    throw std::runtime_error("unknown placeholder in " + Template);
  }
  return Result;
}

static std::map<std::string, std::string> commonValues(const Plan &Net,
                                                       const std::string &Name,
                                                       const std::string &Zone,
                                                       int Host) {
  std::string Ip = ipText(Net.ip(Host));
  auto At = [&](uint16_t Port) { return Ip + ":" + std::to_string(Port); };
  return {{"node_name", Name},
          {"zone", Zone},
          {"ip", Ip},
          {"bounds.grace_s", "6"},
          {"bounds.warmup_factor", "1.5"},
          {"bounds.warmup_tolerance", "5"},
          {"listen.datagram_addr", At(Net.datagram())},
          {"listen.ready", At(Net.ready())},
          {"listen.control", At(Net.control())},
          {"listen.outbound", At(Net.outbound())},
          {"internal_ports.0", std::to_string(Net.internalFirst())},
          {"internal_ports.1", std::to_string(Net.internalFirst() + 15)},
          {"app", At(Net.app())},
          {"platform.address", text({Net.ip(250), Net.storePort()})}};
}

void World::addBalancer(const std::string &Name, const std::string &Zone,
                        int Host) {
  this->Processes[Name] = std::make_unique<Process>(
      Name, this->Root + "/target/bilberry-packet-balancer",
      this->render("deploy/balancer.ini",
                   commonValues(this->Net, Name, Zone, Host)),
      this->Directory);
  std::lock_guard Lock(this->Mutex);
  this->Fronts.push_back({Zone,
                          {this->Net.ip(Host), this->Net.ready()},
                          {this->Net.ip(Host), this->Net.datagram()}});
}

void World::addAgent(const std::string &Name, const std::string &Zone, int Host,
                     const std::string &Service) {
  auto Values = commonValues(this->Net, Name, Zone, Host);
  Values["service"] = Service;
  this->Processes[Name] = std::make_unique<Process>(
      Name, this->Root + "/target/bilberry-packet-agent",
      this->render("deploy/agent.ini", Values), this->Directory);
}

void World::startAll() {
  for (auto &[Name, Value] : this->Processes) {
    Value->start();
  }
}

bool World::waitUntilReady(Ms Limit) {
  auto Until = Clock::now() + Limit;
  while (Clock::now() < Until) {
    std::this_thread::sleep_for(Ms(50));
    std::lock_guard Lock(this->Mutex);
    bool AreAll = true;
    for (const Front &Value : this->Fronts) {
      AreAll = AreAll && Value.IsInRotation;
    }
    if (AreAll) {
      return true;
    }
  }
  return false;
}

int World::call(const std::string &Method, const Address &At,
                const std::string &Path, const std::string &Body, Ms Timeout,
                uint32_t FromIp) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (FromIp != 0) {
    sockaddr_in From = socketAddress({FromIp, 0});
    bind(Fd, reinterpret_cast<sockaddr *>(&From), sizeof(From));
  }
  sockaddr_in Value = socketAddress(At);
  auto Until = Clock::now() + Timeout;
  auto Wait = [&](short Events) {
    auto Left = std::chrono::duration_cast<Ms>(Until - Clock::now()).count();
    pollfd Poll{Fd, Events, 0};
    return Left > 0 && poll(&Poll, 1, static_cast<int>(Left)) > 0;
  };
  std::string Request = Method + " " + Path + " HTTP/1.1\r\nHost: " + text(At) +
                        "\r\nConnection: close\r\n";
  if (!Body.empty()) {
    Request += "Content-Type: application/json\r\nContent-Length: " +
               std::to_string(Body.size()) + "\r\n";
  }
  Request += "\r\n" + Body;
  int Status = 0;
  std::string Answer;
  if (connect(Fd, reinterpret_cast<sockaddr *>(&Value), sizeof(Value)) == 0 ||
      (errno == EINPROGRESS && Wait(POLLOUT))) {
    if (send(Fd, Request.data(), Request.size(), MSG_NOSIGNAL) ==
        static_cast<ssize_t>(Request.size())) {
      while (Answer.find("\r\n") == std::string::npos && Wait(POLLIN)) {
        char Buffer[1024];
        ssize_t Size = recv(Fd, Buffer, sizeof(Buffer), 0);
        if (Size <= 0) {
          break;
        }
        Answer.append(Buffer, static_cast<size_t>(Size));
      }
    }
  }
  close(Fd);
  if (Answer.starts_with("HTTP/1.1 ")) {
    Status = std::atoi(Answer.c_str() + 9);
  }
  return Status;
}

// The platform's routers: twice per second, two misses.
void World::runProbes() {
  while (!this->IsStopping) {
    std::vector<Address> Targets;
    {
      std::lock_guard Lock(this->Mutex);
      for (const Front &Value : this->Fronts) {
        Targets.push_back(Value.Ready);
      }
    }
    for (size_t I = 0; I < Targets.size(); ++I) {
      bool IsGood =
          call("GET", Targets[I], "/bilberrylb/ready", "", Ms(400)) == 200;
      std::lock_guard Lock(this->Mutex);
      Front &Value = this->Fronts[I];
      Value.Misses = IsGood ? 0 : Value.Misses + 1;
      bool IsInRotation = IsGood || (Value.IsInRotation && Value.Misses < 2);
      if (IsInRotation != Value.IsInRotation) {
        Value.IsInRotation = IsInRotation;
        this->Out.line("router: " + ipText(Value.Ready.Ip) +
                       (IsInRotation ? " in rotation" : " out of rotation"));
      }
    }
    std::this_thread::sleep_for(Ms(500));
  }
}

uint32_t World::nextRandom() {
  this->Random ^= this->Random << 13U;
  this->Random ^= this->Random >> 17U;
  this->Random ^= this->Random << 5U;
  return this->Random;
}

// Servers.

std::shared_ptr<ServerRun> World::startServer(const std::string &Id,
                                              const std::string &Service,
                                              const std::string &Zone, int Host,
                                              ServerOptions Options) {
  auto Run = std::make_shared<ServerRun>();
  Run->Id = Id;
  Run->Service = Service;
  Run->Zone = Zone;
  Run->Host = Host;
  Run->BornMs = unixMs();
  Run->StartedAt = nowMs();
  Run->WarmupMs = Options.WarmupMs;
  Run->FirstHeartbeatDelayMs = Options.FirstHeartbeatDelayMs;
  Run->NextSeq = Options.FirstSeq;
  Run->App = {this->Net.ip(Host), this->Net.app()};
  Run->Outbound = {this->Net.ip(Host), this->Net.outbound()};
  Run->Control = {this->Net.ip(Host), this->Net.control()};
  Run->Socket = bindUdp(Run->App);
  if (Run->Socket < 0) {
    throw std::runtime_error("the server's port is in use");
  }
  this->Out.line(
      "server " + Id + " of " + Service + " starts at " + text(Run->App) +
      (Run->WarmupMs > 0 ? " cold for " + std::to_string(Run->WarmupMs) + " ms"
                         : ""));
  std::lock_guard Lock(this->Mutex);
  this->Servers.push_back(Run);
  Run->Heartbeats = std::thread([this, Run] { this->runHeartbeats(Run); });
  return Run;
}

void World::drainServer(const std::shared_ptr<ServerRun> &Run) {
  this->Out.line("server " + Run->Id + " drains");
  Run->IsDraining = true;
}

void World::leave(const std::shared_ptr<ServerRun> &Run) {
  int Status = call("DELETE", Run->Control, "/bilberrylb/instances/" + Run->Id,
                    "", Ms(1000), Run->App.Ip);
  this->Out.line("server " + Run->Id + " leaves, answered " +
                 std::to_string(Status));
  this->crashServer(Run);
}

void World::crashServer(const std::shared_ptr<ServerRun> &Run) {
  this->Out.line("server " + Run->Id + " ends");
  {
    std::lock_guard Lock(this->Mutex);
    Run->IsAlive = false;
    close(Run->Socket);
    Run->Socket = -1;
  }
  Run->Heartbeats.join();
}

void World::runHeartbeats(std::shared_ptr<ServerRun> Run) {
  int64_t NextAt = Run->StartedAt + Run->FirstHeartbeatDelayMs;
  while (Run->IsAlive && !this->IsStopping) {
    if (nowMs() < NextAt) {
      std::this_thread::sleep_for(Ms(2));
      continue;
    }
    int64_t Left =
        std::max<int64_t>(0, Run->StartedAt + Run->WarmupMs - nowMs());
    uint64_t Seq = Run->NextSeq++;
    bool SaysDraining = Run->IsDraining;
    std::string Body =
        "{\"service\":\"" + Run->Service + "\",\"address\":\"" +
        text(Run->App) + "\",\"zone\":\"" + Run->Zone +
        "\",\"version\":\"v1\",\"slots\":" + std::to_string(Run->Slots) +
        ",\"state\":\"" + (SaysDraining ? "draining" : "ready") +
        "\",\"warmup_left_ms\":" + std::to_string(Left) +
        ",\"seq\":" + std::to_string(Seq) +
        ",\"born\":" + std::to_string(Run->BornMs) + "}";
    int Status = call("PUT", Run->Control, "/bilberrylb/instances/" + Run->Id,
                      Body, Ms(1000), Run->App.Ip);
    bool IsDrainAck =
        SaysDraining && Status == 200 && Run->DrainAckAt.load() == 0;
    if (IsDrainAck) {
      Run->DrainAckAt = nowMs();
    }
    if (Seq <= 2 || Status != 200 || IsDrainAck) {
      this->Out.line("server " + Run->Id + " heartbeat seq " +
                     std::to_string(Seq) +
                     (SaysDraining ? ", draining, answered " : " answered ") +
                     std::to_string(Status));
    }
    NextAt = nowMs() + (Status == 200 ? Run->HeartbeatMs : 200);
  }
}

void World::sendFromServer(ServerRun &Run, const FlowKey &Key, uint8_t Flags,
                           uint32_t Seq, uint32_t Ack,
                           const std::string &Data) {
  Packet P;
  P.Src = Key.second;
  P.Dst = Key.first;
  P.Flags = Flags;
  P.Seq = Seq;
  P.Ack = Ack;
  P.Data = Data;
  P.Sum = P.keyedSum();
  std::string Bytes = P.bytes();
  sockaddr_in To = socketAddress(Run.Outbound);
  sendto(Run.Socket, Bytes.data(), Bytes.size(), 0,
         reinterpret_cast<sockaddr *>(&To), sizeof(To));
}

// Precondition of the functions below: Mutex is held.
void World::onServerPacket(ServerRun &Run, const char *Bytes, size_t Size) {
  auto P = Packet::parse(Bytes, Size);
  if (!P || P->Sum != P->keyedSum()) {
    this->Out.line("server " + Run.Id + " got a packet that nobody wrote so");
    return;
  }
  FlowKey Key{P->Src, P->Dst};
  auto It = Run.Flows.find(Key);
  bool IsOpening = P->is(Packet::Syn) && !P->is(Packet::AckFlag);
  if (IsOpening) {
    if (It == Run.Flows.end()) {
      ServerRun::Flow Flow;
      Flow.OwnSeq = this->nextRandom();
      Flow.NextOwn = Flow.OwnSeq + 1;
      Flow.NextPeer = P->Seq + 1;
      It = Run.Flows.emplace(Key, Flow).first;
      Run.Openings.emplace_back(nowMs(), Key);
      this->Out.line("server " + Run.Id + " took the opening packet of " +
                     text(Key.first) + " to " + text(Key.second));
    }
    this->sendFromServer(Run, Key, Packet::Syn | Packet::AckFlag,
                         It->second.OwnSeq, P->Seq + 1, "");
    return;
  }
  if (It == Run.Flows.end()) {
    // Not held: returned with BOUNCED, `echo` unchanged and `pad` 0.
    std::string Back(Bytes, Size);
    Back[18] = static_cast<char>(Back[18] | Packet::Bounced);
    Back[19] = 0;
    sockaddr_in To = socketAddress(Run.Outbound);
    sendto(Run.Socket, Back.data(), Back.size(), 0,
           reinterpret_cast<sockaddr *>(&To), sizeof(To));
    return;
  }
  ServerRun::Flow &Flow = It->second;
  if (P->is(Packet::Rst)) {
    Flow.HasEnded = true;
    return;
  }
  if (Flow.HasEnded) {
    this->sendFromServer(Run, Key, P->Len > 0 ? Packet::Rst : Packet::AckFlag,
                         Flow.NextOwn, Flow.NextPeer, "");
    return;
  }
  if (!Flow.IsOpen && P->Ack == Flow.OwnSeq + 1) {
    Flow.IsOpen = true;
    Flow.OpenedAt = nowMs();
  }
  if (!Flow.IsOpen) {
    return;
  }
  if (P->Len > 0) {
    auto Answer = Flow.Answers.find(P->Seq);
    if (Answer != Flow.Answers.end()) {
      this->sendFromServer(Run, Key, Packet::AckFlag,
                           Flow.NextOwn -
                               static_cast<uint32_t>(Answer->second.size()),
                           Flow.NextPeer, Answer->second);
    } else if (!Flow.Running.contains(P->Seq)) {
      Flow.NextPeer = P->Seq + P->Len;
      Flow.Running.insert(P->Seq);
      std::istringstream Words(P->Data);
      std::string Id;
      int64_t Work = 0;
      Words >> Id >> Work;
      this->Out.line("server " + Run.Id + " runs " + Id);
      uint32_t Seq = P->Seq;
      auto *Owner = &Run;
      this->Timers.emplace(nowMs() + Work, [this, Owner, Key, Seq, Id] {
        auto Found = Owner->Flows.find(Key);
        if (!Owner->IsAlive || Found == Owner->Flows.end() ||
            Found->second.HasEnded) {
          return;
        }
        std::string Data = "answer " + Id + " " + Owner->Id;
        ServerRun::Flow &Flow = Found->second;
        Flow.Answers[Seq] = Data;
        this->sendFromServer(*Owner, Key, Packet::AckFlag, Flow.NextOwn,
                             Flow.NextPeer, Data);
        Flow.NextOwn += static_cast<uint32_t>(Data.size());
      });
    }
  }
  if (P->is(Packet::Fin)) {
    this->sendFromServer(Run, Key, Packet::Fin | Packet::AckFlag, Flow.NextOwn,
                         P->Seq + 1, "");
    Flow.HasEnded = true;
  }
}

// Clients.

size_t World::openFlow(const std::string &Zone, const Address &Route,
                       const std::string &Label, int Requests, int64_t PauseMs,
                       int64_t WorkMs) {
  std::lock_guard Lock(this->Mutex);
  constexpr int ClientsPerZone = 4;
  std::vector<Client *> Found;
  for (Client &Value : this->Clients) {
    if (Value.Zone == Zone) {
      Found.push_back(&Value);
    }
  }
  if (Found.empty()) {
    for (int I = 0; I < ClientsPerZone; ++I) {
      Client Value;
      Value.Ip = this->Net.ip(100 + static_cast<int>(this->Clients.size()));
      Value.Socket = bindUdp({Value.Ip, this->Net.datagram()});
      Value.Zone = Zone;
      if (Value.Socket < 0) {
        throw std::runtime_error("the client's port is in use");
      }
      this->Clients.push_back(Value);
    }
    for (Client &Value : this->Clients) {
      if (Value.Zone == Zone) {
        Found.push_back(&Value);
      }
    }
  }
  Client &Chosen = *Found[this->NextClient++ % Found.size()];
  ClientFlow Flow;
  Flow.Key = {{Chosen.Ip, Chosen.NextPort++}, Route};
  Flow.Zone = Zone;
  Flow.Label = Label;
  Flow.Requests = Requests;
  Flow.PauseMs = PauseMs;
  Flow.WorkMs = WorkMs;
  Flow.OwnSeq = this->nextRandom();
  Flow.NextOwn = Flow.OwnSeq + 1;
  Flow.SentAt = nowMs();
  size_t Index = this->Flows.size();
  this->FlowIndex[Flow.Key] = Index;
  this->Flows.push_back(Flow);
  this->ActiveFlows.push_back(Index);
  return Index;
}

void World::sendFromClient(ClientFlow &Flow, uint8_t Flags, uint32_t Seq,
                           uint32_t Ack, const std::string &Data) {
  Packet P;
  P.Src = Flow.Key.first;
  P.Dst = Flow.Key.second;
  P.Flags = Flags;
  P.Seq = Seq;
  P.Ack = Ack;
  P.Data = Data;
  P.Sum = P.keyedSum();
  // The router: a hash over the nodes in rotation of the client's zone, over
  // all nodes of the zone if fewer than half are, over other zones' if none is.
  std::vector<Address> InRotation;
  std::vector<Address> All;
  std::vector<Address> Elsewhere;
  for (const Front &Value : this->Fronts) {
    if (Value.Zone == Flow.Zone) {
      All.push_back(Value.Datagram);
      if (Value.IsInRotation) {
        InRotation.push_back(Value.Datagram);
      }
    } else if (Value.IsInRotation) {
      Elsewhere.push_back(Value.Datagram);
    }
  }
  std::vector<Address> &Nodes = InRotation.empty() ? Elsewhere
                                : InRotation.size() * 2 < All.size()
                                    ? All
                                    : InRotation;
  if (Nodes.empty()) {
    return;
  }
  uint64_t Hash = (uint64_t{P.Src.Ip} * 31 + P.Src.Port) * 1000003 +
                  uint64_t{P.Dst.Ip} * 31 + P.Dst.Port;
  Hash ^= Hash >> 17U;
  sockaddr_in To = socketAddress(Nodes[Hash % Nodes.size()]);
  std::string Bytes = P.bytes();
  for (Client &Value : this->Clients) {
    if (Value.Ip == Flow.Key.first.Ip) {
      sendto(Value.Socket, Bytes.data(), Bytes.size(), 0,
             reinterpret_cast<sockaddr *>(&To), sizeof(To));
    }
  }
}

void World::sendRequest(ClientFlow &Flow, bool IsNew) {
  std::string Id = Flow.Label + "." + std::to_string(Flow.Answered + 1);
  std::string Data = Id + " " + std::to_string(Flow.WorkMs) + " POST /work";
  if (IsNew) {
    Flow.RequestSeq = Flow.NextOwn;
    Flow.NextOwn += static_cast<uint32_t>(Data.size());
    Flow.RequestSentAt = nowMs();
    Flow.IsWaiting = true;
    Flow.RetryMs = 200;
    this->Out.line("client " + text(Flow.Key.first) + " sends " + Id + " to " +
                   text(Flow.Key.second));
  }
  this->sendFromClient(Flow, Packet::AckFlag, Flow.RequestSeq, Flow.NextPeer,
                       Data);
  Flow.NextSendAt = nowMs() + Flow.RetryMs;
  Flow.RetryMs = std::min<int64_t>(1600, Flow.RetryMs * 2);
}

void World::endFlow(ClientFlow &Flow, const std::string &Outcome) {
  Flow.IsDone = true;
  Flow.Outcome = Outcome;
  Flow.EndedAt = nowMs();
  this->Out.line("client " + text(Flow.Key.first) + " " + Flow.Label +
                 " ends: " + Outcome +
                 (Flow.ServerId.empty() ? "" : " server " + Flow.ServerId));
}

void World::onClientPacket(const char *Bytes, size_t Size) {
  auto P = Packet::parse(Bytes, Size);
  if (!P) {
    this->Out.line("a client got bytes that are no packet");
    return;
  }
  auto It = this->FlowIndex.find({P->Dst, P->Src});
  if (It == this->FlowIndex.end()) {
    return;
  }
  ClientFlow &Flow = this->Flows[It->second];
  bool IsSystemReset = P->is(Packet::Rst) && P->Sum == 0 && P->Len == 0;
  if (!IsSystemReset && P->Sum != P->keyedSum()) {
    this->Out.line("client " + text(Flow.Key.first) +
                   " got a packet that nobody wrote so");
    return;
  }
  if (Flow.IsDone) {
    return;
  }
  if (P->is(Packet::Rst)) {
    bool IsNear =
        P->Seq - Flow.NextPeer <= 76800U || Flow.NextPeer - P->Seq <= 76800U;
    if (!Flow.IsOpen) {
      this->endFlow(Flow, "reset-opening");
    } else if (IsNear) {
      this->endFlow(Flow,
                    IsSystemReset ? "reset-open" : "reset-open-by-server");
    }
    return;
  }
  if (P->is(Packet::Syn)) {
    if (!Flow.IsOpen && P->is(Packet::AckFlag) && P->Ack == Flow.OwnSeq + 1) {
      Flow.IsOpen = true;
      Flow.NextPeer = P->Seq + 1;
      this->sendRequest(Flow, true);
    }
    return;
  }
  if (P->Len > 0 && Flow.IsWaiting) {
    std::istringstream Words(P->Data);
    std::string First;
    std::string Id;
    Words >> First >> Id >> Flow.ServerId;
    std::string Expected = Flow.Label + "." + std::to_string(Flow.Answered + 1);
    if (Id != Expected) {
      return;
    }
    Flow.NextPeer = P->Seq + P->Len;
    ++Flow.Answered;
    Flow.IsWaiting = false;
    this->Out.line("client " + text(Flow.Key.first) + " has the answer to " +
                   Id + " from " + Flow.ServerId);
    if (Flow.Answered >= Flow.Requests) {
      this->sendFromClient(Flow, Packet::Fin | Packet::AckFlag, Flow.NextOwn,
                           Flow.NextPeer, "");
      this->endFlow(Flow, "answered");
    } else {
      this->sendFromClient(Flow, Packet::AckFlag, Flow.NextOwn, Flow.NextPeer,
                           "");
      Flow.NextSendAt = nowMs() + Flow.PauseMs;
    }
  }
}

void World::tickClients() {
  static constexpr int64_t CopyTimes[] = {0, 200, 600};
  int64_t Now = nowMs();
  std::erase_if(this->ActiveFlows, [&](size_t Index) {
    ClientFlow &Flow = this->Flows[Index];
    if (Flow.IsDone) {
      return true;
    }
    if (!Flow.IsOpen) {
      if (Flow.SynCopies < 3 &&
          Now >= Flow.SentAt + CopyTimes[Flow.SynCopies]) {
        this->sendFromClient(Flow, Packet::Syn, Flow.OwnSeq,
                             static_cast<uint32_t>(Flow.SynCopies), "");
        ++Flow.SynCopies;
      } else if (Now >= Flow.SentAt + 1400) {
        this->endFlow(Flow, "never-opened");
      }
    } else if (Flow.IsWaiting && Now >= Flow.RequestSentAt + Flow.DeadlineMs) {
      this->endFlow(Flow, "deadline");
    } else if (Now >= Flow.NextSendAt) {
      this->sendRequest(Flow, !Flow.IsWaiting);
    }
    return false;
  });
}

void World::runPackets() {
  char Buffer[4096];
  while (!this->IsStopping) {
    std::vector<pollfd> Wait;
    {
      std::lock_guard Lock(this->Mutex);
      for (const auto &Run : this->Servers) {
        if (Run->Socket >= 0) {
          Wait.push_back({Run->Socket, POLLIN, 0});
        }
      }
      for (const Client &Value : this->Clients) {
        Wait.push_back({Value.Socket, POLLIN, 0});
      }
    }
    poll(Wait.data(), Wait.size(), 2);
    std::lock_guard Lock(this->Mutex);
    for (const auto &Run : this->Servers) {
      while (Run->Socket >= 0) {
        ssize_t Size = recv(Run->Socket, Buffer, sizeof(Buffer), 0);
        if (Size < 0) {
          break;
        }
        this->onServerPacket(*Run, Buffer, static_cast<size_t>(Size));
      }
    }
    for (const Client &Value : this->Clients) {
      ssize_t Size = 0;
      while ((Size = recv(Value.Socket, Buffer, sizeof(Buffer), 0)) >= 0) {
        this->onClientPacket(Buffer, static_cast<size_t>(Size));
      }
    }
    while (!this->Timers.empty() && this->Timers.begin()->first <= nowMs()) {
      auto Do = std::move(this->Timers.begin()->second);
      this->Timers.erase(this->Timers.begin());
      Do();
    }
    this->tickClients();
  }
}

void World::look(
    const std::function<void(const std::vector<ClientFlow> &,
                             const std::vector<std::shared_ptr<ServerRun>> &)>
        &Look) {
  std::lock_guard Lock(this->Mutex);
  Look(this->Flows, this->Servers);
}

} // namespace review
