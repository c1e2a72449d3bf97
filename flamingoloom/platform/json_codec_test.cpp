#include <doctest/doctest.h>

#include "flamingoloom/platform/json_codec.h"

namespace flamingoloom::platform {
namespace {

using nlohmann::json;

// Checks that aValue has the form aText, and that the form is read back.
template <class T>
void CheckForm(const T& aValue, const char* aText)
{
  CHECK(json(aValue) == json::parse(aText));
  auto read = Decode<T>(aText, "step", "peer");
  REQUIRE(read);
  CHECK(*read == aValue);
}

} // namespace

// Guards against forms that only our own programs understand: the texts are
// those of sections 9.2 and 9.3 of the design page.
TEST_CASE("port types have the published JSON forms")
{
  CheckForm(Transaction{ { { "a", 0, "x" }, { "b", 3, {} } }, { { "c", 4 } } },
            R"({"writes":[{"key":"a","expectedVersion":0,"value":"x"},
                          {"key":"b","expectedVersion":3,"value":null}],
                "checks":[{"key":"c","expectedVersion":4}]})");
  CheckForm(TransactionResult{ { { "a", 5 } }, {} }, R"({"versions":{"a":5}})");
  CheckForm(TransactionResult{ {}, { { "a", 5 } } },
            R"({"conflicts":[{"key":"a","version":5}]})");
  CheckForm(Row{ "a", 5, "x" }, R"({"key":"a","version":5,"value":"x"})");
  CheckForm(MemberList{ { { "s",
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
  CheckForm(TaskStart{ base::AttemptId("t"),
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
  CheckForm(TaskStatus{ base::AttemptId("t"),
                        { base::AccountId("c"), "k" },
                        TaskState::eFinished,
                        "x",
                        1,
                        "d" },
            R"({"attempt":"t","request":"k","account":"c","state":"finished",
                "answer":"x","answerBytes":1,"answerSha256":"d"})");
}

// Guards against a document of another form that is taken for a value, and
// against exceptions that cross the library's boundary.
TEST_CASE("documents of another form give an error")
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
