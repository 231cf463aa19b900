#include "world.hpp"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <random>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

static const Clock::time_point Start = Clock::now();

double now() {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

void sleepUntil(double Time) {
  while (now() < Time) {
    std::this_thread::sleep_for(std::chrono::duration<double>(
        std::min(0.05, std::max(0.0005, Time - now()))));
  }
}

int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

static std::mutex RecordMutex;
static std::ofstream RecordFile;

void openRecord(const std::string &Path) { RecordFile.open(Path); }

void record(const std::string &Line) {
  std::lock_guard Lock(RecordMutex);
  char Time[32];
  snprintf(Time, sizeof(Time), "%8.3f ", now());
  RecordFile << Time << Line << std::endl;
}

uint32_t parseIp(const std::string &Text) {
  in_addr A{};
  inet_pton(AF_INET, Text.c_str(), &A);
  return ntohl(A.s_addr);
}

std::string ipText(uint32_t Ip) {
  in_addr A{htonl(Ip)};
  char Text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &A, Text, sizeof(Text));
  return Text;
}

// Draws the second byte of the trial's addresses. A socket that stays bound
// keeps other trials off it.
static int drawNetwork() {
  for (int I = 0; I < 200; ++I) {
    int N = 20 + static_cast<int>((getpid() + I) % 200);
    int Lock = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in A{};
    A.sin_family = AF_INET;
    A.sin_port = htons(Ports::Store);
    A.sin_addr.s_addr =
        htonl((127U << 24U) | (static_cast<uint32_t>(N) << 16U) | 9U);
    if (bind(Lock, reinterpret_cast<sockaddr *>(&A), sizeof(A)) == 0) {
      return N;
    }
    close(Lock);
  }
  std::cerr << "no free addresses\n";
  _exit(2);
}

uint32_t machine(int A, int B) {
  static const int N = drawNetwork();
  return (127U << 24U) | (static_cast<uint32_t>(N) << 16U) |
         (static_cast<uint32_t>(A) << 8U) | static_cast<uint32_t>(B);
}

static sockaddr_in toSocketAddress(Endpoint E) {
  sockaddr_in A{};
  A.sin_family = AF_INET;
  A.sin_addr.s_addr = htonl(E.Ip);
  A.sin_port = htons(E.Port);
  return A;
}

static int bindUdp(Endpoint At) {
  int Socket = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  sockaddr_in A = toSocketAddress(At);
  if (Socket < 0 ||
      bind(Socket, reinterpret_cast<sockaddr *>(&A), sizeof(A)) != 0) {
    std::cerr << "cannot bind " << ipText(At.Ip) << ":" << At.Port << "\n";
    _exit(2);
  }
  timeval Timeout{0, 50000};
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
  return Socket;
}

static void sendUdp(int Socket, Endpoint To, const std::string &Bytes) {
  sockaddr_in A = toSocketAddress(To);
  (void)sendto(Socket, Bytes.data(), Bytes.size(), 0,
               reinterpret_cast<sockaddr *>(&A), sizeof(A));
}

// Packets.

static void put32(std::string &S, size_t At, uint32_t V) {
  V = htonl(V);
  memcpy(&S[At], &V, 4);
}
static void put16(std::string &S, size_t At, uint16_t V) {
  V = htons(V);
  memcpy(&S[At], &V, 2);
}
static uint32_t get32(const std::string &S, size_t At) {
  uint32_t V;
  memcpy(&V, &S[At], 4);
  return ntohl(V);
}
static uint16_t get16(const std::string &S, size_t At) {
  uint16_t V;
  memcpy(&V, &S[At], 2);
  return ntohs(V);
}

static std::string layOut(const Packet &P) {
  std::string S(32, '\0');
  put32(S, 0, P.Echo);
  put32(S, 4, P.Seq);
  put32(S, 8, P.AckSeq);
  put16(S, 12, static_cast<uint16_t>(P.Data.size()));
  put32(S, 14, P.Sum);
  S[18] = static_cast<char>(P.Flags);
  S[19] = static_cast<char>(P.Pad);
  put32(S, 20, P.Src.Ip);
  put16(S, 24, P.Dst.Port);
  put16(S, 26, P.Src.Port);
  put32(S, 28, P.Dst.Ip);
  return S + P.Data;
}

