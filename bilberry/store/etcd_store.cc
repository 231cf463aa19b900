#include "bilberry/store/etcd_store.h"

#include "bilberry/store/base64.h"
#include "bilberry/store/etcd_json.h"
#include "bilberry/store/http_client.h"

#include <boost/outcome/try.hpp>
#include <utility>

namespace bilberry::store {

using base::Error;
using base::ErrorCode;
using nlohmann::json;

static constexpr char RangePath[] = "/v3/kv/range";
static constexpr char PutPath[] = "/v3/kv/put";
static constexpr char TxnPath[] = "/v3/kv/txn";
static constexpr char DeletePath[] = "/v3/kv/deleterange";
static constexpr char GrantPath[] = "/v3/lease/grant";
static constexpr char KeepAlivePath[] = "/v3/lease/keepalive";
static constexpr char RevokePath[] = "/v3/lease/revoke";
static constexpr char WatchPath[] = "/v3/watch";
static constexpr char JsonType[] = "application/json";
static constexpr int StatusOk = 200;
// Longer watch lines are invalid: the store's values are at most a megabyte.
static constexpr size_t MaxWatchLineBytes = 16U << 20U;

// The error for a call without an answer or with one that can't be used.
static Error unusableAnswerError(bool IsWrite, const std::string &Cause) {
  return {IsWrite ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable,
          "store: no usable answer: " + Cause};
}

static Error errorFromAnswer(bool IsWrite, const std::string &Body) {
  json Answer = parseObject(Body);
  base::Result<int64_t> Number = integerField(Answer, "code");
  auto Code = static_cast<GrpcCode>(Number ? Number.value() : 0);
  std::string Message = textField(Answer, "message");
  if (Code == GrpcCode::NotFound) {
    return {ErrorCode::LeaseExpired, "store: " + Message};
  }
  bool IsRejected =
      Code == GrpcCode::InvalidArgument ||
      Code == GrpcCode::ResourceExhausted || Code == GrpcCode::OutOfRange ||
      Code == GrpcCode::Unimplemented || Message == NoLeaderMessage;
  if (IsRejected) {
    return {ErrorCode::Unavailable, "store: " + Message};
  }
  return unusableAnswerError(IsWrite, Message);
}

static json keyRange(std::string_view Prefix) {
  return {{"key", base64Text(Prefix)},
          {"range_end", base64Text(prefixEnd(Prefix))}};
}

static json putRequest(std::string_view Key, std::string_view Value,
                       LeaseId Lease) {
  json Request = {{"key", base64Text(Key)}, {"value", base64Text(Value)}};
  if (Lease != 0) {
    Request["lease"] = std::to_string(Lease);
  }
  return Request;
}

static base::Result<KeyValue> parseKeyValue(const json &Object) {
  BOOST_OUTCOME_TRY(Key, bytesField(Object, "key"));
  BOOST_OUTCOME_TRY(Value, bytesField(Object, "value"));
  BOOST_OUTCOME_TRY(Changed, integerField(Object, "mod_revision"));
  BOOST_OUTCOME_TRY(Lease, integerField(Object, "lease"));
  return KeyValue{std::move(Key), std::move(Value), Changed, Lease};
}

static base::Result<StoreRevision> headerRevision(const json &Answer) {
  return integerField(field(Answer, "header"), "revision");
}

static base::Result<Listing> parseListing(const json &Answer) {
  BOOST_OUTCOME_TRY(Revision, headerRevision(Answer));
  Listing List{{}, Revision};
  for (const json &Item : field(Answer, "kvs")) {
    BOOST_OUTCOME_TRY(Entry, parseKeyValue(Item));
    List.Entries.push_back(std::move(Entry));
  }
  return List;
}

static base::Result<SwapResult> parseSwap(const json &Answer) {
  SwapResult Result;
  Result.Swapped = field(Answer, "succeeded") == json(true);
  if (Result.Swapped) {
    BOOST_OUTCOME_TRY(Changed, headerRevision(Answer));
    Result.Changed = Changed;
    return Result;
  }
  for (const json &Response : field(Answer, "responses")) {
    BOOST_OUTCOME_TRY(Present, parseListing(field(Response, "response_range")));
    if (!Present.Entries.empty()) {
      Result.Present = std::move(Present.Entries.front());
    }
  }
  return Result;
}

namespace {

// Splits a watch's stream into lines and parses the events of each line.
class WatchReader {
public:
  explicit WatchReader(const WatchCallback &OnEvent) : OnEvent(OnEvent) {}

