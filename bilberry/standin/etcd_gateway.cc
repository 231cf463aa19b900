#include "bilberry/standin/etcd_gateway.h"

#include "bilberry/store/base64.h"
#include "bilberry/store/etcd_json.h"

#include <boost/outcome/try.hpp>
#include <utility>

namespace bilberry::standin {

using base::Error;
using base::ErrorCode;
using nlohmann::json;
using store::bytesField;
using store::field;
using store::integerField;
using store::KeyValue;
using store::textField;

// One year.
static constexpr int64_t MaxLeaseSeconds = 31'536'000;

static Error badRequest(const std::string &Message) {
  return {ErrorCode::Malformed, "etcdserver: " + Message};
}

static base::Result<KeyRange> parseRange(const json &Request) {
  BOOST_OUTCOME_TRY(Begin, bytesField(Request, "key"));
  BOOST_OUTCOME_TRY(End, bytesField(Request, "range_end"));
  if (Begin.empty()) {
    return badRequest("key is not provided");
  }
  return KeyRange{std::move(Begin), std::move(End)};
}

static base::Result<KeyValue> parsePut(const json &Request) {
  BOOST_OUTCOME_TRY(Key, bytesField(Request, "key"));
  BOOST_OUTCOME_TRY(Value, bytesField(Request, "value"));
  BOOST_OUTCOME_TRY(Lease, integerField(Request, "lease"));
  if (Key.empty()) {
    return badRequest("key is not provided");
  }
  return KeyValue{std::move(Key), std::move(Value), 0, Lease};
}

// The element of an array of size one; null for anything else.
static const json &singleElement(const json &List) {
  static const json None;
  return List.is_array() && List.size() == 1 ? List[0] : None;
}

static json keyValueJson(const KeyValue &Entry) {
  json Object = {{"key", store::base64Text(Entry.Key)},
                 {"mod_revision", std::to_string(Entry.Changed)}};
  if (!Entry.Value.empty()) {
    Object["value"] = store::base64Text(Entry.Value);
  }
  if (Entry.Lease != 0) {
    Object["lease"] = std::to_string(Entry.Lease);
  }
  return Object;
}

static json headerAt(store::StoreRevision Revision) {
  return {{"revision", std::to_string(Revision)}};
}

static json rangeJson(const store::Listing &List) {
  json Object = {{"header", headerAt(List.AtRevision)}};
  for (const KeyValue &Entry : List.Entries) {
    Object["kvs"].push_back(keyValueJson(Entry));
  }
  if (!List.Entries.empty()) {
    Object["count"] = std::to_string(List.Entries.size());
  }
  return Object;
}

base::Result<json> EtcdGateway::range(base::TimePoint, const json &Request) {
  BOOST_OUTCOME_TRY(Range, parseRange(Request));
  return rangeJson(this->State.list(Range));
}

base::Result<json> EtcdGateway::put(base::TimePoint, const json &Request) {
  BOOST_OUTCOME_TRY(Entry, parsePut(Request));
  BOOST_OUTCOME_TRY(this->State.put(Entry.Key, Entry.Value, Entry.Lease));
  return json{{"header", this->header()}};
}

base::Result<json> EtcdGateway::txn(base::TimePoint, const json &Request) {
  const json &Compare = singleElement(field(Request, "compare"));
  const json &Success = singleElement(field(Request, "success"));
  const json &Failure = singleElement(field(Request, "failure"));
  BOOST_OUTCOME_TRY(Key, bytesField(Compare, "key"));
  BOOST_OUTCOME_TRY(Expected, integerField(Compare, "mod_revision"));
  BOOST_OUTCOME_TRY(Put, parsePut(field(Success, "request_put")));
  BOOST_OUTCOME_TRY(Range, parseRange(field(Failure, "request_range")));
  bool IsSwap = textField(Compare, "target") == "MOD" &&
                textField(Compare, "result") == "EQUAL" && Key == Put.Key;
  if (!IsSwap) {
    return badRequest(
        "the stand-in supports only compare-and-swap transactions");
  }
  BOOST_OUTCOME_TRY(Swap,
                    this->State.swap(Key, Expected, Put.Value, Put.Lease));
  json Answer = {{"header", this->header()}};
  if (Swap.Swapped) {
    Answer["succeeded"] = true;
    json Response = {{"response_put", {{"header", this->header()}}}};
    Answer["responses"] = json::array({std::move(Response)});
  } else {
    json Response = {{"response_range", rangeJson(this->State.list(Range))}};
    Answer["responses"] = json::array({std::move(Response)});
  }
  return Answer;
}

base::Result<json> EtcdGateway::deleteRange(base::TimePoint,
                                            const json &Request) {
  BOOST_OUTCOME_TRY(Range, parseRange(Request));
  size_t Count = this->State.remove(Range);
  json Answer = {{"header", this->header()}};
  if (Count > 0) {
    Answer["deleted"] = std::to_string(Count);
  }
  return Answer;
}

base::Result<json> EtcdGateway::grantLease(base::TimePoint Now,
                                           const json &Request) {
  BOOST_OUTCOME_TRY(Seconds, integerField(Request, "TTL"));
  if (Seconds <= 0 || Seconds > MaxLeaseSeconds) {
    return badRequest("lease TTL out of range");
  }
  store::LeaseId Id =
      this->State.grantLease(Now, std::chrono::seconds(Seconds));
  return json{{"header", this->header()},
              {"ID", std::to_string(Id)},
              {"TTL", std::to_string(Seconds)}};
}

base::Result<json> EtcdGateway::keepAlive(base::TimePoint Now,
                                          const json &Request) {
  BOOST_OUTCOME_TRY(Id, integerField(Request, "ID"));
  json Answer = {{"header", this->header()}, {"ID", std::to_string(Id)}};
  base::Result<base::Duration> Ttl = this->State.keepAlive(Now, Id);
  if (Ttl) {
    auto Seconds = std::chrono::floor<std::chrono::seconds>(Ttl.value());
    Answer["TTL"] = std::to_string(Seconds.count());
  }
  return json{{"result", std::move(Answer)}};
}

base::Result<json> EtcdGateway::revokeLease(base::TimePoint,
                                            const json &Request) {
  BOOST_OUTCOME_TRY(Id, integerField(Request, "ID"));
  BOOST_OUTCOME_TRY(this->State.revokeLease(Id));
  return json{{"header", this->header()}};
}

base::Result<OpenWatch> EtcdGateway::openWatch(const json &Request) const {
  const json &Create = field(Request, "create_request");
  BOOST_OUTCOME_TRY(Range, parseRange(Create));
  BOOST_OUTCOME_TRY(Start, integerField(Create, "start_revision"));
  store::StoreRevision LastSentRevision =
      Start > 0 ? Start - 1 : this->State.revision();
  return OpenWatch{std::move(Range), LastSentRevision};
}

json EtcdGateway::watchCreatedMessage() const {
  return {{"result", {{"header", this->header()}, {"created", true}}}};
}

json EtcdGateway::watchProgressMessage() const {
  return {{"result", {{"header", this->header()}}}};
}

json EtcdGateway::watchChangesMessage(OpenWatch &Watch) const {
  auto Changes = this->State.changesAfter(Watch.LastSentRevision, Watch.Range);
  if (!Changes) {
    return {{"result",
             {{"header", this->header()},
              {"canceled", true},
              {"cancel_reason", Changes.error().Message}}}};
  }
  Watch.LastSentRevision =
      std::max(Watch.LastSentRevision, this->State.revision());
  if (Changes.value().empty()) {
    return {};
  }
  json Events = json::array();
  for (const store::WatchEvent &Change : Changes.value()) {
    json Event = {{"kv", keyValueJson(Change.Entry)}};
    if (Change.IsDelete) {
      Event["type"] = "DELETE";
    }
    Events.push_back(std::move(Event));
  }
  return {{"result", {{"header", this->header()}, {"events", Events}}}};
}

json EtcdGateway::header() const { return headerAt(this->State.revision()); }

} // namespace bilberry::standin
