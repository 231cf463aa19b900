#include "bilberry/wire/caller_message.h"

#include "bilberry/wire/codec.h"
#include "bilberry/wire/message_parts.h"
#include "bilberry/wire/time_format.h"

#include <algorithm>

namespace bilberry::wire {

static constexpr std::string_view CancelMethod = "cancel";
static constexpr std::string_view FlowMethod = "flow";

// The largest body in one chunk of an answer; leaves room for the header.
static constexpr size_t MaxChunkBytes = 32 * 1024;

// Keeps strings and binaries in place instead of copying them.
static bool referToInput(msgpack::type::object_type, size_t, void *) {
  return true;
}

// The object lives until this thread unpacks its next message.
static msgpack::object unpackWhole(std::string_view Bytes) {
  size_t Offset = 0;
  msgpack::object Object =
      msgpack::unpack(messageZone(), Bytes.data(), Bytes.size(), Offset,
                      referToInput, nullptr, unpackLimit());
  if (Offset != Bytes.size()) {
    throw msgpack::type_error();
  }
  return Object;
}

static base::RequestId readRequestId(ElementReader &Reader) {
  base::RequestId Id;
  Id.High = Reader.as<uint64_t>();
  Id.Low = Reader.as<uint64_t>();
  return Id;
}

static FlowPacket readFlowPacket(std::string_view Method,
                                 const msgpack::object &Params) {
  ElementReader Reader(Params);
  FlowPacket Packet;
  Packet.Class = base::ClassName(std::string(Method));
  Packet.Connection = Reader.as<uint64_t>();
  Packet.Flags = Reader.as<uint8_t>();
  Packet.Sequence = Reader.as<uint64_t>();
  Packet.Body = Reader.view();
  Reader.finish();
  return Packet;
}

static CancelPacket readCancelPacket(const msgpack::object &Params) {
  ElementReader Reader(Params);
  CancelPacket Packet;
  Packet.Id = readRequestId(Reader);
  Packet.Attempt = Reader.as<uint32_t>();
  Reader.finish();
  return Packet;
}

static RequestPacket readRequestPacket(ElementReader &Message) {
  RequestPacket Packet;
  Packet.MessageId = Message.as<uint32_t>();
  Packet.Class = base::ClassName(std::string(Message.view()));
  ElementReader Params(Message.next());
  Packet.Id = readRequestId(Params);
  Packet.Attempt = Params.as<uint32_t>();
  Packet.Deadline = Params.as<base::TimePoint>();
  Packet.Body = Params.view();
  Params.finish();
  return Packet;
}

static CallerPacket readCallerPacket(const msgpack::object &Object) {
  ElementReader Message(Object);
  uint32_t Type = Message.as<uint32_t>();
  if (Type == RpcRequest) {
    RequestPacket Packet = readRequestPacket(Message);
    Message.finish();
    return Packet;
  }
  if (Type != RpcNotification) {
    throw msgpack::type_error();
  }
  std::string_view Method = Message.view();
  const msgpack::object &Params = Message.next();
  Message.finish();
  if (Method == CancelMethod) {
    return readCancelPacket(Params);
  }
  return readFlowPacket(Method, Params);
}

base::Result<CallerPacket> parseCallerPacket(std::string_view Bytes) {
  try {
    return readCallerPacket(unpackWhole(Bytes));
  } catch (const std::exception &Failure) {
    return base::Error{base::ErrorCode::Malformed, Failure.what()};
  }
}

static void packId(MessagePacker &Out, base::RequestId Id) {
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
  packId(Out, Packet.Id);
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
  packId(Out, Packet.Id);
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
  case RefusalReason::DataCentreOut:
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

static std::string chunkBytes(uint32_t MessageId, base::RequestId Id,
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
  packId(Out, Id);
  Out.pack(Chunk);
  Out.pack(Chunks);
  packBody(Out, Body);
  return Bytes;
}

static std::vector<std::string>
answerBytes(uint32_t MessageId, base::RequestId Id, std::string_view Body) {
  size_t Chunks =
      std::max<size_t>(1, (Body.size() + MaxChunkBytes - 1) / MaxChunkBytes);
  std::vector<std::string> Datagrams;
  for (size_t Chunk = 0; Chunk < Chunks; ++Chunk) {
    std::string_view Part = Body.substr(Chunk * MaxChunkBytes, MaxChunkBytes);
    Datagrams.push_back(chunkBytes(MessageId, Id, static_cast<uint32_t>(Chunk),
                                   static_cast<uint32_t>(Chunks), Part));
  }
  return Datagrams;
}

static std::string refusalBytes(uint32_t MessageId, base::RequestId Id,
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
  packId(Out, Id);
  return Bytes;
}

std::vector<std::string> outcomeBytes(uint32_t MessageId, base::RequestId Id,
                                      const RequestOutcome &Outcome) {
  if (const auto *Whole = std::get_if<Answer>(&Outcome)) {
    return answerBytes(MessageId, Id, Whole->Body);
  }
  if (const auto *Refused = std::get_if<NotRun>(&Outcome)) {
    return {refusalBytes(MessageId, Id, true, Refused->Reason,
                         Refused->RetryAfter)};
  }
  const auto &Unknown = std::get<OutcomeUnknown>(Outcome);
  return {
      refusalBytes(MessageId, Id, false, Unknown.Reason, Unknown.RetryAfter)};
}

static FlowReply readFlowReply(const msgpack::object &Params) {
  ElementReader Reader(Params);
  FlowReply Reply;
  Reply.Connection = Reader.as<uint64_t>();
  uint8_t Event = Reader.as<uint8_t>();
  if (Event > static_cast<uint8_t>(FlowEvent::Reset)) {
    throw msgpack::type_error();
  }
  Reply.Event = static_cast<FlowEvent>(Event);
  Reply.Sequence = Reader.as<uint64_t>();
  Reply.Body = std::string(Reader.view());
  Reader.finish();
  return Reply;
}

static AnswerChunk readAnswerChunk(uint32_t MessageId,
                                   const msgpack::object &Result) {
  ElementReader Reader(Result);
  AnswerChunk Chunk;
  Chunk.MessageId = MessageId;
  Chunk.Id = readRequestId(Reader);
  Chunk.Chunk = Reader.as<uint32_t>();
  Chunk.Chunks = Reader.as<uint32_t>();
  Chunk.Body = std::string(Reader.view());
  Reader.finish();
  if (Chunk.Chunk >= Chunk.Chunks) {
    throw msgpack::type_error();
  }
  return Chunk;
}

static Refusal readRefusal(uint32_t MessageId, const msgpack::object &Error,
                           const msgpack::object &Result) {
  ElementReader Reader(Error);
  Refusal Refused;
  Refused.MessageId = MessageId;
  Refused.IsNotRun = Reader.view() == "not-run";
  uint8_t Reason = Reader.as<uint8_t>();
  if (Reason > static_cast<uint8_t>(RefusalReason::UpstreamLost)) {
    throw msgpack::type_error();
  }
  Refused.Reason = static_cast<RefusalReason>(Reason);
  int64_t RetryAfter = Reader.as<int64_t>();
  Refused.RetryAfter = timePointOf(RetryAfter).time_since_epoch();
  Reader.finish();
  ElementReader Ids(Result);
  Refused.Id = readRequestId(Ids);
  Ids.finish();
  return Refused;
}

static CallerReply readCallerReply(const msgpack::object &Object) {
  ElementReader Message(Object);
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
  Message.finish();
  if (Error.is_nil()) {
    return readAnswerChunk(MessageId, Result);
  }
  return readRefusal(MessageId, Error, Result);
}

base::Result<CallerReply> parseCallerReply(std::string_view Bytes) {
  try {
    return readCallerReply(unpackWhole(Bytes));
  } catch (const std::exception &Failure) {
    return base::Error{base::ErrorCode::Malformed, Failure.what()};
  }
}

} // namespace bilberry::wire
