#include <doctest/doctest.h>

#include "flamingoloom/platform/json_codec.h"

namespace flamingoloom::platform {
namespace {

using nlohmann::json;

// Checks that aValue is encoded as aText, and that aText is decoded to aValue.
template <class T>
void CheckRoundTrip(const T& aValue, const char* aText)
{
  CHECK(json(aValue) == json::parse(aText));
  auto read = Decode<T>(aText, "step", "peer");
  REQUIRE(read);
  CHECK(*read == aValue);
}

} // namespace

// Guards against a changed encoding that the platform and the backend servers
// would not understand, although encoder and decoder still agree. The documents
// are those of sections 9.2 and 9.3 of docs/design.md.
TEST_CASE("port types have the documented JSON representations")
{
  CheckRoundTrip(
    Transaction{ { { "a", 0, "x" }, { "b", 3, {} } }, { { "c", 4 } } },
    R"({"writes":[{"key":"a","expectedVersion":0,"value":"x"},
                          {"key":"b","expectedVersion":3,"value":null}],
                "checks":[{"key":"c","expectedVersion":4}]})");
  CheckRoundTrip(TransactionResult{ { { "a", 5 } }, {} },
                 R"({"versions":{"a":5}})");
  CheckRoundTrip(TransactionResult{ {}, { { "a", 5 } } },
                 R"({"conflicts":[{"key":"a","version":5}]})");
  CheckRoundTrip(Row{ "a", 5, "x" }, R"({"key":"a","version":5,"value":"x"})");
  CheckRoundTrip(MemberList{ { { "s",
                                 MemberKind::eServer,
                                 base::DataCentreId("d"),
                                 base::RegionId("r"),
                                 2,
                                 "h:1",
                                 "",
                                 MemberState::eDraining,
                                 8,
                                 64,
                                 8 } },
                             std::chrono::milliseconds(1500) },
                 R"({"members":[{"id":"s","kind":"server","dataCentre":"d",
                "region":"r","rack":2,"address":"h:1","peerAddress":"",
                "state":"leaving","slots":8,"connections":64,
                "accelerators":8}],"ageMs":1500})");
  CheckRoundTrip(TaskStart{ base::AttemptId("t"),
                            { base::AccountId("c"), "k" },
                            base::KindId("render"),
                            base::DataCentreId("d"),
                            base::Epoch(3),
                            "p",
                            2,
                            { 0, 1 },
                            "g",
                            4,
                            std::chrono::milliseconds(5000) },
                 R"({"attempt":"t","request":"k","account":"c","kind":"render",
                "dataCentre":"d","epoch":3,"payload":"p","slots":2,
                "accelerators":[0,1],"gang":{"id":"g","size":4},
                "leaseMs":5000})");
  CheckRoundTrip(
    TaskStatus{ base::AttemptId("t"),
                { base::AccountId("c"), "k" },
                TaskState::eFinished,
                "x",
                1,
                "d" },
    R"({"attempt":"t","request":"k","account":"c","state":"finished",
                "answer":"x","answerBytes":1,"answerSha256":"d"})");
}

// Guards against accepting an invalid document as a value, and against
// exceptions that leave the library.
TEST_CASE("invalid documents give an error")
{
  for (const char* text : { "",
                            "{",
                            "[]",
                            "{}",
                            R"({"state":"done"})",
                            R"({"state":1})",
                            R"({"state":"finished","answer":{}})" }) {
    CAPTURE(text);
    auto status = Decode<TaskStatus>(text, "step", "peer");
    REQUIRE_FALSE(status);
    CHECK(status.error().mCode == base::ErrorCode::eBadAnswer);
  }
  CHECK(EncodeJson("\xff", "step", "peer").error().mCode ==
        base::ErrorCode::eInvalid);
}

} // namespace flamingoloom::platform
