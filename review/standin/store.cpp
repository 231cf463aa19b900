// The platform's store and the proxy in front of it.

#include "world.hpp"

#include <arpa/inet.h>
#include <cstring>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

using nlohmann::json;

namespace {

// One thread a connection, because watches wait for a long time.
class ThreadPerTask : public httplib::TaskQueue {
public:
  void enqueue(std::function<void()> Task) override {
    std::thread(std::move(Task)).detach();
  }
  void shutdown() override {}
};

std::string base64(const std::string &Bytes) {
  static constexpr char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (size_t I = 0; I < Bytes.size(); I += 3) {
    uint32_t Bits = 0;
    for (size_t J = 0; J < 3; ++J) {
      Bits <<= 8U;
      Bits |=
          I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J]) : 0U;
    }
    for (size_t J = 0; J < 4; ++J) {
      bool IsPadding = I + J > Bytes.size();
      Out.push_back(IsPadding ? '=' : Digits[(Bits >> (18 - 6 * J)) & 63U]);
    }
  }
  return Out;
}

std::string fromBase64(const std::string &Text) {
  std::string Out;
  uint32_t Bits = 0;
  int Count = 0;
  for (char C : Text) {
    int V = -1;
    if (C >= 'A' && C <= 'Z') {
      V = C - 'A';
    } else if (C >= 'a' && C <= 'z') {
      V = C - 'a' + 26;
    } else if (C >= '0' && C <= '9') {
      V = C - '0' + 52;
    } else if (C == '+') {
      V = 62;
    } else if (C == '/') {
      V = 63;
    }
    if (V < 0) {
      continue;
    }
    Bits = (Bits << 6U) | static_cast<uint32_t>(V);
    Count += 6;
    if (Count >= 8) {
      Count -= 8;
      Out.push_back(static_cast<char>((Bits >> Count) & 0xFFU));
    }
  }
  return Out;
}

struct Item {
  std::string Value;
  int64_t Revision = 0;
  int64_t Created = 0;
  int64_t Lease = 0;
};

struct Event {
  std::string Key;
  Item Entry;
  bool IsRemoved = false;
};

struct Lease {
  int64_t TtlMs = 0;
  int64_t EndsAt = 0;
};

} // namespace

struct Store::Impl {
  httplib::Server Http;
  std::thread Thread;
  std::thread Expiry;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::deque<Event> History;
  std::map<int64_t, Lease> Leases;
  int64_t Revision = 100;
  int64_t NextLease = 77000;
  std::atomic<bool> IsStopping{false};

  static json itemJson(const std::string &Key, const Item &Entry) {
    return {{"key", Key},
            {"value", base64(Entry.Value)},
            {"revision", Entry.Revision},
            {"create_revision", Entry.Created},
            {"lease", Entry.Lease}};
  }
  // Preconditions of the functions below: Mutex is held. A transaction's
  // changes have one revision.
  void write(const std::string &Key, const std::string &Value, int64_t Lease) {
    Item &Entry = this->Items[Key];
    Entry.Value = Value;
    Entry.Revision = this->Revision;
    if (Entry.Created == 0) {
      Entry.Created = this->Revision;
    }
    Entry.Lease = Lease;
    this->History.push_back({Key, Entry, false});
  }
  void erase(const std::string &Key) {
    auto It = this->Items.find(Key);
    if (It == this->Items.end()) {
      return;
    }
    Item Removed = It->second;
    Removed.Revision = this->Revision;
    this->Items.erase(It);
    this->History.push_back({Key, Removed, true});
  }
  void endLease(int64_t Id) {
    std::vector<std::string> Keys;
    for (const auto &[Key, Entry] : this->Items) {
      if (Entry.Lease == Id) {
        Keys.push_back(Key);
      }
    }
    this->Leases.erase(Id);
    if (!Keys.empty()) {
      ++this->Revision;
      for (const std::string &Key : Keys) {
        this->erase(Key);
      }
      this->Changed.notify_all();
    }
  }
  void expireLeases() {
    std::vector<int64_t> Ended;
    for (const auto &[Id, Value] : this->Leases) {
      if (Value.EndsAt < nowMs()) {
        Ended.push_back(Id);
      }
    }
    for (int64_t Id : Ended) {
      this->endLease(Id);
    }
  }

  int transaction(const json &Request, json &Answer) {
    std::lock_guard Lock(this->Mutex);
    this->expireLeases();
    json Present = json::array();
    bool Holds = true;
    for (const json &Condition : Request.value("expect", json::array())) {
      std::string Key = Condition.at("key");
      auto It = this->Items.find(Key);
      int64_t Found = It == this->Items.end() ? 0 : It->second.Revision;
      Holds = Holds && Found == Condition.at("revision").get<int64_t>();
      if (It != this->Items.end()) {
        Present.push_back(itemJson(Key, It->second));
      }
    }
    if (!Holds) {
      Answer = {{"items", Present}};
      return 412;
    }
    for (const json &Put : Request.value("puts", json::array())) {
      std::string Key = Put.at("key");
      int64_t Lease = Put.value("lease", int64_t{0});
      if (Key.starts_with("op/") || Key.starts_with("servers/")) {
        return 403;
      }
      if (Lease != 0 && !this->Leases.contains(Lease)) {
        return 404;
      }
    }
    ++this->Revision;
    for (const json &Put : Request.value("puts", json::array())) {
      this->write(Put.at("key"), fromBase64(Put.at("value")),
                  Put.value("lease", int64_t{0}));
    }
    for (const json &Key : Request.value("deletes", json::array())) {
      this->erase(Key.get<std::string>());
    }
    this->Changed.notify_all();
    Answer = {{"revision", this->Revision}};
    return 200;
  }