// A keyed sum over all fields but echo, pad and BOUNCED.
static uint32_t sumOf(Packet P) {
  P.Echo = P.Sum = 0;
  P.Pad = 0;
  P.Flags &= static_cast<uint8_t>(~Bounced);
  uint32_t Hash = 0x5EED1E55;
  for (unsigned char C : layOut(P)) {
    Hash = (Hash ^ C) * 16777619U;
  }
  return Hash == 0 ? 1 : Hash;
}

std::string encode(Packet P) {
  P.Sum = sumOf(P);
  return layOut(P);
}

bool decode(const std::string &S, Packet &P) {
  if (S.size() < 32 || S.size() != 32U + get16(S, 12)) {
    return false;
  }
  P.Echo = get32(S, 0);
  P.Seq = get32(S, 4);
  P.AckSeq = get32(S, 8);
  P.Sum = get32(S, 14);
  P.Flags = static_cast<uint8_t>(S[18]);
  P.Pad = static_cast<uint8_t>(S[19]);
  P.Src = {get32(S, 20), get16(S, 26)};
  P.Dst = {get32(S, 28), get16(S, 24)};
  P.Data = S.substr(32);
  return true;
}

bool hasValidSum(const Packet &P) { return P.Sum == sumOf(P); }

// The store.

struct Store::Impl {
  struct Item {
    std::string Value; // base64
    int64_t Revision = 0, Created = 0, Lease = 0;
  };
  struct Event {
    std::string Key;
    Item Value;
    bool Removed = false;
    int64_t Revision = 0;
  };
  struct Lease {
    double Ttl = 0, EndsAt = 0;
  };
  uint32_t Ip = 0;
  std::mutex M;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::vector<Event> Log;
  std::map<int64_t, Lease> Leases;
  int64_t Revision = 10, NextLease = 1000;
  std::atomic<bool> Stop{false};
  std::atomic<double> WatchLimit{3600};
  httplib::Server Http;
  std::thread Listener, Expiry;

  void removeKey(const std::string &Key) {
    if (Items.erase(Key) > 0) {
      Log.push_back({Key, {}, true, ++Revision});
    }
  }
  void endLease(int64_t Id) {
    Leases.erase(Id);
    std::vector<std::string> Keys;
    for (auto &[Key, Value] : Items) {
      if (Value.Lease == Id) {
        Keys.push_back(Key);
      }
    }
    for (auto &Key : Keys) {
      removeKey(Key);
    }
  }
  void write(const std::string &Key, const std::string &Value, int64_t Lease) {
    Item &I = Items[Key];
    I.Revision = ++Revision;
    I.Created = I.Created == 0 ? Revision : I.Created;
    I.Value = Value;
    I.Lease = Lease;
    Log.push_back({Key, I, false, Revision});
  }
  static json itemJson(const std::string &Key, const Item &I) {
    return {{"key", Key},
            {"value", I.Value},
            {"revision", I.Revision},
            {"create_revision", I.Created},
            {"lease", I.Lease}};
  }
  static void answer(httplib::Response &R, int Status, const json &Body) {
    R.status = Status;
    R.set_content(Body.dump(), "application/json");
  }
};