  // Returns false if the watch has to end.
  bool feed(std::string_view Bytes) {
    this->Pending += Bytes;
    size_t Begin = 0;
    for (size_t End = this->Pending.find('\n'); End != std::string::npos;
         End = this->Pending.find('\n', Begin)) {
      std::string_view Line(this->Pending);
      if (!this->parseLine(Line.substr(Begin, End - Begin))) {
        return false;
      }
      Begin = End + 1;
    }
    this->Pending.erase(0, Begin);
    return this->Pending.size() <= MaxWatchLineBytes;
  }

  const std::string &failureReason() const { return this->FailureReason; }

private:
  bool parseLine(std::string_view Line) {
    if (Line.empty()) {
      return true;
    }
    json Answer = parseObject(Line);
    const json &Result = field(Answer, "result");
    if (!Result.is_object() || field(Result, "canceled") == json(true)) {
      this->FailureReason =
          "watch canceled: " + textField(Result, "cancel_reason");
      return false;
    }
    for (const json &Item : field(Result, "events")) {
      if (!this->parseEvent(Item)) {
        return false;
      }
    }
    return true;
  }

  bool parseEvent(const json &Item) {
    base::Result<KeyValue> Entry = parseKeyValue(field(Item, "kv"));
    if (!Entry) {
      this->FailureReason = Entry.error().Message;
      return false;
    }
    bool IsDelete = textField(Item, "type") == "DELETE";
    this->OnEvent({IsDelete, std::move(Entry).value()});
    return true;
  }

