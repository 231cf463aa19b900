// Tests of EtcdStore beyond the store contract: answers that violate the
// protocol, the encoding of the gateway's fields, and the stand-in store's
// fault injection.

#include "bilberry/standin/etcd_gateway.h"
#include "bilberry/standin/store_server.h"
#include "bilberry/store/base64.h"
#include "bilberry/store/etcd_json.h"
#include "bilberry/store/etcd_store.h"
#include "bilberry/testing/watch_log.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <thread>

namespace bilberry::store {
namespace {

using base::ErrorCode;
using nlohmann::json;
using std::chrono::seconds;

constexpr base::Address Loopback = {0x7F000001, 0};
constexpr char JsonType[] = "application/json";
constexpr base::Duration CallTimeout = seconds(5);

// An HTTP server that gives the same answer to every call.
class FixedAnswerServer {
public:
  FixedAnswerServer(int Status, const std::string &Text) {
    this->Http.Post(".*", [Status, Text](const httplib::Request &,
                                         httplib::Response &Response) {
      Response.status = Status;
      Response.set_content(Text, JsonType);
    });
    this->Port = this->Http.bind_to_any_port("127.0.0.1");
    this->Listener = std::thread([this] { this->Http.listen_after_bind(); });
    while (!this->Http.is_running()) {
      std::this_thread::yield();
    }
  }
  ~FixedAnswerServer() {
    this->Http.stop();
    this->Listener.join();
  }
  FixedAnswerServer(const FixedAnswerServer &) = delete;
  FixedAnswerServer &operator=(const FixedAnswerServer &) = delete;

