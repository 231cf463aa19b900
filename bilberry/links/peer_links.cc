#include "bilberry/links/peer_links.h"

#include "bilberry/wire/codec.h"

#include <mutex>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <utility>
#include <vector>

namespace bilberry::links {

// Length of the queue of each peer; messages beyond it are dropped.
static constexpr int SendQueueMessages = 1024;
static constexpr int ReceiveQueueMessages = 4096;
static constexpr nng_duration MinReconnectMilliseconds = 50;
static constexpr nng_duration MaxReconnectMilliseconds = 1000;

static std::string url(const base::Address &Endpoint) {
  return "tcp://" + base::addressText(Endpoint);
}

PeerLinks::PeerLinks(const board::LocalMember &Self) : Self(Self) {}

PeerLinks::~PeerLinks() {
  for (auto &[Endpoint, Item] : this->Links) {
    nng_close(Item.PushSocket);
  }
  if (nng_socket_id(this->PullSocket) > 0) {
    nng_close(this->PullSocket);
  }
}

static base::Error nngError(const std::string &Operation, int Code) {
  return {base::ErrorCode::System, Operation + ": " + nng_strerror(Code)};
}

base::Result<void> PeerLinks::listen(const base::Address &Endpoint) {
  if (int Code = nng_pull0_open(&this->PullSocket); Code != 0) {
    return nngError("open a pull socket", Code);
  }
  nng_socket_set_int(this->PullSocket, NNG_OPT_RECVBUF, ReceiveQueueMessages);
  nng_socket_set_size(this->PullSocket, NNG_OPT_RECVMAXSZ,
                      wire::MaxPeerMessageBytes);
  if (int Code =
          nng_listen(this->PullSocket, url(Endpoint).c_str(), nullptr, 0);
      Code != 0) {
    return nngError("listen on " + base::addressText(Endpoint), Code);
  }
  if (int Code = nng_socket_get_int(this->PullSocket, NNG_OPT_RECVFD,
                                    &this->ReceiveFd);
      Code != 0) {
    return nngError("get the receive descriptor", Code);
  }
  return boost::outcome_v2::success();
}

std::optional<wire::PeerMessage> PeerLinks::receive(base::TimePoint Now) {
  while (true) {
    char *Bytes = nullptr;
    size_t Size = 0;
    if (nng_recv(this->PullSocket, &Bytes, &Size,
                 NNG_FLAG_NONBLOCK | NNG_FLAG_ALLOC) != 0) {
      return std::nullopt;
    }
    base::Result<wire::PeerMessage> Message =
        wire::parsePeerMessage({Bytes, Size});
    nng_free(Bytes, Size);
    members::Member LocalRecord = this->Self.get();
    {
      std::lock_guard Lock(this->Mutex);
      ++this->Counts.Received;
      if (!Message) {
        ++this->Counts.Malformed;
        continue;
      }
      if (!Message.value().Receiver.empty() &&
          Message.value().Receiver != LocalRecord.Name) {
        ++this->Counts.Misaddressed;
        continue;
      }
    }
    if (std::holds_alternative<wire::Heartbeat>(Message.value().Body)) {
      this->handleHeartbeat(Now, Message.value());
      continue;
    }
    return std::move(Message.value());
  }
}

void PeerLinks::handleHeartbeat(base::TimePoint Now,
                                const wire::PeerMessage &Message) {
  const auto &HeartbeatBody = std::get<wire::Heartbeat>(Message.Body);
  if (!HeartbeatBody.IsReply) {
    std::string Bytes = this->encodeMessage(
        Message.Sender.Name, wire::Heartbeat{HeartbeatBody.Sequence, true});
    std::lock_guard Lock(this->Mutex);
    if (Link *To = this->findOrDial(Now, Message.Sender.Control)) {
      this->push(*To, Bytes);
    }
    return;
  }
  std::lock_guard Lock(this->Mutex);
  auto It = this->Links.find(Message.Sender.Control);
  if (It != this->Links.end()) {
    It->second.Health.onHeartbeatReply(Now);
  }
}

std::string PeerLinks::encodeMessage(const base::MemberName &Receiver,
                                     wire::PeerBody Body) const {
  return wire::peerMessageBytes({this->Self.get(), Receiver, std::move(Body)});
}

void PeerLinks::send(base::TimePoint Now, const base::Address &To,
                     const base::MemberName &Receiver, wire::PeerBody Body) {
  std::string Bytes = this->encodeMessage(Receiver, std::move(Body));
  std::lock_guard Lock(this->Mutex);
  Link *PeerLink = this->findOrDial(Now, To);
  if (PeerLink == nullptr) {
    ++this->Counts.Dropped;
    return;
  }
  PeerLink->Receiver = Receiver;
  PeerLink->Health.onMessageSent(Now);
  this->push(*PeerLink, Bytes);
}

static bool dial(nng_socket &PushSocket, const base::Address &To) {
  if (nng_push0_open(&PushSocket) != 0) {
    return false;
  }
  nng_socket_set_int(PushSocket, NNG_OPT_SENDBUF, SendQueueMessages);
  nng_socket_set_ms(PushSocket, NNG_OPT_RECONNMINT, MinReconnectMilliseconds);
  nng_socket_set_ms(PushSocket, NNG_OPT_RECONNMAXT, MaxReconnectMilliseconds);
  if (nng_dial(PushSocket, url(To).c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
    nng_close(PushSocket);
    return false;
  }
  return true;
}

PeerLinks::Link *PeerLinks::findOrDial(base::TimePoint Now,
                                       const base::Address &To) {
  auto It = this->Links.find(To);
  if (It != this->Links.end()) {
    return &It->second;
  }
  nng_socket PushSocket = NNG_SOCKET_INITIALIZER;
  if (To.Port == 0 || !dial(PushSocket, To)) {
    return nullptr;
  }
  Link NewLink{PushSocket, LinkHealth(Now), {}, 0};
  return &this->Links.emplace(To, std::move(NewLink)).first->second;
}

void PeerLinks::push(Link &To, const std::string &Bytes) {
  // nng copies the bytes.
  int Code = nng_send(To.PushSocket, const_cast<char *>(Bytes.data()),
                      Bytes.size(), NNG_FLAG_NONBLOCK);
  if (Code != 0) {
    ++this->Counts.Dropped;
    return;
  }
  ++this->Counts.Sent;
  this->Counts.SentBytes += Bytes.size();
}

void PeerLinks::tick(base::TimePoint Now) {
  std::vector<nng_socket> ToClose;
  members::Member LocalRecord = this->Self.get();
  {
    std::lock_guard Lock(this->Mutex);
    for (auto It = this->Links.begin(); It != this->Links.end();) {
      Link &Item = It->second;
      LinkAction Action = Item.Health.nextAction(Now);
      if (Action == LinkAction::Close) {
        ToClose.push_back(Item.PushSocket);
        It = this->Links.erase(It);
        continue;
      }
      if (Action == LinkAction::Redial) {
        ToClose.push_back(Item.PushSocket);
        ++this->Counts.Redials;
        if (!dial(Item.PushSocket, It->first)) {
          It = this->Links.erase(It);
          continue;
        }
        Item.Health.onRedialled(Now);
      }
      if (Action == LinkAction::SendHeartbeat) {
        wire::Heartbeat HeartbeatBody{++Item.Sequence, false};
        this->push(Item, wire::peerMessageBytes(
                             {LocalRecord, Item.Receiver, HeartbeatBody}));
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