static std::string base64(const std::string &In) {
  static const char T[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (size_t I = 0; I < In.size(); I += 3) {
    uint32_t V = static_cast<unsigned char>(In[I]) << 16U;
    if (I + 1 < In.size()) {
      V |= static_cast<unsigned char>(In[I + 1]) << 8U;
    }
    if (I + 2 < In.size()) {
      V |= static_cast<unsigned char>(In[I + 2]);
    }
    Out += T[V >> 18U];
    Out += T[(V >> 12U) & 63U];
    Out += I + 1 < In.size() ? T[(V >> 6U) & 63U] : '=';
    Out += I + 2 < In.size() ? T[V & 63U] : '=';
  }
  return Out;
}

Store::Store(uint32_t Ip, size_t Threads) : I(std::make_unique<Impl>()) {
  Impl &S = *I;
  S.Ip = Ip;
  S.Http.new_task_queue = [Threads] {
    return new httplib::ThreadPool(Threads);
  };
  S.Http.set_tcp_nodelay(true);
  S.Http.Get("/bilberrylb/kv-key",
             [&S](const httplib::Request &Q, httplib::Response &R) {
               std::lock_guard Lock(S.M);
               auto It = S.Items.find(Q.get_param_value("key"));
               if (It == S.Items.end()) {
                 return Impl::answer(R, 404, json::object());
               }
               json Body = Impl::itemJson(It->first, It->second);
               Body["as_of"] = S.Revision;
               Impl::answer(R, 200, Body);
             });
  S.Http.Get("/bilberrylb/kv-range", [&S](const httplib::Request &Q,
                                          httplib::Response &R) {
    std::lock_guard Lock(S.M);
    std::string Prefix = Q.get_param_value("prefix");
    std::string After = Q.get_param_value("after");
    json Found = json::array();
    bool HasMore = false;
    for (auto It = S.Items.lower_bound(Prefix);
         It != S.Items.end() && It->first.starts_with(Prefix); ++It) {
      if (!After.empty() && It->first <= After) {
        continue;
      }
      if (Found.size() == 500) {
        HasMore = true;
        break;
      }
      Found.push_back(Impl::itemJson(It->first, It->second));
    }
    Impl::answer(
        R, 200,
        {{"items", Found}, {"has_more", HasMore}, {"as_of", S.Revision}});
  });
  S.Http.Get("/bilberrylb/kv-watch", [&S](const httplib::Request &Q,
                                          httplib::Response &R) {
    std::string Prefix = Q.get_param_value("prefix");
    int64_t After = std::stoll(Q.get_param_value("after"));
    double End = now() + std::stod(Q.get_param_value("wait_ms")) / 1000;
    double CutAt = now() + S.WatchLimit;
    std::unique_lock Lock(S.M);
    while (true) {
      json Events = json::array();
      for (auto It = S.Log.rbegin(); It != S.Log.rend() && It->Revision > After;
           ++It) {
        if (!It->Key.starts_with(Prefix)) {
          continue;
        }
        Events.insert(Events.begin(), It->Removed
                                          ? json{{"key", It->Key},
                                                 {"revision", It->Revision},
                                                 {"removed", true}}
                                          : Impl::itemJson(It->Key, It->Value));
      }
      if (Events.empty() && now() >= CutAt) {
        return Impl::answer(R, 503, json::object());
      }
      if (!Events.empty() || now() >= End || S.Stop) {
        return Impl::answer(R, 200,
                            {{"events", Events}, {"as_of", S.Revision}});
      }
      S.Changed.wait_for(Lock, std::chrono::milliseconds(100));
    }
  });
  S.Http.Post("/bilberrylb/kv-txn", [&S](const httplib::Request &Q,
                                         httplib::Response &R) {
    json Body = json::parse(Q.body);
    std::lock_guard Lock(S.M);
    json Conflicts = json::array();
    bool IsMet = true;
    for (const json &Row : Body["expect"]) {
      std::string Key = Row["key"];
      auto It = S.Items.find(Key);
      int64_t Present = It == S.Items.end() ? 0 : It->second.Revision;
      IsMet = IsMet && Present == Row["revision"].get<int64_t>();
      if (It != S.Items.end()) {
        Conflicts.push_back(Impl::itemJson(Key, It->second));
      }
    }
    if (!IsMet) {
      return Impl::answer(R, 412, {{"items", Conflicts}});
    }
    for (const json &Put : Body["puts"]) {
      int64_t Lease = Put.value("lease", int64_t{0});
      if (Lease != 0 && !S.Leases.contains(Lease)) {
        return Impl::answer(R, 404, json::object());
      }
    }
    for (const json &Put : Body["puts"]) {
      std::string Key = Put["key"];
      if (Key.starts_with("op/") || Key.starts_with("servers/")) {
        return Impl::answer(R, 403, json::object());
      }
      S.write(Key, Put["value"], Put.value("lease", int64_t{0}));
    }
    for (const json &Key : Body["deletes"]) {
      S.removeKey(Key);
    }
    S.Changed.notify_all();
    Impl::answer(R, 200, {{"revision", S.Revision}});
  });
  S.Http.Post("/bilberrylb/kv-lease", [&S](const httplib::Request &Q,
                                           httplib::Response &R) {
    int64_t Ttl = std::max<int64_t>(1000, json::parse(Q.body)["ttl_ms"]);
    std::lock_guard Lock(S.M);
    int64_t Id = ++S.NextLease;
    S.Leases[Id] = {static_cast<double>(Ttl) / 1000,
                    now() + static_cast<double>(Ttl) / 1000};
    Impl::answer(R, 200, {{"lease", Id}, {"ttl_ms", Ttl}});
  });
  S.Http.Post(R"(/bilberrylb/kv-keep/(\d+))", [&S](const httplib::Request &Q,
                                                   httplib::Response &R) {
    std::lock_guard Lock(S.M);
    auto It = S.Leases.find(std::stoll(Q.matches[1]));
    if (It == S.Leases.end()) {
      return Impl::answer(R, 404, json::object());
    }
    It->second.EndsAt = now() + It->second.Ttl;
    Impl::answer(R, 200,
                 {{"ttl_ms", static_cast<int64_t>(It->second.Ttl * 1000)}});
  });
  S.Http.Delete(R"(/bilberrylb/kv-lease-end/(\d+))",
                [&S](const httplib::Request &Q, httplib::Response &R) {
                  std::lock_guard Lock(S.M);
                  S.endLease(std::stoll(Q.matches[1]));
                  S.Changed.notify_all();
                  Impl::answer(R, 200, json::object());
                });
  if (!S.Http.bind_to_port(ipText(Ip), Ports::Store)) {
    std::cerr << "cannot bind the store\n";
    _exit(2);
  }
  S.Listener = std::thread([&S] { S.Http.listen_after_bind(); });
  S.Expiry = std::thread([&S] {
    while (!S.Stop) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      std::lock_guard Lock(S.M);
      std::vector<int64_t> Ended;
      for (auto &[Id, L] : S.Leases) {
        if (now() > L.EndsAt) {
          Ended.push_back(Id);
        }
      }
      for (int64_t Id : Ended) {
        S.endLease(Id);
      }
      if (!Ended.empty()) {
        S.Changed.notify_all();
      }
    }
  });
}