  const WatchCallback &OnEvent;
  std::string Pending;
  std::string FailureReason;
};

} // namespace

EtcdStore::EtcdStore(base::Address Server, base::Duration CallTimeout)
    : Server(Server), CallTimeout(CallTimeout) {}

base::Result<json> EtcdStore::post(const char *Path, const json &Body,
                                   CallEffect Kind) {
  bool IsWrite = Kind == CallEffect::Writes;
  httplib::Client Client =
      httpClient(this->Server, this->CallTimeout, this->CallTimeout);
  httplib::Result Answer = Client.Post(Path, Body.dump(), JsonType);
  if (!Answer && failedBeforeSending(Answer.error())) {
    return Error{ErrorCode::Unavailable, "store: " + to_string(Answer.error())};
  }
  if (!Answer) {
    return unusableAnswerError(IsWrite, to_string(Answer.error()));
  }
  if (Answer->status != StatusOk) {
    return errorFromAnswer(IsWrite, Answer->body);
  }
  json Parsed = parseObject(Answer->body);
  if (Parsed.is_null()) {
    return unusableAnswerError(IsWrite, "not a JSON object");
  }
  return Parsed;
}

// A malformed answer is treated as a lost one.
template <typename T>
static base::Result<T> orUnusableAnswerError(bool IsWrite,
                                             base::Result<T> Parsed) {
  if (!Parsed) {
    return unusableAnswerError(IsWrite, Parsed.error().Message);
  }
  return Parsed;
}

base::Result<std::optional<KeyValue>> EtcdStore::get(std::string_view Key) {
  this->Counts.add(StoreCall::Get);
  json Body = {{"key", base64Text(Key)}};
  BOOST_OUTCOME_TRY(Answer, this->post(RangePath, Body, CallEffect::Reads));
  BOOST_OUTCOME_TRY(List, orUnusableAnswerError(false, parseListing(Answer)));
  if (List.Entries.empty()) {
    return std::optional<KeyValue>();
  }
  return std::optional(std::move(List.Entries.front()));
}

base::Result<Listing> EtcdStore::list(std::string_view Prefix) {
  this->Counts.add(StoreCall::List);
  BOOST_OUTCOME_TRY(Answer,
                    this->post(RangePath, keyRange(Prefix), CallEffect::Reads));
  return orUnusableAnswerError(false, parseListing(Answer));
}

base::Result<SwapResult> EtcdStore::swap(std::string_view Key,
                                         StoreRevision Expected,
                                         std::string_view Value,
                                         LeaseId Lease) {
  this->Counts.add(StoreCall::Swap);
  std::string KeyText = base64Text(Key);
  json Compare = {{"key", KeyText},
                  {"target", "MOD"},
                  {"result", "EQUAL"},
                  {"mod_revision", std::to_string(Expected)}};
  json Put = {{"request_put", putRequest(Key, Value, Lease)}};
  json Range = {{"request_range", {{"key", KeyText}}}};
  json Body = {{"compare", json::array({Compare})},
               {"success", json::array({Put})},
               {"failure", json::array({Range})}};
  BOOST_OUTCOME_TRY(Answer, this->post(TxnPath, Body, CallEffect::Writes));
  return orUnusableAnswerError(true, parseSwap(Answer));
}

base::Result<StoreRevision>
EtcdStore::put(std::string_view Key, std::string_view Value, LeaseId Lease) {
  this->Counts.add(StoreCall::Put);
  json Body = putRequest(Key, Value, Lease);
  BOOST_OUTCOME_TRY(Answer, this->post(PutPath, Body, CallEffect::Writes));
  return orUnusableAnswerError(true, headerRevision(Answer));
}

base::Result<void> EtcdStore::remove(std::string_view Key) {
  this->Counts.add(StoreCall::Remove);
  json Body = {{"key", base64Text(Key)}};
  BOOST_OUTCOME_TRY(this->post(DeletePath, Body, CallEffect::Writes));
  return boost::outcome_v2::success();
}

base::Result<LeaseId> EtcdStore::grantLease(base::Duration Ttl) {
  this->Counts.add(StoreCall::GrantLease);
  auto Seconds = std::chrono::ceil<std::chrono::seconds>(Ttl).count();
  json Body = {{"TTL", std::to_string(Seconds)}};
  BOOST_OUTCOME_TRY(Answer, this->post(GrantPath, Body, CallEffect::Writes));
  BOOST_OUTCOME_TRY(Id,
                    orUnusableAnswerError(true, integerField(Answer, "ID")));
  if (Id == 0) {
    return unusableAnswerError(true, "lease grant without an id");
  }
  return Id;
}

base::Result<void> EtcdStore::keepAlive(LeaseId Lease) {
  this->Counts.add(StoreCall::KeepAlive);
  json Body = {{"ID", std::to_string(Lease)}};
  BOOST_OUTCOME_TRY(Answer,
                    this->post(KeepAlivePath, Body, CallEffect::Writes));
  BOOST_OUTCOME_TRY(Seconds,
                    orUnusableAnswerError(
                        true, integerField(field(Answer, "result"), "TTL")));
  if (Seconds <= 0) {
    return Error{ErrorCode::LeaseExpired, "store: the lease has expired"};
  }
  return boost::outcome_v2::success();
}

base::Result<void> EtcdStore::revokeLease(LeaseId Lease) {
  this->Counts.add(StoreCall::RevokeLease);
  json Body = {{"ID", std::to_string(Lease)}};
  BOOST_OUTCOME_TRY(this->post(RevokePath, Body, CallEffect::Writes));
  return boost::outcome_v2::success();
}

static httplib::Request watchRequest(std::string_view Prefix,
                                     StoreRevision After) {
  json Create = keyRange(Prefix);
  Create["start_revision"] = std::to_string(After + 1);
  Create["progress_notify"] = true;
  httplib::Request Request;
  Request.method = "POST";
  Request.path = WatchPath;
  Request.set_header("Content-Type", JsonType);
  Request.body = json({{"create_request", Create}}).dump();
  return Request;
}

base::Result<void> EtcdStore::watch(std::string_view Prefix, WatchStart Start,
                                    const WatchCallback &OnEvent,
                                    std::stop_token Stop,
                                    base::Duration SilenceLimit) {
  this->Counts.add(StoreCall::Watch);
  httplib::Client Client =
      httpClient(this->Server, this->CallTimeout, SilenceLimit);
  WatchReader Reader(OnEvent);
  httplib::Request Request = watchRequest(Prefix, Start.After);
  Request.response_handler = [&](const httplib::Response &Response) {
    return Response.status == StatusOk && !Stop.stop_requested();
  };
  Request.content_receiver = [&](const char *Data, size_t Size, uint64_t,
                                 uint64_t) {
    return !Stop.stop_requested() && Reader.feed({Data, Size});
  };
  // Closing the connection unblocks the reading thread.
  std::stop_callback CloseOnStop(Stop, [&Client] { Client.stop(); });
  if (Stop.stop_requested()) {
    return boost::outcome_v2::success();
  }
  httplib::Result Answer = Client.send(Request);
  if (Stop.stop_requested()) {
    return boost::outcome_v2::success();
  }
  std::string Cause = Reader.failureReason();
  if (Cause.empty()) {
    Cause = Answer ? "the stream ended" : to_string(Answer.error());
  }
  return Error{ErrorCode::Unavailable, "store: watch failed: " + Cause};
}

} // namespace bilberry::store