  int watch(const httplib::Request &Request, json &Answer) {
    std::string Prefix = Request.get_param_value("prefix");
    int64_t After = std::stoll(Request.get_param_value("after"));
    auto Until = Clock::now() +
                 Ms(std::min<int64_t>(
                     30000, std::stoll(Request.get_param_value("wait_ms"))));
    std::unique_lock Lock(this->Mutex);
    while (true) {
      json Events = json::array();
      for (const Event &Value : this->History) {
        if (Value.Entry.Revision <= After || !Value.Key.starts_with(Prefix)) {
          continue;
        }
        if (Value.IsRemoved) {
          Events.push_back({{"key", Value.Key},
                            {"revision", Value.Entry.Revision},
                            {"removed", true}});
        } else {
          Events.push_back(itemJson(Value.Key, Value.Entry));
        }
      }
      if (!Events.empty() || Clock::now() >= Until || this->IsStopping) {
        Answer = {{"events", Events}, {"as_of", this->Revision}};
        return 200;
      }
      this->Changed.wait_until(Lock, Until);
    }
  }
};

Store::Store(Address At) : PImpl(std::make_unique<Impl>()) {
  Impl &I = *this->PImpl;
  I.Http.new_task_queue = [] { return new ThreadPerTask(); };
  I.Http.set_tcp_nodelay(true);
  auto Reply = [](httplib::Response &Response, int Status, const json &Body) {
    Response.status = Status;
    Response.set_content(Body.is_null() ? "{}" : Body.dump(),
                         "application/json");
  };
  I.Http.Get("/bilberrylb/kv-key", [&I, Reply](const httplib::Request &Request,
                                               httplib::Response &Response) {
    std::lock_guard Lock(I.Mutex);
    auto It = I.Items.find(Request.get_param_value("key"));
    if (It == I.Items.end()) {
      Reply(Response, 404, json::object());
      return;
    }
    json Body = Impl::itemJson(It->first, It->second);
    Body["as_of"] = I.Revision;
    Reply(Response, 200, Body);
  });
  I.Http.Get(
      "/bilberrylb/kv-range", [&I, Reply](const httplib::Request &Request,
                                          httplib::Response &Response) {
        std::string Prefix = Request.get_param_value("prefix");
        std::string After = Request.get_param_value("after");
        constexpr size_t PageItems = 500;
        std::lock_guard Lock(I.Mutex);
        json Page = json::array();
        bool HasMore = false;
        for (const auto &[Key, Entry] : I.Items) {
          if (!Key.starts_with(Prefix) || (!After.empty() && Key <= After)) {
            continue;
          }
          if (Page.size() >= PageItems) {
            HasMore = true;
            break;
          }
          Page.push_back(Impl::itemJson(Key, Entry));
        }
        Reply(Response, 200,
              {{"items", Page}, {"has_more", HasMore}, {"as_of", I.Revision}});
      });
  I.Http.Get("/bilberrylb/kv-watch",
             [&I, Reply](const httplib::Request &Request,
                         httplib::Response &Response) {
               json Answer;
               int Status = I.watch(Request, Answer);
               Reply(Response, Status, Answer);
             });
  I.Http.Post("/bilberrylb/kv-txn", [&I, Reply](const httplib::Request &Request,
                                                httplib::Response &Response) {
    json Answer;
    int Status = I.transaction(json::parse(Request.body), Answer);
    Reply(Response, Status, Answer);
  });
  I.Http.Post("/bilberrylb/kv-lease",
              [&I, Reply](const httplib::Request &Request,
                          httplib::Response &Response) {
                int64_t Ttl = json::parse(Request.body).at("ttl_ms");
                std::lock_guard Lock(I.Mutex);
                int64_t Id = ++I.NextLease;
                I.Leases[Id] = {Ttl, nowMs() + Ttl};
                Reply(Response, 200, {{"lease", Id}, {"ttl_ms", Ttl}});
              });
  I.Http.Post(R"(/bilberrylb/kv-keep/(\d+))",
              [&I, Reply](const httplib::Request &Request,
                          httplib::Response &Response) {
                std::lock_guard Lock(I.Mutex);
                I.expireLeases();
                auto It = I.Leases.find(std::stoll(Request.matches[1]));
                if (It == I.Leases.end()) {
                  Reply(Response, 404, json::object());
                  return;
                }
                It->second.EndsAt = nowMs() + It->second.TtlMs;
                Reply(Response, 200, {{"ttl_ms", It->second.TtlMs}});
              });
  I.Http.Delete(R"(/bilberrylb/kv-lease-end/(\d+))",
                [&I, Reply](const httplib::Request &Request,
                            httplib::Response &Response) {
                  std::lock_guard Lock(I.Mutex);
                  int64_t Id = std::stoll(Request.matches[1]);
                  int Status = I.Leases.contains(Id) ? 200 : 404;
                  I.endLease(Id);
                  Reply(Response, Status, json::object());
                });
  if (!I.Http.bind_to_port(ipText(At.Ip).c_str(), At.Port)) {
    throw std::runtime_error("the store's port is in use");
  }
  I.Thread = std::thread([&I] { I.Http.listen_after_bind(); });
  I.Expiry = std::thread([&I] {
    while (!I.IsStopping) {
      std::this_thread::sleep_for(Ms(100));
      std::lock_guard Lock(I.Mutex);
      I.expireLeases();
    }
  });
}

