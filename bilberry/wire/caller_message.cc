#include "bilberry/wire/caller_message.h"

#include "bilberry/wire/codec.h"
#include "bilberry/wire/rpc_codec.h"
#include "bilberry/wire/time_format.h"

#include <algorithm>

namespace bilberry::wire {

static constexpr std::string_view CancelMethod = "cancel";
static constexpr std::string_view FlowMethod = "flow";

// The largest body in one chunk of an answer. Leaves room for the header in a
// datagram.
static constexpr size_t MaxChunkBodyBytes = 32 * 1024;

// Reference function for msgpack::unpack: strings and binaries refer to the
// input buffer instead of being copied.
static bool referenceInputBuffer(msgpack::type::object_type, size_t, void *) {
  return true;
}

// Unpacks one object that must span all of Bytes. The object is valid until
// this thread unpacks its next message.
static msgpack::object unpackSingleObject(std::string_view Bytes) {
  size_t Offset = 0;
  msgpack::object Object =
      msgpack::unpack(messageZone(), Bytes.data(), Bytes.size(), Offset,
                      referenceInputBuffer, nullptr, unpackLimit());
  if (Offset != Bytes.size()) {
    throw msgpack::type_error();
  }
  return Object;
}

static base::RequestId readRequestId(ArrayReader &Reader) {
  base::RequestId Id;
  Id.High = Reader.as<uint64_t>();
  Id.Low = Reader.as<uint64_t>();
  return Id;
}

static FlowPacket readFlowPacket(std::string_view Method,
                                 const msgpack::object &Params) {
  ArrayReader Reader(Params);
  FlowPacket Packet;
  Packet.Class = base::ClassName(std::string(Method));
  Packet.Connection = Reader.as<uint64_t>();
  Packet.Flags = Reader.as<uint8_t>();
  Packet.Sequence = Reader.as<uint64_t>();
  Packet.Body = Reader.view();
  Reader.expectEnd();
  return Packet;
}

static CancelPacket readCancelPacket(const msgpack::object &Params) {
  ArrayReader Reader(Params);
  CancelPacket Packet;
  Packet.Id = readRequestId(Reader);
  Packet.Attempt = Reader.as<uint32_t>();
  Reader.expectEnd();
  return Packet;
}

static RequestPacket readRequestPacket(ArrayReader &Message) {
  RequestPacket Packet;
  Packet.MessageId = Message.as<uint32_t>();
  Packet.Class = base::ClassName(std::string(Message.view()));
  ArrayReader Params(Message.next());
  Packet.Id = readRequestId(Params);
  Packet.Attempt = Params.as<uint32_t>();
  Packet.Deadline = Params.as<base::TimePoint>();
  Packet.Body = Params.view();
  Params.expectEnd();
  return Packet;
}

static CallerPacket readCallerPacket(const msgpack::object &Object) {
  ArrayReader Message(Object);
  uint32_t Type = Message.as<uint32_t>();
  if (Type == RpcRequest) {
    RequestPacket Packet = readRequestPacket(Message);
    Message.expectEnd();
    return Packet;
  }
  if (Type != RpcNotification) {
    throw msgpack::type_error();
  }
  std::string_view Method = Message.view();
  const msgpack::object &Params = Message.next();
  Message.expectEnd();
  if (Method == CancelMethod) {
    return readCancelPacket(Params);
  }
  return readFlowPacket(Method, Params);
}

base::Result<CallerPacket> parseCallerPacket(std::string_view Bytes) {
  try {
    return readCallerPacket(unpackSingleObject(Bytes));
  } catch (const std::exception &Failure) {
    return base::Error{base::ErrorCode::Malformed, Failure.what()};
  }
}

static void packRequestId(MessagePacker &Out, base::RequestId Id) {
  Out.pack(Id.High);
  Out.pack(Id.Low);
}

std::string flowPacketBytes(const FlowPacket &Packet) {
  std::string Bytes;
  StringSink Sink(Bytes);
  MessagePacker Out(Sink);
  Out.pack_array(3);
  Out.pack(RpcNotification);
  Out.pack(Packet.Class.text());
  Out.pack_array(4);
  Out.pack(Packet.Connection);
  Out.pack(Packet.Flags);
  Out.pack(Packet.Sequence);
  packBody(Out, Packet.Body);
  return Bytes;
}

std::string requestPacketBytes(const RequestPacket &Packet) {
  std::string Bytes;
  StringSink Sink(Bytes);
  MessagePacker Out(Sink);
  Out.pack_array(4);
  Out.pack(RpcRequest);
  Out.pack(Packet.MessageId);
  Out.pack(Packet.Class.text());
  Out.pack_array(5);
  packRequestId(Out, Packet.Id);
  Out.pack(Packet.Attempt);
  Out.pack(Packet.Deadline);
  packBody(Out, Packet.Body);
  return Bytes;
}

std::string cancelPacketBytes(const CancelPacket &Packet) {
  std::string Bytes;
  StringSink Sink(Bytes);
  MessagePacker Out(Sink);
  Out.pack_array(3);
  Out.pack(RpcNotification);
  Out.pack(CancelMethod);
  Out.pack_array(3);
  packRequestId(Out, Packet.Id);
  Out.pack(Packet.Attempt);
  return Bytes;
}

std::string_view refusalReasonText(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::Overloaded:
    return "overloaded";
  case RefusalReason::DeadlinePassed:
    return "deadline-passed";
  case RefusalReason::Draining:
    return "draining";
  case RefusalReason::DataCentreOutOfService:
    return "data-centre-out";
  case RefusalReason::ShardFrozen:
    return "shard-frozen";
  case RefusalReason::Cancelled:
    return "cancelled";
  case RefusalReason::NotServed:
    return "not-served";
  case RefusalReason::UpstreamLost:
    return "upstream-lost";
  }
  return "unknown";
}

