// Encoding and decoding of the JSON documents of the HTTP API.
#include <doctest/doctest.h>

#include "flamingoloom/base/digest.h"
#include "flamingoloom/frontend/json_codec.h"

namespace flamingoloom::frontend::test {
namespace {

control::CallerAnswer MakeAnswer()
{
  control::CallerAnswer answer;
  answer.mState = control::RequestState::eFailed;
  answer.mRan = control::Ran::eYes;
  answer.mRequest = { base::AccountId("a"), "k/1" };
  answer.mAttempt = base::AttemptId("t");
  answer.mAnswer = "Þerripappír \"\n";
  answer.mAnswerSha256 = base::Sha256Hex(answer.mAnswer);
  answer.mServer = base::ServerId("s");
  answer.mDataCentre = base::DataCentreId("d");
  answer.mReason = "no tries left";
  return answer;
}

control::DataCentreView MakeView()
{
  return { base::DataCentreId("d"),
           control::DataCentreState::eOutOfService,
           true,
           "reason",
           "anna",
           7,
           base::InstanceId("i"),
           base::Epoch(3) };
}

} // namespace

// Guards against fields that one direction omits or names differently.
TEST_CASE("decoding an encoded document preserves it")
{
  control::CallerRequest request{ base::AccountId("a"),
                                  base::KindId("k"),
                                  "",
                                  "payload",
                                  std::chrono::milliseconds(20) };
  WaitLimits limits{ std::chrono::seconds(1), std::chrono::seconds(2) };
  CHECK(DecodeSubmission(*EncodeSubmission(request), limits) == request);
  CHECK(DecodeAnswer(*EncodeAnswer(MakeAnswer())) == MakeAnswer());
  CHECK(DecodeDataCentre(*EncodeDataCentre(MakeView())) == MakeView());
  std::vector<control::DataCentreView> views{ MakeView(), MakeView() };
  CHECK(DecodeDataCentres(*EncodeDataCentres(views)) == views);
  control::DataCentreChange change{
    {}, control::DataCentreState::eOutOfService, "anna", 3
  };
  CHECK(DecodeDataCentreChange(*EncodeDataCentreChange(change)) == change);
  ConfigDocument document{ 4, R"({"a":1})" };
  CHECK(DecodeConfig(*EncodeConfig(document)) == document);
  CHECK(DecodeConfigChange(*EncodeConfigChange(document)) == document);
  CHECK(DecodeConfig(*EncodeConfig({})) == ConfigDocument{});
  CHECK(DecodeConfigVersion(EncodeConfigVersion(9)) == 9);
  base::Error error{
    base::ErrorCode::eStaleEpoch, "step", "peer", "message", "field"
  };
  CHECK(DecodeError(EncodeError(error)) == error);
}

// Guards against a client that fails when a newer instance adds a field to its
// responses.
TEST_CASE("responses may have unknown fields, requests may not")
{
  std::string answer = *EncodeAnswer(MakeAnswer());
  answer.insert(1, "\"later\":1,");
  CHECK(DecodeAnswer(answer) == MakeAnswer());
  CHECK(DecodeDataCentreChange(
          R"({"later":1,"state":"in","operator":"a","expectedVersion":1})")
          .error()
          .mField == "later");
}

// Guards property P4 (answers are complete and belong to their request) on the
// side of the caller: a changed or truncated answer must be rejected.
TEST_CASE("a damaged answer is detected")
{
  std::string text = *EncodeAnswer(MakeAnswer());
  std::string damaged = text;
  damaged.replace(damaged.find("pap"), 3, "pop");
  CHECK(DecodeAnswer(damaged).error().mCode == base::ErrorCode::eBadAnswer);
  std::string truncated = text;
  truncated.replace(truncated.find("pap"), 3, "");
  CHECK(DecodeAnswer(truncated).error().mField == "answerBytes");
}

// Guards against a body of many small values, which takes 20 times its size.
TEST_CASE("a document with too many values is rejected")
{
  const auto decode = [](int aValues) {
    std::string text = R"({"account":"a","kind":"k","payload":"","more":[[])";
    for (int i = 1; i < aValues; ++i) {
      text += ",[]";
    }
    return DecodeSubmission(
      text + "]}", { std::chrono::seconds(1), std::chrono::seconds(2) });
  };
  const auto rejected = decode(100'001);
  REQUIRE(!rejected);
  CHECK(rejected.error().mMessage == "the document has too many values");
  const auto otherwise = decode(10);
  REQUIRE(!otherwise);
  CHECK(otherwise.error().mField == "more");
}

TEST_CASE("an error in a nested object names the path of the field")
{
  auto views = DecodeDataCentres(R"({"dataCentres":[{"dataCentre":"d"}]})");
  CHECK(views.error().mField == "dataCentres[0].state");
  CHECK(DecodeError(R"({"error":{"code":1}})").error().mField == "error.code");
}

TEST_CASE("invalid UTF-8 is rejected in answers and replaced in errors")
{
  control::CallerAnswer answer = MakeAnswer();
  answer.mReason = "\xff";
  CHECK(EncodeAnswer(answer).error().mCode == base::ErrorCode::eBadAnswer);
  base::Error error{ base::ErrorCode::eFailed, "\xff", "", "", "" };
  CHECK(DecodeError(EncodeError(error))->mStep == "\xEF\xBF\xBD");
}

// The configuration is inserted as text. Guards against a response that is not
// valid JSON.
TEST_CASE("a stored configuration that is not valid JSON is not encoded")
{
  CHECK_FALSE(EncodeConfig({ 1, "{" }));
  CHECK_FALSE(EncodeConfig({ 1, std::string(100, '[') }));
}

} // namespace flamingoloom::frontend::test
