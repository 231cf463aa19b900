#include "bilberry/wire/upstream_message.h"

#include "bilberry/wire/rpc_codec.h"
#include "bilberry/wire/time_format.h"

#include <array>
#include <cmath>

namespace bilberry::wire {

static constexpr std::string_view RunMethod = "run";
static constexpr std::string_view HealthMethod = "health";
static constexpr std::string_view FlowMethod = "flow";
static constexpr std::string_view CancelMethod = "cancel";
static constexpr std::string_view FlowAbortMethod = "flow-abort";
static constexpr std::string_view DrainingMethod = "draining";

// Wire texts of UpstreamRefusal, in the order of its enumerators.
static constexpr std::array<std::string_view, 5> RefusalTexts = {
    "shed", "draining", "deadline-passed", "cancelled", "failed"};

std::string_view upstreamRefusalText(UpstreamRefusal Refusal) {
  auto Index = static_cast<size_t>(Refusal);
  return Index < RefusalTexts.size() ? RefusalTexts[Index] : "unknown";
}

// An unknown text is read as Failed, because the request may have run.
static UpstreamRefusal parseUpstreamRefusal(std::string_view Text) {
  for (size_t Index = 0; Index < RefusalTexts.size(); ++Index) {
    if (RefusalTexts[Index] == Text) {
      return static_cast<UpstreamRefusal>(Index);
    }
  }
  return UpstreamRefusal::Failed;
}

// Packs `[0, msgid, METHOD`. The calling function packs the parameter array.
static void packRequestHeader(MessagePacker &Out, uint32_t MessageId,
                              std::string_view Method) {
  Out.pack_array(4);
  Out.pack(RpcRequest);
  Out.pack(MessageId);
  Out.pack(Method);
}

// Packs `[2, METHOD`. The calling function packs the parameter array.
static void packNotificationHeader(MessagePacker &Out,
                                   std::string_view Method) {
  Out.pack_array(3);
  Out.pack(RpcNotification);
  Out.pack(Method);
}

// Packs `[1, msgid`. The calling function packs the error and the result.
static void packResponseHeader(MessagePacker &Out, uint32_t MessageId) {
  Out.pack_array(4);
  Out.pack(RpcResponse);
  Out.pack(MessageId);
}

static void packMessage(MessagePacker &Out, const UpstreamRun &Message) {
  packRequestHeader(Out, Message.MessageId, RunMethod);
  Out.pack_array(5);
  Out.pack(Message.Class.text());
  Out.pack(Message.Id.High);
  Out.pack(Message.Id.Low);
  Out.pack(Message.Deadline);
  packBody(Out, Message.Body);
}

static void packMessage(MessagePacker &Out,
                        const UpstreamHealthQuery &Message) {
  packRequestHeader(Out, Message.MessageId, HealthMethod);
  Out.pack_array(0);
}

static void packMessage(MessagePacker &Out, const UpstreamFlowPacket &Message) {
  packNotificationHeader(Out, FlowMethod);
  Out.pack_array(6);
  Out.pack(Message.Class.text());
  Out.pack(Message.Key.High);
  Out.pack(Message.Key.Low);
  Out.pack(Message.Flags);
  Out.pack(Message.Sequence);
  packBody(Out, Message.Body);
}

static void packMessage(MessagePacker &Out, const UpstreamCancel &Message) {
  packNotificationHeader(Out, CancelMethod);
  Out.pack_array(1);
  Out.pack(Message.MessageId);
}

static void packMessage(MessagePacker &Out, const UpstreamFlowAbort &Message) {
  packNotificationHeader(Out, FlowAbortMethod);
  Out.pack_array(2);
  Out.pack(Message.Key.High);
  Out.pack(Message.Key.Low);
}

static void packMessage(MessagePacker &Out, const UpstreamDone &Message) {
  packResponseHeader(Out, Message.MessageId);
  Out.pack_nil();
  packBody(Out, Message.Body);
}

static void packMessage(MessagePacker &Out, const UpstreamRefused &Message) {
  packResponseHeader(Out, Message.MessageId);
  Out.pack(upstreamRefusalText(Message.Refusal));
  Out.pack_nil();
}

static void packMessage(MessagePacker &Out, const UpstreamHealth &Message) {
  packResponseHeader(Out, Message.MessageId);
  Out.pack_nil();
  Out.pack_array(2);
  Out.pack(Message.State);
  Out.pack(Message.Load);
}

static void packMessage(MessagePacker &Out, const UpstreamFlowEvent &Message) {
  packNotificationHeader(Out, FlowMethod);
  Out.pack_array(5);
  Out.pack(Message.Key.High);
  Out.pack(Message.Key.Low);
  Out.pack(static_cast<uint8_t>(Message.Event));
  Out.pack(Message.Sequence);
  packBody(Out, Message.Body);
}

static void packMessage(MessagePacker &Out, const UpstreamDraining &) {
  packNotificationHeader(Out, DrainingMethod);
  Out.pack_array(0);
}

template <typename Variant>
static std::string encodeMessage(const Variant &Message) {
  std::string Bytes;
  StringSink Sink(Bytes);
  MessagePacker Out(Sink);
  std::visit([&](const auto &Item) { packMessage(Out, Item); }, Message);
  return Bytes;
}

std::string upstreamBytes(const ToUpstream &Message) {
  return encodeMessage(Message);
}

std::string upstreamBytes(const FromUpstream &Message) {
  return encodeMessage(Message);
}

static UpstreamRun readRun(uint32_t MessageId, const msgpack::object &Params) {
  ArrayReader Reader(Params);
  UpstreamRun Message;
  Message.MessageId = MessageId;
  Message.Class = base::ClassName(std::string(Reader.view()));
  Message.Id.High = Reader.as<uint64_t>();
  Message.Id.Low = Reader.as<uint64_t>();
  Message.Deadline = Reader.as<base::TimePoint>();
  Message.Body = std::string(Reader.view());
  Reader.expectEnd();
  return Message;
}

static UpstreamFlowPacket readFlowPacket(const msgpack::object &Params) {
  ArrayReader Reader(Params);
  UpstreamFlowPacket Message;
  Message.Class = base::ClassName(std::string(Reader.view()));
  Message.Key.High = Reader.as<uint64_t>();
  Message.Key.Low = Reader.as<uint64_t>();
  Message.Flags = Reader.as<uint8_t>();
  Message.Sequence = Reader.as<uint64_t>();
  Message.Body = std::string(Reader.view());
  Reader.expectEnd();
  return Message;
}

static UpstreamCancel readCancel(const msgpack::object &Params) {
  ArrayReader Reader(Params);
  UpstreamCancel Message{Reader.as<uint32_t>()};
  Reader.expectEnd();
  return Message;
}

static UpstreamFlowAbort readFlowAbort(const msgpack::object &Params) {
  ArrayReader Reader(Params);
  UpstreamFlowAbort Message;
  Message.Key.High = Reader.as<uint64_t>();
  Message.Key.Low = Reader.as<uint64_t>();
  Reader.expectEnd();
  return Message;
}

static void readMessage(const msgpack::object &Object, ToUpstream &Message) {
  ArrayReader Reader(Object);
  auto Type = Reader.as<uint32_t>();
  if (Type == RpcRequest) {
    auto MessageId = Reader.as<uint32_t>();
    std::string_view Method = Reader.view();
    const msgpack::object &Params = Reader.next();
    Reader.expectEnd();
    if (Method == RunMethod) {
      Message = readRun(MessageId, Params);
      return;
    }
    if (Method == HealthMethod) {
      ArrayReader(Params).expectEnd();
      Message = UpstreamHealthQuery{MessageId};
      return;
    }
  }
  if (Type == RpcNotification) {
    std::string_view Method = Reader.view();
    const msgpack::object &Params = Reader.next();
    Reader.expectEnd();
    if (Method == FlowMethod) {
      Message = readFlowPacket(Params);
      return;
    }
    if (Method == CancelMethod) {
      Message = readCancel(Params);
      return;
    }
    if (Method == FlowAbortMethod) {
      Message = readFlowAbort(Params);
      return;
    }
  }
  throw msgpack::type_error();
}

static UpstreamHealth readHealth(uint32_t MessageId,
                                 const msgpack::object &Result) {
  ArrayReader Reader(Result);
  UpstreamHealth Message;
  Message.MessageId = MessageId;
  Message.State = std::string(Reader.view());
  Message.Load = Reader.as<double>();
  Reader.expectEnd();
  if (!std::isfinite(Message.Load)) {
    throw msgpack::type_error();
  }
  return Message;
}

static FromUpstream readResponse(ArrayReader &Reader) {
  auto MessageId = Reader.as<uint32_t>();
  const msgpack::object &Error = Reader.next();
  const msgpack::object &Result = Reader.next();
  Reader.expectEnd();
  if (!Error.is_nil()) {
    return UpstreamRefused{MessageId,
                           parseUpstreamRefusal(Error.as<std::string>())};
  }
  if (Result.type == msgpack::type::ARRAY) {
    return readHealth(MessageId, Result);
  }
  return UpstreamDone{MessageId, Result.as<std::string>()};
}

static UpstreamFlowEvent readFlowEvent(const msgpack::object &Params) {
  ArrayReader Reader(Params);
  UpstreamFlowEvent Message;
  Message.Key.High = Reader.as<uint64_t>();
  Message.Key.Low = Reader.as<uint64_t>();
  auto Event = Reader.as<uint8_t>();
  if (Event > static_cast<uint8_t>(FlowEvent::Reset)) {
    throw msgpack::type_error();
  }
  Message.Event = static_cast<FlowEvent>(Event);
  Message.Sequence = Reader.as<uint64_t>();
  Message.Body = std::string(Reader.view());
  Reader.expectEnd();
  return Message;
}

static void readMessage(const msgpack::object &Object, FromUpstream &Message) {
  ArrayReader Reader(Object);
  auto Type = Reader.as<uint32_t>();
  if (Type == RpcResponse) {
    Message = readResponse(Reader);
    return;
  }
  if (Type != RpcNotification) {
    throw msgpack::type_error();
  }
  std::string_view Method = Reader.view();
  const msgpack::object &Params = Reader.next();
  Reader.expectEnd();
  if (Method == FlowMethod) {
    Message = readFlowEvent(Params);
    return;
  }
  if (Method != DrainingMethod) {
    throw msgpack::type_error();
  }
  ArrayReader(Params).expectEnd();
  Message = UpstreamDraining{};
}

template <typename Message>
base::Result<void> UpstreamReader<Message>::feed(std::string_view Bytes,
                                                 std::vector<Message> &Out) {
  try {
    this->Unpacker.reserve_buffer(Bytes.size());
    Bytes.copy(this->Unpacker.buffer(), Bytes.size());
    this->Unpacker.buffer_consumed(Bytes.size());
    msgpack::object_handle Handle;
    while (this->Unpacker.next(Handle)) {
      Message Item;
      readMessage(Handle.get(), Item);
      Out.push_back(std::move(Item));
    }
    if (this->Unpacker.message_size() > MaxPeerMessageBytes) {
      return base::Error{base::ErrorCode::Malformed, "message is too large"};
    }
    return boost::outcome_v2::success();
  } catch (const std::exception &Failure) {
    return base::Error{base::ErrorCode::Malformed, Failure.what()};
  }
}

template class UpstreamReader<ToUpstream>;
template class UpstreamReader<FromUpstream>;

} // namespace bilberry::wire