std::string flowReplyBytes(const FlowReply &Reply) {
  std::string Bytes;
  StringSink Sink(Bytes);
  MessagePacker Out(Sink);
  Out.pack_array(3);
  Out.pack(RpcNotification);
  Out.pack(FlowMethod);
  Out.pack_array(4);
  Out.pack(Reply.Connection);
  Out.pack(static_cast<uint8_t>(Reply.Event));
  Out.pack(Reply.Sequence);
  packBody(Out, Reply.Body);
  return Bytes;
}

static std::string encodeAnswerChunk(uint32_t MessageId, base::RequestId Id,
                                     uint32_t Chunk, uint32_t Chunks,
                                     std::string_view Body) {
  std::string Bytes;
  StringSink Sink(Bytes);
  MessagePacker Out(Sink);
  Out.pack_array(4);
  Out.pack(RpcResponse);
  Out.pack(MessageId);
  Out.pack_nil();
  Out.pack_array(5);
  packRequestId(Out, Id);
  Out.pack(Chunk);
  Out.pack(Chunks);
  packBody(Out, Body);
  return Bytes;
}

static std::vector<std::string> encodeAnswerChunks(uint32_t MessageId,
                                                   base::RequestId Id,
                                                   std::string_view Body) {
  size_t Chunks = std::max<size_t>(1, (Body.size() + MaxChunkBodyBytes - 1) /
                                          MaxChunkBodyBytes);
  std::vector<std::string> Datagrams;
  for (size_t Chunk = 0; Chunk < Chunks; ++Chunk) {
    std::string_view Part =
        Body.substr(Chunk * MaxChunkBodyBytes, MaxChunkBodyBytes);
    Datagrams.push_back(encodeAnswerChunk(MessageId, Id,
                                          static_cast<uint32_t>(Chunk),
                                          static_cast<uint32_t>(Chunks), Part));
  }
  return Datagrams;
}

static std::string encodeRefusal(uint32_t MessageId, base::RequestId Id,
                                 bool IsNotRun, RefusalReason Reason,
                                 base::Duration RetryAfter) {
  std::string Bytes;
  StringSink Sink(Bytes);
  MessagePacker Out(Sink);
  Out.pack_array(4);
  Out.pack(RpcResponse);
  Out.pack(MessageId);
  Out.pack_array(3);
  Out.pack(IsNotRun ? "not-run" : "unknown");
  Out.pack(static_cast<uint8_t>(Reason));
  Out.pack(std::chrono::floor<std::chrono::microseconds>(RetryAfter).count());
  Out.pack_array(2);
  packRequestId(Out, Id);
  return Bytes;
}

