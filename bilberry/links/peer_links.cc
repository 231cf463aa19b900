#include "bilberry/links/peer_links.h"

#include "bilberry/wire/codec.h"

#include <mutex>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <utility>
#include <vector>

namespace bilberry::links {

// Messages that wait for a peer before more are dropped.
static constexpr int SendQueueMessages = 1024;
static constexpr int ReceiveQueueMessages = 4096;
static constexpr nng_duration MinReconnectMilliseconds = 50;
static constexpr nng_duration MaxReconnectMilliseconds = 1000;

static std::string url(const base::Address &At) {
  return "tcp://" + base::addressText(At);
}

PeerLinks::PeerLinks(const board::LocalMember &Self) : Self(Self) {}

PeerLinks::~PeerLinks() {
  for (auto &[At, Item] : this->Links) {
    nng_close(Item.Push);
  }
  if (nng_socket_id(this->Pull) > 0) {
    nng_close(this->Pull);
  }
}

static base::Error nngError(const std::string &What, int Code) {
  return {base::ErrorCode::System, What + ": " + nng_strerror(Code)};
}

base::Result<void> PeerLinks::listen(const base::Address &At) {
  if (int Code = nng_pull0_open(&this->Pull); Code != 0) {
    return nngError("open a pull socket", Code);
  }
  nng_socket_set_int(this->Pull, NNG_OPT_RECVBUF, ReceiveQueueMessages);
  nng_socket_set_size(this->Pull, NNG_OPT_RECVMAXSZ, wire::MaxPeerMessageBytes);
  if (int Code = nng_listen(this->Pull, url(At).c_str(), nullptr, 0);
      Code != 0) {
    return nngError("listen on " + base::addressText(At), Code);
  }
  if (int Code = nng_socket_get_int(this->Pull, NNG_OPT_RECVFD, &this->PullFd);
      Code != 0) {
    return nngError("get the receive descriptor", Code);
  }
  return boost::outcome_v2::success();
}

std::optional<wire::PeerMessage> PeerLinks::receive(base::TimePoint Now) {
  while (true) {
    char *Bytes = nullptr;
    size_t Size = 0;
    if (nng_recv(this->Pull, &Bytes, &Size,
                 NNG_FLAG_NONBLOCK | NNG_FLAG_ALLOC) != 0) {
      return std::nullopt;
    }
    base::Result<wire::PeerMessage> Message =
        wire::parsePeerMessage({Bytes, Size});
    nng_free(Bytes, Size);
    members::Member Local = this->Self.get();
    {
      std::lock_guard Lock(this->Mutex);
      ++this->Counts.Received;
      if (!Message) {
        ++this->Counts.Malformed;
        continue;
      }
      if (!Message.value().Receiver.empty() &&
          Message.value().Receiver != Local.Name) {
        ++this->Counts.Misaddressed;
        continue;
      }
    }
    if (std::holds_alternative<wire::Heartbeat>(Message.value().Body)) {
      this->answerHeartbeat(Now, Message.value());
      continue;
    }
    return std::move(Message.value());
  }
}

void PeerLinks::answerHeartbeat(base::TimePoint Now,
                                const wire::PeerMessage &Message) {
  const auto &Beat = std::get<wire::Heartbeat>(Message.Body);
  if (!Beat.IsReply) {
    std::string Bytes = this->envelope(Message.Sender.Name,
                                       wire::Heartbeat{Beat.Sequence, true});
    std::lock_guard Lock(this->Mutex);
    if (Link *To = this->open(Now, Message.Sender.Control)) {
      this->push(*To, Bytes);
    }
    return;
  }
  std::lock_guard Lock(this->Mutex);
  auto It = this->Links.find(Message.Sender.Control);
  if (It != this->Links.end()) {
    It->second.Health.onAnswer(Now);
  }
}

std::string PeerLinks::envelope(const base::MemberName &Receiver,
                                wire::PeerBody Body) const {
  return wire::peerMessageBytes({this->Self.get(), Receiver, std::move(Body)});
}

void PeerLinks::send(base::TimePoint Now, const base::Address &To,
                     const base::MemberName &Receiver, wire::PeerBody Body) {
  std::string Bytes = this->envelope(Receiver, std::move(Body));
  std::lock_guard Lock(this->Mutex);
  Link *Target = this->open(Now, To);
  if (Target == nullptr) {
    ++this->Counts.Dropped;
    return;
  }
  Target->Receiver = Receiver;
  Target->Health.onUse(Now);
  this->push(*Target, Bytes);
}

static bool dial(nng_socket &Push, const base::Address &To) {
  if (nng_push0_open(&Push) != 0) {
    return false;
  }
  nng_socket_set_int(Push, NNG_OPT_SENDBUF, SendQueueMessages);
  nng_socket_set_ms(Push, NNG_OPT_RECONNMINT, MinReconnectMilliseconds);
  nng_socket_set_ms(Push, NNG_OPT_RECONNMAXT, MaxReconnectMilliseconds);
  if (nng_dial(Push, url(To).c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
    nng_close(Push);
    return false;
  }
  return true;
}

PeerLinks::Link *PeerLinks::open(base::TimePoint Now, const base::Address &To) {
  auto It = this->Links.find(To);
  if (It != this->Links.end()) {
    return &It->second;
  }
  nng_socket Push = NNG_SOCKET_INITIALIZER;
  if (To.Port == 0 || !dial(Push, To)) {
    return nullptr;
  }
  Link Fresh{Push, LinkHealth(Now), {}, 0};
  return &this->Links.emplace(To, std::move(Fresh)).first->second;
}

void PeerLinks::push(Link &To, const std::string &Bytes) {
  // nng copies the bytes.
  int Code = nng_send(To.Push, const_cast<char *>(Bytes.data()), Bytes.size(),
                      NNG_FLAG_NONBLOCK);
  if (Code != 0) {
    ++this->Counts.Dropped;
    return;
  }
  ++this->Counts.Sent;
  this->Counts.SentBytes += Bytes.size();
}

void PeerLinks::tick(base::TimePoint Now) {
  std::vector<nng_socket> ToClose;
  members::Member Local = this->Self.get();
  {
    std::lock_guard Lock(this->Mutex);
    for (auto It = this->Links.begin(); It != this->Links.end();) {
      Link &Item = It->second;
      LinkStep Step = Item.Health.step(Now);
      if (Step == LinkStep::Close) {
        ToClose.push_back(Item.Push);
        It = this->Links.erase(It);
        continue;
      }
      if (Step == LinkStep::Redial) {
        ToClose.push_back(Item.Push);
        ++this->Counts.Redials;
        if (!dial(Item.Push, It->first)) {
          It = this->Links.erase(It);
          continue;
        }
        Item.Health.onRedial(Now);
      }
      if (Step == LinkStep::SendHeartbeat) {
        wire::Heartbeat Beat{++Item.Sequence, false};
        this->push(Item, wire::peerMessageBytes({Local, Item.Receiver, Beat}));
      }
      ++It;
    }
  }
  for (nng_socket Socket : ToClose) {
    nng_close(Socket);
  }
}

LinkCounts PeerLinks::counts() const {
  std::lock_guard Lock(this->Mutex);
  return this->Counts;
}

} // namespace bilberry::links