  base::Address address() const {
    return {Loopback.Ip, static_cast<uint16_t>(this->Port)};
  }

private:
  httplib::Server Http;
  std::thread Listener;
  int Port = 0;
};

TEST(EtcdStore, InvalidAnswersAreErrors) {
  struct Case {
    int Status;
    const char *Text;
    ErrorCode ReadError;
    ErrorCode WriteError;
  };
  const ErrorCode NoEffect = ErrorCode::Unavailable;
  const ErrorCode Unknown = ErrorCode::OutcomeUnknown;
  const Case Cases[] = {
      {200, "", NoEffect, Unknown},
      {200, "[]", NoEffect, Unknown},
      {200, "{\"header\":", NoEffect, Unknown},
      {200, R"({"header":{"revision":"x"}})", NoEffect, Unknown},
      {200, R"({"header":{"revision":["1"]}})", NoEffect, Unknown},
      {200, R"({"header":{"revision":"99999999999999999999"}})", NoEffect,
       Unknown},
      {500, "", NoEffect, Unknown},
      {503, R"({"code":14,"message":"etcdserver: request timed out"})",
       NoEffect, Unknown},
      {503, R"({"code":14,"message":"etcdserver: no leader"})", NoEffect,
       NoEffect},
      {429, R"({"code":8,"message":"etcdserver: too many requests"})", NoEffect,
       NoEffect},
      {400, R"({"code":3,"message":"etcdserver: bad"})", NoEffect, NoEffect},
  };
  for (const Case &Item : Cases) {
    FixedAnswerServer Server(Item.Status, Item.Text);
    EtcdStore Store(Server.address(), CallTimeout);
    EXPECT_EQ(Store.list("/").error().Code, Item.ReadError) << Item.Text;
    EXPECT_EQ(Store.put("/a", "x", 0).error().Code, Item.WriteError)
        << Item.Text;
  }
}

TEST(EtcdStore, MalformedFieldsAreErrors) {
  const char *const Texts[] = {
      R"({"kvs":[{"key":"?"}]})",
      R"({"kvs":[{"key":7}]})",
      R"({"kvs":[{"key":"YQ==","mod_revision":"1.5"}]})",
      R"({"kvs":[{"key":"YQ==","lease":{}}]})",
  };
  for (const char *Text : Texts) {
    FixedAnswerServer Server(200, Text);
    EtcdStore Store(Server.address(), CallTimeout);
    EXPECT_EQ(Store.get("/a").error().Code, ErrorCode::Unavailable) << Text;
  }
}

TEST(EtcdStore, WatchFailsAtAMalformedLine) {
  struct Case {
    const char *Text;
    size_t Events;
  };
  const char *const Put =
      R"({"result":{"events":[{"kv":{"key":"YQ==","mod_revision":"2"}}]}})";
  const std::string PutThenBad = std::string(Put) + "\nbad\n" + Put + "\n";
  const Case Cases[] = {
      {"bad\n", 0},
      {"{}\n", 0},
      {"{\"error\":{\"code\":14}}\n", 0},
      {"{\"result\":{\"canceled\":true,\"compact_revision\":\"5\"}}\n", 0},
      {"{\"result\":{\"events\":[{\"kv\":{\"key\":\"?\"}}]}}\n", 0},
      {"", 0},
      {PutThenBad.c_str(), 1},
  };
  for (const Case &Item : Cases) {
    FixedAnswerServer Server(200, Item.Text);
    EtcdStore Store(Server.address(), CallTimeout);
    testing::WatchLog Log;
    EXPECT_EQ(Store.watch("/", {0}, Log.callback(), {}).error().Code,
              ErrorCode::Unavailable)
        << Item.Text;
    EXPECT_EQ(Log.lines().size(), Item.Events) << Item.Text;
  }
}

TEST(EtcdStore, WriteToAClosedPortHasNoEffect) {
  base::Address Closed;
  {
    standin::StoreServer Server(2);
    Closed = Server.start(Loopback).value();
  }
  EtcdStore Store(Closed, CallTimeout);
  EXPECT_EQ(Store.put("/a", "x", 0).error().Code, ErrorCode::Unavailable);
}

TEST(Base64, EncodesAndDecodesAsInRfc4648) {
  struct Case {
    std::string Bytes;
    std::string Text;
  };
  // The test vectors of RFC 4648 section 10, and values with all bits set and
  // all bits clear.
  const Case Cases[] = {
      {"", ""},
      {"f", "Zg=="},
      {"fo", "Zm8="},
      {"foo", "Zm9v"},
      {"foob", "Zm9vYg=="},
      {"foobar", "Zm9vYmFy"},
      {"\xFF\xFF\xFF", "////"},
      {std::string("\0\0", 2), "AAA="},
  };
  for (const Case &Item : Cases) {
    EXPECT_EQ(base64Text(Item.Bytes), Item.Text);
    ASSERT_TRUE(parseBase64(Item.Text)) << Item.Text;
    EXPECT_EQ(parseBase64(Item.Text).value(), Item.Bytes);
  }
  for (const char *Text : {"Zg", "Zg=", "Zg===", "====", "=", "Z=g=", "Zm9?",
                           "Zm9v\n", "Zm 9", "Zm9-"}) {
    EXPECT_FALSE(parseBase64(Text)) << Text;
  }
}

TEST(EtcdJson, PrefixEndIsTheFirstKeyAfterThePrefix) {
  EXPECT_EQ(prefixEnd("/a/"), "/a0");
  EXPECT_EQ(prefixEnd("a\xFF"), "b");
  EXPECT_EQ(prefixEnd("\xFF\xFF"), std::string(1, '\0'));
  EXPECT_EQ(prefixEnd(""), std::string(1, '\0'));
}

TEST(KeyValueState, ChangesOlderThanTheLogAreAnError) {
  standin::KeyValueState State;
  const standin::KeyRange All = standin::prefixRange("/");
  for (size_t Write = 0; Write < standin::MaxLoggedChanges; ++Write) {
    ASSERT_TRUE(State.put("/a", "x", 0));
  }
  EXPECT_TRUE(State.changesAfter(1, All));
  ASSERT_TRUE(State.put("/a", "x", 0));
  EXPECT_FALSE(State.changesAfter(1, All));
  EXPECT_EQ(State.changesAfter(2, All).value().size(),
            standin::MaxLoggedChanges);
}

TEST(KeyValueState, LeaseExpiresUnlessKeptAlive) {
  const base::TimePoint Start{std::chrono::hours(24)};
  standin::KeyValueState State;
  LeaseId Lease = State.grantLease(Start, seconds(6));
  ASSERT_TRUE(State.put("/a", "x", Lease));
  ASSERT_TRUE(State.keepAlive(Start + seconds(5), Lease));
  State.expireLeases(Start + seconds(11) - base::Duration(1));
  EXPECT_TRUE(State.get("/a"));
  State.expireLeases(Start + seconds(11));
  EXPECT_FALSE(State.get("/a"));
}

TEST(StoreServer, AcceptsFaultsOverHttp) {
  struct Case {
    const char *Text;
    int Status;
    bool IsPutServed;
  };
  const Case Cases[] = {
      {R"({"down":"refuse"})", 200, false},
      {R"({"heal":true})", 200, true},
      {R"({"lose_answers":1,"slow_ms":1})", 200, false},
      {R"({"heal":true,"watch_silent":true})", 200, true},
      {R"({"down":"refuse","expire_lease":"all"})", 200, false},
      {R"({"down":"no"})", 200, true},
      // If one fault of a request is invalid, none of them is applied.
      {R"({"down":"refuse","slow_ms":"x"})", 400, true},
      {R"({"down":"no","lose_answers":-1})", 400, true},
      {R"({"down":"other"})", 400, true},
      {R"({"unknown":1})", 400, true},
      {R"({"heal":false})", 400, true},
      {"{}", 400, true},
      {"text", 400, true},
  };
  standin::StoreServer Server(4);
  base::Address Address = Server.start(Loopback).value();
  EtcdStore Store(Address, CallTimeout);
  httplib::Client Client("127.0.0.1", Address.Port);
  for (const Case &Item : Cases) {
    auto Answer = Client.Post("/standin/fault", Item.Text, JsonType);
    ASSERT_TRUE(Answer) << Item.Text;
    EXPECT_EQ(Answer->status, Item.Status) << Item.Text;
    EXPECT_EQ(Store.put("/a", "x", 0).has_value(), Item.IsPutServed)
        << Item.Text;
  }
  auto Counts = Client.Get("/standin/counts");
  ASSERT_TRUE(Counts);
  EXPECT_EQ(json::parse(Counts->body)["put"], std::size(Cases));
}

TEST(EtcdGateway, RejectsMalformedRequests) {
  using standin::EtcdGateway;
  struct Case {
    EtcdGateway::Call Call;
    const char *Text;
  };
  const Case Cases[] = {
      {&EtcdGateway::range, "{}"},
      {&EtcdGateway::range, R"({"key":"?"})"},
      {&EtcdGateway::put, R"({"value":"eA=="})"},
      {&EtcdGateway::put, R"({"key":"eA==","lease":"x"})"},
      {&EtcdGateway::txn, R"({"compare":7,"success":[],"failure":{}})"},
      {&EtcdGateway::deleteRange, "[]"},
      {&EtcdGateway::grantLease, "{}"},
      {&EtcdGateway::grantLease, R"({"TTL":"9223372036854775807"})"},
      {&EtcdGateway::keepAlive, R"({"ID":true})"},
  };
  for (const Case &Item : Cases) {
    EtcdGateway Gateway;
    auto Answer = (Gateway.*Item.Call)({}, parseObject(Item.Text));
    ASSERT_FALSE(Answer) << Item.Text;
    EXPECT_EQ(Answer.error().Code, ErrorCode::Malformed) << Item.Text;
  }
}

} // namespace
} // namespace bilberry::store