std::vector<std::string> outcomeBytes(uint32_t MessageId, base::RequestId Id,
                                      const RequestOutcome &Outcome) {
  if (const auto *Answered = std::get_if<Answer>(&Outcome)) {
    return encodeAnswerChunks(MessageId, Id, Answered->Body);
  }
  if (const auto *Refused = std::get_if<NotRun>(&Outcome)) {
    return {encodeRefusal(MessageId, Id, true, Refused->Reason,
                          Refused->RetryAfter)};
  }
  const auto &Unknown = std::get<OutcomeUnknown>(Outcome);
  return {
      encodeRefusal(MessageId, Id, false, Unknown.Reason, Unknown.RetryAfter)};
}

static FlowReply readFlowReply(const msgpack::object &Params) {
  ArrayReader Reader(Params);
  FlowReply Reply;
  Reply.Connection = Reader.as<uint64_t>();
  uint8_t Event = Reader.as<uint8_t>();
  if (Event > static_cast<uint8_t>(FlowEvent::Reset)) {
    throw msgpack::type_error();
  }
  Reply.Event = static_cast<FlowEvent>(Event);
  Reply.Sequence = Reader.as<uint64_t>();
  Reply.Body = std::string(Reader.view());
  Reader.expectEnd();
  return Reply;
}

static AnswerChunk readAnswerChunk(uint32_t MessageId,
                                   const msgpack::object &Result) {
  ArrayReader Reader(Result);
  AnswerChunk Chunk;
  Chunk.MessageId = MessageId;
  Chunk.Id = readRequestId(Reader);
  Chunk.Chunk = Reader.as<uint32_t>();
  Chunk.Chunks = Reader.as<uint32_t>();
  Chunk.Body = std::string(Reader.view());
  Reader.expectEnd();
  if (Chunk.Chunk >= Chunk.Chunks) {
    throw msgpack::type_error();
  }
  return Chunk;
}

static Refusal readRefusal(uint32_t MessageId, const msgpack::object &Error,
                           const msgpack::object &Result) {
  ArrayReader Reader(Error);
  Refusal Refused;
  Refused.MessageId = MessageId;
  Refused.IsNotRun = Reader.view() == "not-run";
  uint8_t Reason = Reader.as<uint8_t>();
  if (Reason > static_cast<uint8_t>(RefusalReason::UpstreamLost)) {
    throw msgpack::type_error();
  }
  Refused.Reason = static_cast<RefusalReason>(Reason);
  int64_t RetryAfter = Reader.as<int64_t>();
  Refused.RetryAfter = timePointFromMicroseconds(RetryAfter).time_since_epoch();
  Reader.expectEnd();
  ArrayReader Ids(Result);
  Refused.Id = readRequestId(Ids);
  Ids.expectEnd();
  return Refused;
}

static CallerReply readCallerReply(const msgpack::object &Object) {
  ArrayReader Message(Object);
  uint32_t Type = Message.as<uint32_t>();
  if (Type == RpcNotification) {
    if (Message.view() != FlowMethod) {
      throw msgpack::type_error();
    }
    return readFlowReply(Message.next());
  }
  if (Type != RpcResponse) {
    throw msgpack::type_error();
  }
  uint32_t MessageId = Message.as<uint32_t>();
  const msgpack::object &Error = Message.next();
  const msgpack::object &Result = Message.next();
  Message.expectEnd();
  if (Error.is_nil()) {
    return readAnswerChunk(MessageId, Result);
  }
  return readRefusal(MessageId, Error, Result);
}

base::Result<CallerReply> parseCallerReply(std::string_view Bytes) {
  try {
    return readCallerReply(unpackSingleObject(Bytes));
  } catch (const std::exception &Failure) {
    return base::Error{base::ErrorCode::Malformed, Failure.what()};
  }
}

} // namespace bilberry::wire
