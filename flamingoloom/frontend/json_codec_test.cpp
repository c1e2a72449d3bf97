// JSON documents in both directions.
#include <doctest/doctest.h>

#include "flamingoloom/base/digest.h"
#include "flamingoloom/frontend/json_codec.h"

namespace flamingoloom::frontend::test {
namespace {

control::CallerAnswer SomeAnswer()
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

control::DataCentreView SomeView()
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

TEST_CASE("documents are read as they were written")
{
  control::CallerRequest request{ base::AccountId("a"),
                                  base::KindId("k"),
                                  "",
                                  "payload",
                                  std::chrono::milliseconds(20) };
  WaitLimits limits{ std::chrono::seconds(1), std::chrono::seconds(2) };
  CHECK(DecodeSubmission(*EncodeSubmission(request), limits) == request);
  CHECK(DecodeAnswer(*EncodeAnswer(SomeAnswer())) == SomeAnswer());
  CHECK(DecodeDataCentre(*EncodeDataCentre(SomeView())) == SomeView());
  std::vector<control::DataCentreView> views{ SomeView(), SomeView() };
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

// A client of an older version must understand a newer instance.
TEST_CASE("answers may have further fields, requests may not")
{
  std::string answer = *EncodeAnswer(SomeAnswer());
  answer.insert(1, "\"later\":1,");
  CHECK(DecodeAnswer(answer) == SomeAnswer());
  CHECK(DecodeDataCentreChange(
          R"({"later":1,"state":"in","operator":"a","expectedVersion":1})")
          .error()
          .mField == "later");
}

// Guards P4 on the caller's side.
TEST_CASE("a damaged answer is detected")
{
  std::string text = *EncodeAnswer(SomeAnswer());
  std::string damaged = text;
  damaged.replace(damaged.find("pap"), 3, "pop");
  CHECK(DecodeAnswer(damaged).error().mCode == base::ErrorCode::eBadAnswer);
  std::string truncated = text;
  truncated.replace(truncated.find("pap"), 3, "");
  CHECK(DecodeAnswer(truncated).error().mField == "answerBytes");
}

TEST_CASE("faults in parts of a document are named by path")
{
  auto views = DecodeDataCentres(R"({"dataCentres":[{"dataCentre":"d"}]})");
  CHECK(views.error().mField == "dataCentres[0].state");
  CHECK(DecodeError(R"({"error":{"code":1}})").error().mField == "error.code");
}

TEST_CASE("invalid UTF-8 is an error in answers and replaced in errors")
{
  control::CallerAnswer answer = SomeAnswer();
  answer.mReason = "\xff";
  CHECK(EncodeAnswer(answer).error().mCode == base::ErrorCode::eBadAnswer);
  base::Error error{ base::ErrorCode::eFailed, "\xff", "", "", "" };
  CHECK(DecodeError(EncodeError(error))->mStep == "\xEF\xBF\xBD");
}

TEST_CASE("a stored document that is no JSON is not passed on")
{
  CHECK_FALSE(EncodeConfig({ 1, "{" }));
  CHECK_FALSE(EncodeConfig({ 1, std::string(100, '[') }));
}

} // namespace flamingoloom::frontend::test