Store::~Store() {
  I->Stop = true;
  I->Changed.notify_all();
  I->Http.stop();
  I->Listener.join();
  I->Expiry.join();
}

void Store::put(const std::string &Key, const std::string &Value) {
  std::lock_guard Lock(I->M);
  I->write(Key, base64(Value), 0);
  I->Changed.notify_all();
  record("operator: put " + Key);
}

void Store::cutWatchesAfter(double Seconds) { I->WatchLimit = Seconds; }

// Programs.

Program::Program(std::string Name, std::string Binary, std::string Settings,
                 std::string Folder)
    : Name(std::move(Name)), Binary(std::move(Binary)),
      SettingsPath(Folder + "/" + this->Name + ".ini"),
      LogPath(Folder + "/" + this->Name + ".log") {
  std::ofstream(SettingsPath) << Settings;
}

Program::~Program() {
  if (Pid > 0) {
    kill(Pid, SIGCONT);
    kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
  }
  StopCollecting = true;
  if (Collector.joinable()) {
    Collector.join();
  }
}

// Reads the output of the program until it is told to stop.
void Program::collect(int Pipe) {
  std::ofstream Log(LogPath, std::ios::app);
  char Buffer[4096];
  while (!StopCollecting) {
    pollfd Ready{Pipe, POLLIN, 0};
    if (!*CollectorReads || ::poll(&Ready, 1, 50) <= 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      continue;
    }
    ssize_t Size = read(Pipe, Buffer, sizeof(Buffer));
    if (Size <= 0) {
      break;
    }
    Log.write(Buffer, Size);
  }
  close(Pipe);
}

void Program::start() {
  int Parent = getpid();
  int Pipe[2] = {-1, -1};
  if (CollectorReads != nullptr && pipe2(Pipe, O_CLOEXEC) != 0) {
    std::cerr << "cannot create a pipe\n";
    _exit(2);
  }
  Pid = fork();
  if (Pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != Parent) {
      _exit(1);
    }
    int Log = Pipe[1] >= 0
                  ? Pipe[1]
                  : open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Log, 1);
    dup2(Log, 2);
    execl(Binary.c_str(), Binary.c_str(), "--settings", SettingsPath.c_str(),
          static_cast<char *>(nullptr));
    _exit(127);
  }
  record("platform: start " + Name);
  if (Pipe[1] >= 0) {
    close(Pipe[1]);
    // The collector of the run before may be paused.
    StopCollecting = true;
    if (Collector.joinable()) {
      Collector.join();
    }
    StopCollecting = false;
    Collector = std::thread([this, End = Pipe[0]] { collect(End); });
  }
}

void Program::signal(int Number) {
  record("platform: signal " + std::to_string(Number) + " to " + Name);
  kill(Pid, Number);
}