Store::~Store() {
  this->PImpl->IsStopping = true;
  this->PImpl->Changed.notify_all();
  std::this_thread::sleep_for(Ms(200));
  this->PImpl->Http.stop();
  this->PImpl->Thread.join();
  this->PImpl->Expiry.join();
}

int64_t Store::put(const std::string &Key, const std::string &Value) {
  std::lock_guard Lock(this->PImpl->Mutex);
  ++this->PImpl->Revision;
  this->PImpl->write(Key, Value, 0);
  this->PImpl->Changed.notify_all();
  return this->PImpl->Revision;
}

int64_t Store::remove(const std::string &Key) {
  std::lock_guard Lock(this->PImpl->Mutex);
  ++this->PImpl->Revision;
  this->PImpl->erase(Key);
  this->PImpl->Changed.notify_all();
  return this->PImpl->Revision;
}

// The proxy.

static sockaddr_in socketAddress(const Address &At) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_addr.s_addr = htonl(At.Ip);
  Result.sin_port = htons(At.Port);
  return Result;
}

Proxy::Proxy(Address Listen, Address To) : To(To) {
  this->Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(this->Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in At = socketAddress(Listen);
  if (bind(this->Listener, reinterpret_cast<sockaddr *>(&At), sizeof(At)) !=
          0 ||
      listen(this->Listener, 128) != 0) {
    throw std::runtime_error("the proxy's port is in use");
  }
  this->Threads.emplace_back([this] { this->accept(); });
}

Proxy::~Proxy() {
  this->IsStopping = true;
  for (size_t I = 0;; ++I) {
    std::thread Next;
    {
      std::lock_guard Lock(this->Mutex);
      if (I >= this->Threads.size()) {
        break;
      }
      Next = std::move(this->Threads[I]);
    }
    Next.join();
  }
  close(this->Listener);
}

void Proxy::accept() {
  while (!this->IsStopping) {
    pollfd Wait{this->Listener, POLLIN, 0};
    if (poll(&Wait, 1, 50) <= 0) {
      continue;
    }
    int Client = accept4(this->Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Client < 0) {
      continue;
    }
    auto Entry = std::make_shared<Connection>();
    Entry->Client = Client;
    Entry->Server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in At = socketAddress(this->To);
    if (connect(Entry->Server, reinterpret_cast<sockaddr *>(&At), sizeof(At)) !=
        0) {
      close(Entry->Server);
      close(Client);
      continue;
    }
    std::lock_guard Lock(this->Mutex);
    this->Connections.push_back(Entry);
    this->Threads.emplace_back([this, Entry] { this->pump(Entry); });
  }
}

// A silent connection keeps both sockets and forwards nothing.
void Proxy::pump(std::shared_ptr<Connection> Entry) {
  char Buffer[16384];
  bool IsOpen = true;
  while (IsOpen && !this->IsStopping) {
    if (Entry->IsSilent) {
      std::this_thread::sleep_for(Ms(20));
      continue;
    }
    pollfd Wait[2] = {{Entry->Client, POLLIN, 0}, {Entry->Server, POLLIN, 0}};
    if (poll(Wait, 2, 20) <= 0) {
      continue;
    }
    for (int Side = 0; Side < 2 && IsOpen && !Entry->IsSilent; ++Side) {
      if (Wait[Side].revents == 0) {
        continue;
      }
      ssize_t Size = recv(Wait[Side].fd, Buffer, sizeof(Buffer), 0);
      IsOpen =
          Size > 0 && send(Wait[1 - Side].fd, Buffer, static_cast<size_t>(Size),
                           MSG_NOSIGNAL) == Size;
    }
  }
  Entry->IsDone = true;
  close(Entry->Client);
  close(Entry->Server);
}

int Proxy::silenceOpenConnections() {
  std::lock_guard Lock(this->Mutex);
  int Count = 0;
  for (const auto &Entry : this->Connections) {
    if (!Entry->IsDone && !Entry->IsSilent) {
      Entry->IsSilent = true;
      ++Count;
    }
  }
  return Count;
}

} // namespace review