bool Program::waitForEnd(double Limit) {
  double End = now() + Limit;
  while (now() < End) {
    if (waitpid(Pid, nullptr, WNOHANG) == Pid) {
      Pid = -1;
      record("platform: " + Name + " has ended");
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
  Pid = -1;
  record("platform: " + Name + " was killed after its grace period");
  return false;
}

bool Program::isRunning() {
  if (Pid > 0 && waitpid(Pid, nullptr, WNOHANG) == Pid) {
    Pid = -1;
  }
  return Pid > 0;
}

// Servers.

int sendBeat(uint32_t AgentIp, const std::string &Id, const std::string &Body,
             double Timeout) {
  httplib::Client C(ipText(AgentIp), Ports::Control);
  auto Limit = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::duration<double>(Timeout));
  C.set_connection_timeout(Limit);
  C.set_read_timeout(Limit);
  C.set_tcp_nodelay(true);
  auto R = C.Put("/bilberrylb/instances/" + Id, Body, "application/json");
  return R ? R->status : -1;
}

int getStatus(uint32_t Ip, uint16_t Port, const std::string &Path) {
  httplib::Client C(ipText(Ip), Port);
  C.set_connection_timeout(std::chrono::milliseconds(400));
  C.set_read_timeout(std::chrono::milliseconds(400));
  auto R = C.Get(Path);
  return R ? R->status : -1;
}

Server::Server(Options Values) : O(std::move(Values)), Born(unixMs()) {
  Socket = bindUdp({O.Ip, Ports::App});
  record("server " + O.Id + ": started at " + ipText(O.Ip) + ", born " +
         std::to_string(Born));
  Receiver = std::thread([this] { receive(); });
  Beater = std::thread([this] { beat(); });
}

Server::~Server() { crash(); }

void Server::crash() {
  if (Socket < 0) {
    return;
  }
  Stop = true;
  Receiver.join();
  Beater.join();
  close(Socket);
  Socket = -1;
  record("server " + O.Id + ": ended");
}

void Server::setNextBeat(double At) { NextBeat = At; }

std::string Server::beatBody(uint64_t Sequence, bool WithBorn) const {
  json Body = {{"service", O.Service},
               {"address", ipText(O.Ip) + ":" + std::to_string(Ports::App)},
               {"zone", O.Zone},
               {"version", "v1"},
               {"slots", O.Slots},
               {"state", "ready"},
               {"warmup_left_ms", 0},
               {"seq", Sequence}};
  if (WithBorn) {
    Body["born"] = Born;
  }
  return Body.dump();
}

void Server::beat() {
  while (!Stop) {
    if (now() >= NextBeat) {
      NextBeat = now() + O.BeatEvery;
      uint64_t Number = ++Seq;
      int Status = sendBeat(O.Ip, O.Id, beatBody(Number));
      if (Status / 100 == 2) {
        LastAcked = now();
      }
      record("server " + O.Id + ": heartbeat seq " + std::to_string(Number) +
             " -> " + std::to_string(Status));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

void Server::receive() {
  std::vector<std::tuple<double, Packet, std::string>> Waiting;
  char Buffer[4096];
  while (!Stop) {
    ssize_t Size = recv(Socket, Buffer, sizeof(Buffer),
                        Waiting.empty() ? 0 : MSG_DONTWAIT);
    if (Size > 0) {
      Packet P;
      std::string Bytes(Buffer, static_cast<size_t>(Size));
      if (decode(Bytes, P)) {
        Waiting.emplace_back(now() + Slow, P, Bytes);
      }
    } else if (!Waiting.empty()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    while (!Waiting.empty() && now() >= std::get<0>(Waiting.front())) {
      handle(std::get<1>(Waiting.front()), std::get<2>(Waiting.front()));
      Waiting.erase(Waiting.begin());
    }
  }
}

static std::string flowText(Endpoint Client, Endpoint Route) {
  return ipText(Client.Ip) + ":" + std::to_string(Client.Port) + ">" +
         ipText(Route.Ip) + ":" + std::to_string(Route.Port);
}

void Server::send(const Packet &P) {
  sendUdp(Socket, {O.Ip, Ports::Outbound}, encode(P));
}

void Server::handle(Packet P, const std::string &Bytes) {
  if (!hasValidSum(P) || (P.Flags & Bounced) != 0) {
    ++Invalid;
    record("server " + O.Id + ": packet that no client wrote");
    return;
  }
  if (OnPacket) {
    OnPacket(P);
  }
  std::lock_guard Lock(M);
  auto Key = std::pair(P.Src, P.Dst);
  auto It = Flows.find(Key);
  if ((P.Flags & Syn) != 0 && (P.Flags & Ack) == 0) {
    Flow &F = Flows[Key];
    if (F.MySeq == 0 || F.Next != P.Seq + 1) {
      F = Flow();
      F.MySeq = static_cast<uint32_t>(std::random_device()()) | 1U;
      F.Next = P.Seq + 1;
    }
    Packet A;
    A.Seq = F.MySeq;
    A.AckSeq = F.Next;
    A.Flags = Syn | Ack;
    A.Src = P.Dst;
    A.Dst = P.Src;
    send(A);
    return;
  }
  bool IsHeld = It != Flows.end() &&
                (It->second.IsOpen || P.AckSeq - It->second.MySeq - 1 <= 76800);
  if (!IsHeld) {
    ++Bounces[Key];
    std::string Back = Bytes;
    Back[18] = static_cast<char>(P.Flags | Bounced);
    Back[19] = 0;
    record("server " + O.Id + ": bounces a packet of " +
           flowText(P.Src, P.Dst));
    sendUdp(Socket, {O.Ip, Ports::Outbound}, Back);
    return;
  }
  Flow &F = It->second;
  if (!F.IsOpen) {
    F.IsOpen = true;
    record("server " + O.Id + ": has the end of the handshake of " +
           flowText(P.Src, P.Dst));
  }
  if ((P.Flags & Fin) != 0) {
    Packet End;
    // A flow that has ended gets an ACK for a further FIN.
    End.Flags = F.HasEnded ? Ack : Fin | Ack;
    End.Seq = F.LastAnswerSeq + static_cast<uint32_t>(F.LastAnswer.size());
    End.AckSeq = P.Seq + 1;
    End.Src = P.Dst;
    End.Dst = P.Src;
    F.HasEnded = true;
    send(End);
    return;
  }
  if (P.Data.empty()) {
    return;
  }
  Packet A;
  A.Flags = Ack;
  A.Src = P.Dst;
  A.Dst = P.Src;
  if (P.Seq == F.Next) {
    F.Next += static_cast<uint32_t>(P.Data.size());
    ++Runs[P.Data];
    ++RunsByRoute[P.Dst];
    F.LastAnswer = "answer by " + O.Id + " to " + P.Data;
    F.LastAnswerSeq = P.AckSeq;
    record("server " + O.Id + ": runs " + P.Data);
  }
  A.AckSeq = F.Next;
  A.Seq = F.LastAnswerSeq;
  A.Data = F.LastAnswer;
  send(A);
}

bool Server::holds(const Endpoint &Client, const Endpoint &Route) {
  std::lock_guard Lock(M);
  auto It = Flows.find({Client, Route});
  return !Stop && It != Flows.end() && It->second.IsOpen;
}

std::map<std::string, int> Server::runs() {
  std::lock_guard Lock(M);
  return Runs;
}

std::map<Endpoint, int> Server::runsByRoute() {
  std::lock_guard Lock(M);
  return RunsByRoute;
}

std::map<std::pair<Endpoint, Endpoint>, int> Server::bounced() {
  std::lock_guard Lock(M);
  return Bounces;
}

// Clients.

Clients::Clients(uint32_t Ip) : Ip(Ip) {
  Socket = bindUdp({Ip, Ports::Datagram});
  Receiver = std::thread([this] { receive(); });
  Poller = std::thread([this] { poll(); });
}

Clients::~Clients() {
  Stop = true;
  Receiver.join();
  Poller.join();
  close(Socket);
}

void Clients::setNodes(std::vector<uint32_t> Values) {
  std::lock_guard Lock(M);
  Nodes = std::move(Values);
}

void Clients::poll() {
  while (!Stop) {
    std::vector<uint32_t> All;
    {
      std::lock_guard Lock(M);
      All = Nodes;
    }
    for (uint32_t Node : All) {
      int Status = getStatus(Node, Ports::Ready, "/bilberrylb/ready");
      std::lock_guard Lock(M);
      Misses[Node] = Status == 200 ? 0 : Misses[Node] + 1;
      bool Was = WasReady[Node];
      if (Status == 200) {
        WasReady[Node] = true;
      } else if (Misses[Node] >= 2) {
        WasReady[Node] = false;
      }
      if (Was != WasReady[Node]) {
        record("router: " + ipText(Node) +
               (Was ? " out of rotation" : " in rotation"));
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
  }
}

std::vector<uint32_t> Clients::inRotation() {
  std::lock_guard Lock(M);
  std::vector<uint32_t> Ready;
  for (uint32_t Node : Nodes) {
    if (WasReady[Node]) {
      Ready.push_back(Node);
    }
  }
  return Ready.size() * 2 < Nodes.size() ? Nodes : Ready;
}

void Clients::route(const Packet &P) {
  std::vector<uint32_t> Ready = inRotation();
  if (Ready.empty()) {
    return;
  }
  uint32_t Hash = P.Src.Ip * 31 + P.Src.Port + P.Dst.Ip * 17 + P.Dst.Port * 13;
  sendUdp(Socket, {Ready[Hash % Ready.size()], Ports::Datagram}, encode(P));
}

void Clients::send(FlowState &F, uint8_t Flags, const std::string &Data,
                   uint32_t SynCopy) {
  Packet P;
  P.Seq = F.Seq;
  P.AckSeq = (Flags & Syn) != 0 ? SynCopy : F.AckSeq;
  P.Flags = Flags;
  P.Src = F.Client;
  P.Dst = F.Route;
  P.Data = Data;
  F.LastPacketAt = now();
  route(P);
}

Clients::Flow Clients::open(Endpoint Route) {
  auto F = std::make_shared<FlowState>();
  {
    std::lock_guard Lock(M);
    F->Client = {Ip, NextPort++};
    F->Route = Route;
    F->Seq = static_cast<uint32_t>(std::random_device()());
    Flows[{F->Client, F->Route}] = F;
  }
  const double At[] = {0, 0.2, 0.6, 1.4};
  double Begin = now();
  for (uint32_t I = 0; I < 3; ++I) {
    send(*F, Syn, "", I);
    std::unique_lock Lock(M);
    Changed.wait_for(Lock,
                     std::chrono::duration<double>(
                         std::max(0.001, Begin + At[I + 1] - now())),
                     [&] { return F->IsOpen || F->IsReset; });
    if (F->IsReset) {
      return nullptr;
    }
    if (F->IsOpen) {
      Lock.unlock();
      send(*F, Ack, "");
      record("client: opened " + flowText(F->Client, F->Route));
      return F;
    }
  }
  return nullptr;
}

bool Clients::request(const Flow &F, const std::string &Id, double Timeout) {
  double End = now() + Timeout;
  {
    std::lock_guard Lock(M);
    if (F->IsReset) {
      return false;
    }
    F->Awaited = Id;
    F->HasAnswer = false;
  }
  double Delay = 0.2;
  bool IsFirst = true;
  while (now() < End) {
    record("client: " + std::string(IsFirst ? "sends " : "repeats ") + Id +
           " on " + flowText(F->Client, F->Route));
    IsFirst = false;
    send(*F, Ack, Id);
    std::unique_lock Lock(M);
    Changed.wait_for(Lock,
                     std::chrono::duration<double>(
                         std::min(Delay, std::max(0.001, End - now()))),
                     [&] { return F->HasAnswer || F->IsReset; });
    if (F->HasAnswer) {
      F->Seq += static_cast<uint32_t>(Id.size());
      F->AckSeq += static_cast<uint32_t>(F->Answer.size());
      Lock.unlock();
      send(*F, Ack, "");
      record("client: answered " + Id);
      return true;
    }
    if (F->IsReset) {
      record("client: " + Id + " ended by a reset");
      return false;
    }
    Delay = std::min(1.6, Delay * 2);
  }
  record("client: no answer to " + Id);
  return false;
}

void Clients::finish(const Flow &F) {
  send(*F, Fin | Ack, "");
  F->Seq += 1;
}

void Clients::receive() {
  char Buffer[4096];
  // Answers to FINs; sent without the lock.
  std::vector<Packet> ToSend;
  while (!Stop) {
    for (const Packet &Last : ToSend) {
      route(Last);
    }
    ToSend.clear();
    ssize_t Size = recv(Socket, Buffer, sizeof(Buffer), 0);
    Packet P;
    if (Size <= 0 ||
        !decode(std::string(Buffer, static_cast<size_t>(Size)), P)) {
      continue;
    }
    std::lock_guard Lock(M);
    auto It = Flows.find({P.Dst, P.Src});
    if (It == Flows.end()) {
      ++Foreign;
      record("client: packet of an unknown flow");
      continue;
    }
    FlowState &F = *It->second;
    if ((P.Flags & Rst) != 0) {
      bool IsSystems = P.Sum == 0 && P.Data.empty();
      bool IsNear = P.Seq - F.AckSeq + 76800 <= 2 * 76800;
      record("client: reset of " + flowText(P.Dst, P.Src) +
             (IsSystems ? " by the system" : " by the server") +
             (F.IsOpen && !IsNear ? ", ignored: seq is too far" : ""));
      if (!F.IsOpen || IsNear) {
        F.IsReset = true;
        F.ResetAt = now();
        Changed.notify_all();
      }
      continue;
    }
    if (!hasValidSum(P)) {
      ++Foreign;
      record("client: packet that no server wrote");
      continue;
    }
    if ((P.Flags & Syn) != 0) {
      if (!F.IsOpen && P.AckSeq == F.Seq + 1) {
        F.IsOpen = true;
        F.OpenedAt = now();
        F.Seq += 1;
        F.AckSeq = P.Seq + 1;
        Changed.notify_all();
      }
      continue;
    }
    if ((P.Flags & Fin) != 0) {
      F.AckSeq = P.Seq + 1;
      Packet Last;
      Last.Seq = F.Seq;
      Last.AckSeq = F.AckSeq;
      Last.Flags = Ack;
      Last.Src = F.Client;
      Last.Dst = F.Route;
      ToSend.push_back(Last);
      continue;
    }
    if (!P.Data.empty() && P.Seq == F.AckSeq && !F.HasAnswer) {
      F.Answer = P.Data;
      F.HasAnswer = true;
      if (!P.Data.ends_with(" to " + F.Awaited)) {
        ++Foreign;
        record("client: wrong answer: " + P.Data);
      }
      Changed.notify_all();
    }
  }
}

// Settings.

static std::string port(uint32_t Ip, uint16_t Port) {
  return ipText(Ip) + ":" + std::to_string(Port);
}

static std::string commonSettings(const std::string &Name,
                                  const std::string &Zone, uint32_t Ip) {
  return "[process]\nname = " + Name + "\ndata-centre = " + Zone + "\n";
}

static std::string listenSettings(uint32_t Ip) {
  return "\n[listen]\nip = " + ipText(Ip) +
         "\ncallers = " + port(Ip, Ports::Datagram) +
         "\nhealth = " + port(Ip, Ports::Ready) +
         "\nfirst-port = " + std::to_string(Ports::Internal) + "\n";
}

std::string balancerSettings(const std::string &Name, const std::string &Zone,
                             uint32_t Ip, uint32_t StoreIp) {
  return commonSettings(Name, Zone, Ip) + listenSettings(Ip) +
         "\n[placement]\npolicy = even\nweigh-by-service-time = yes\n"
         "\n[overload]\nrefuse-early = yes\ncallers-take-turns = yes\n"
         "\n[store]\naddress = " +
         port(StoreIp, Ports::Store) + "\n";
}

std::string agentSettings(const std::string &Name, const std::string &Zone,
                          uint32_t Ip, const std::string &Service,
                          uint32_t StoreIp) {
  return commonSettings(Name, Zone, Ip) + "stop-grace = 6\n" +
         listenSettings(Ip) + "heartbeats = " + port(Ip, Ports::Control) +
         "\nfrom-upstream = " + port(Ip, Ports::Outbound) +
         "\n\n[upstream]\naddress = " + port(Ip, Ports::App) +
         "\nservice = " + Service +
         "\ncold-factor = 1.5\ncold-tolerance = 5\nflap-damping = yes\n"
         "\n[store]\naddress = " +
         port(StoreIp, Ports::Store) + "\n";
}

std::string
configuration(uint64_t Version,
              const std::vector<std::pair<std::string, std::string>> &Routes,
              const std::vector<std::string> &Services) {
  json Body = {{"version", Version},
               {"routes", json::array()},
               {"services", json::array()},
               {"limits", {{"idle_timeout_ms", 15000}}}};
  for (auto &[Host, Service] : Routes) {
    Body["routes"].push_back({{"name", "r-" + Service},
                              {"host", Host},
                              {"prefix", "/8443/"},
                              {"type", "safe"},
                              {"timeout_ms", 2500},
                              {"target_latency_ms", 250},
                              {"priority", 2},
                              {"service", Service},
                              {"max_attempts", 2}});
  }
  for (auto &Service : Services) {
    Body["services"].push_back({{"name", Service},
                                {"max_connections", 2000},
                                {"warmup_per_s", 42.0},
                                {"health_path", "/health"}});
  }
  return Body.dump();
}

} // namespace review
