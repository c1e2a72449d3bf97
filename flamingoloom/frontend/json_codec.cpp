#include "flamingoloom/frontend/json_codec.h"

#include <array>
#include <optional>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "flamingoloom/base/digest.h"
#include "flamingoloom/frontend/json_reader.h"

namespace flamingoloom::frontend {
namespace {

using base::Error;
using base::ErrorCode;
using base::Expected;
using control::CallerAnswer;
using control::DataCentreState;
using control::DataCentreView;
using internal::ObjectReader;
using nlohmann::json;

constexpr const char* kReadBodyStep = "read request body";
constexpr const char* kReadAnswerStep = "read answer";
constexpr const char* kInstancePeer = "instance";

Expected<std::string> Dump(const json& aDocument)
{
  try {
    return aDocument.dump();
  } catch (const json::exception&) {
    return base::MakeError(
      ErrorCode::eBadAnswer, "write JSON", "", "a text is not valid UTF-8");
  }
}

std::string_view StateName(DataCentreState aState)
{
  return aState == DataCentreState::eInService ? "in" : "out";
}

DataCentreState ReadDataCentreState(ObjectReader& aReader)
{
  std::string text = aReader.Text("state");
  if (text != "in" && text != "out") {
    aReader.Reject("state", "must be \"in\" or \"out\"");
  }
  return text == "out" ? DataCentreState::eOutOfService
                       : DataCentreState::eInService;
}

control::RequestState ReadRequestState(ObjectReader& aReader)
{
  using control::RequestState;
  constexpr std::array kStates = {
    RequestState::ePending,   RequestState::eFinished, RequestState::eFailed,
    RequestState::eCancelled, RequestState::eRefused,  RequestState::eUnknown,
  };
  std::string text = aReader.Text("state");
  for (RequestState state : kStates) {
    if (control::RequestStateName(state) == text) {
      return state;
    }
  }
  aReader.Reject("state", "is not a state of a request");
  return RequestState::eUnknown;
}

control::Ran ReadRan(ObjectReader& aReader)
{
  using control::Ran;
  std::string text = aReader.Text("ran");
  for (Ran ran : { Ran::eNo, Ran::eYes, Ran::eUnknown }) {
    if (control::RanName(ran) == text) {
      return ran;
    }
  }
  aReader.Reject("ran", "must be \"yes\", \"no\" or \"unknown\"");
  return Ran::eUnknown;
}

// Returns "account/key", as in the path of the request.
std::string RequestName(const base::RequestId& aRequest)
{
  return aRequest.mAccount.Value() + "/" + aRequest.mKey;
}

base::RequestId ReadRequestName(ObjectReader& aReader)
{
  std::string text = aReader.Text("request");
  std::size_t slash = text.find('/');
  if (slash == std::string::npos) {
    aReader.Reject("request", "must be of the form account/key");
    return {};
  }
  return { base::AccountId(text.substr(0, slash)), text.substr(slash + 1) };
}

// Returns the answer with its digest; an error when the digest does not match.
Expected<CallerAnswer> CheckOrAddDigest(CallerAnswer aAnswer)
{
  std::string digest = base::Sha256Hex(aAnswer.mAnswer);
  if (aAnswer.mAnswerSha256.empty()) {
    aAnswer.mAnswerSha256 = digest;
  }
  if (aAnswer.mAnswerSha256 != digest) {
    return base::MakeError(ErrorCode::eBadAnswer,
                           "check answer",
                           aAnswer.mServer.Value(),
                           "the answer does not match its digest",
                           "answerSha256");
  }
  return aAnswer;
}

json ToJson(const DataCentreView& aView)
{
  return { { "dataCentre", aView.mDataCentre.Value() },
           { "state", StateName(aView.mState) },
           { "acknowledged", aView.mAcknowledged },
           { "reason", aView.mReason },
           { "operator", aView.mOperator },
           { "version", aView.mVersion },
           { "owner", aView.mOwner.Value() },
           { "epoch", aView.mEpoch.Value() } };
}

DataCentreView ReadDataCentre(ObjectReader& aReader)
{
  DataCentreView view;
  view.mDataCentre = base::DataCentreId(aReader.Text("dataCentre"));
  view.mState = ReadDataCentreState(aReader);
  view.mAcknowledged = aReader.Bool("acknowledged");
  view.mReason = aReader.Text("reason");
  view.mOperator = aReader.Text("operator");
  view.mVersion = aReader.Unsigned("version");
  view.mOwner = base::InstanceId(aReader.Text("owner"));
  view.mEpoch = base::Epoch(aReader.Unsigned("epoch"));
  return view;
}

// Inserts the document as text instead of encoding it again, so that its digest
// does not change.
Expected<std::string> WrapConfig(const char* aVersionField,
                                 const ConfigDocument& aDocument)
{
  Expected<json> checked =
    aDocument.mJson.empty()
      ? Expected<json>(json())
      : internal::ParseJson(aDocument.mJson, "write JSON", "configuration");
  if (!checked) {
    return tl::unexpected<Error>(checked.error());
  }
  return fmt::format("{{\"{}\":{},\"configuration\":{}}}",
                     aVersionField,
                     aDocument.mVersion,
                     aDocument.mJson.empty() ? "null" : aDocument.mJson);
}

} // namespace

Expected<std::string> EncodeSubmission(const control::CallerRequest& aRequest)
{
  return Dump({ { "account", aRequest.mAccount.Value() },
                { "kind", aRequest.mKind.Value() },
                { "payload", aRequest.mPayload },
                { "waitMs", base::ToMilliseconds(aRequest.mWait) } });
}

Expected<control::CallerRequest> DecodeSubmission(std::string_view aText,
                                                  const WaitLimits& aLimits)
{
  ObjectReader reader(aText, kReadBodyStep, "caller");
  control::CallerRequest request;
  request.mAccount = base::AccountId(reader.Name("account"));
  request.mKind = base::KindId(reader.Name("kind"));
  request.mPayload = reader.Text("payload");
  request.mWait = aLimits.mDefault;
  if (reader.Has("waitMs")) {
    std::uint64_t wait = reader.Unsigned("waitMs");
    auto max = base::ToMilliseconds(aLimits.mMax);
    if (wait > static_cast<std::uint64_t>(max)) {
      reader.Reject("waitMs", fmt::format("must be at most {}", max));
    } else {
      request.mWait = std::chrono::milliseconds(wait);
    }
  }
  return reader.Finish(request);
}

Expected<std::string> EncodeAnswer(const CallerAnswer& aAnswer)
{
  return CheckOrAddDigest(aAnswer).and_then([](const CallerAnswer& aChecked) {
    return Dump({ { "state", control::RequestStateName(aChecked.mState) },
                  { "ran", control::RanName(aChecked.mRan) },
                  { "request", RequestName(aChecked.mRequest) },
                  { "attempt", aChecked.mAttempt.Value() },
                  { "answer", aChecked.mAnswer },
                  { "answerBytes", aChecked.mAnswer.size() },
                  { "answerSha256", aChecked.mAnswerSha256 },
                  { "server", aChecked.mServer.Value() },
                  { "dataCentre", aChecked.mDataCentre.Value() },
                  { "reason", aChecked.mReason } });
  });
}

Expected<CallerAnswer> DecodeAnswer(std::string_view aText)
{
  ObjectReader reader(aText, kReadAnswerStep, kInstancePeer);
  CallerAnswer answer;
  answer.mState = ReadRequestState(reader);
  answer.mRan = ReadRan(reader);
  answer.mRequest = ReadRequestName(reader);
  answer.mAttempt = base::AttemptId(reader.Text("attempt"));
  answer.mAnswer = reader.Text("answer");
  answer.mAnswerSha256 = reader.Text("answerSha256");
  answer.mServer = base::ServerId(reader.Text("server"));
  answer.mDataCentre = base::DataCentreId(reader.Text("dataCentre"));
  answer.mReason = reader.Text("reason");
  if (reader.Unsigned("answerBytes") != answer.mAnswer.size()) {
    reader.Reject("answerBytes", "is not the length of the answer");
  }
  return reader.FinishAllowingUnknown(answer).and_then(CheckOrAddDigest);
}

Expected<std::string> EncodeDataCentreChange(
  const control::DataCentreChange& aChange)
{
  return Dump({ { "state", StateName(aChange.mState) },
                { "operator", aChange.mOperator },
                { "expectedVersion", aChange.mExpectedVersion } });
}

Expected<control::DataCentreChange> DecodeDataCentreChange(
  std::string_view aText)
{
  ObjectReader reader(aText, kReadBodyStep, "operator");
  control::DataCentreChange change;
  change.mState = ReadDataCentreState(reader);
  change.mOperator = reader.Name("operator");
  change.mExpectedVersion = reader.Unsigned("expectedVersion");
  return reader.Finish(change);
}

Expected<std::string> EncodeDataCentre(const DataCentreView& aView)
{
  return Dump(ToJson(aView));
}

Expected<DataCentreView> DecodeDataCentre(std::string_view aText)
{
  ObjectReader reader(aText, kReadAnswerStep, kInstancePeer);
  return reader.FinishAllowingUnknown(ReadDataCentre(reader));
}

Expected<std::string> EncodeDataCentres(
  const std::vector<DataCentreView>& aViews)
{
  json list = json::array();
  for (const DataCentreView& view : aViews) {
    list.push_back(ToJson(view));
  }
  return Dump({ { "dataCentres", list } });
}

Expected<std::vector<DataCentreView>> DecodeDataCentres(std::string_view aText)
{
  ObjectReader reader(aText, kReadAnswerStep, kInstancePeer);
  std::vector<DataCentreView> views;
  for (const json& entry : reader.Array("dataCentres")) {
    std::string path = fmt::format("dataCentres[{}]", views.size());
    ObjectReader entryReader(entry, kReadAnswerStep, kInstancePeer, path);
    Expected<DataCentreView> view =
      entryReader.FinishAllowingUnknown(ReadDataCentre(entryReader));
    if (!view) {
      return tl::unexpected<Error>(view.error());
    }
    views.push_back(*view);
  }
  return reader.FinishAllowingUnknown(views);
}

Expected<std::string> EncodeConfigChange(const ConfigDocument& aChange)
{
  return WrapConfig("expectedVersion", aChange);
}

Expected<ConfigDocument> DecodeConfigChange(std::string_view aText)
{
  ObjectReader reader(aText, kReadBodyStep, "operator");
  ConfigDocument change;
  change.mVersion = reader.Unsigned("expectedVersion");
  json document = reader.Object("configuration");
  return reader.Finish(change).and_then(
    [&document](ConfigDocument aChange) -> Expected<ConfigDocument> {
      return Dump(document).map([&aChange](std::string aJson) {
        aChange.mJson = std::move(aJson);
        return aChange;
      });
    });
}

Expected<std::string> EncodeConfig(const ConfigDocument& aDocument)
{
  return WrapConfig("version", aDocument);
}

Expected<ConfigDocument> DecodeConfig(std::string_view aText)
{
  ObjectReader reader(aText, kReadAnswerStep, kInstancePeer);
  ConfigDocument document;
  document.mVersion = reader.Unsigned("version");
  if (!reader.IsNull("configuration")) {
    Expected<std::string> text = Dump(reader.Object("configuration"));
    if (!text) {
      return tl::unexpected<Error>(text.error());
    }
    document.mJson = std::move(*text);
  }
  return reader.FinishAllowingUnknown(document);
}

std::string EncodeConfigVersion(std::uint64_t aVersion)
{
  return fmt::format("{{\"version\":{}}}", aVersion);
}

Expected<std::uint64_t> DecodeConfigVersion(std::string_view aText)
{
  ObjectReader reader(aText, kReadAnswerStep, kInstancePeer);
  return reader.FinishAllowingUnknown(reader.Unsigned("version"));
}

std::string EncodeError(const Error& aError)
{
  json fields = { { "code", base::ErrorCodeName(aError.mCode) },
                  { "step", aError.mStep },
                  { "field", aError.mField },
                  { "peer", aError.mPeer },
                  { "message", aError.mMessage } };
  json document = { { "error", fields } };
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Expected<Error> DecodeError(std::string_view aText)
{
  ObjectReader reader(aText, kReadAnswerStep, kInstancePeer);
  ObjectReader fields(
    reader.Object("error"), kReadAnswerStep, kInstancePeer, "error");
  Error error;
  error.mCode = base::ErrorCodeFromName(fields.Text("code"));
  error.mStep = fields.Text("step");
  error.mField = fields.Text("field");
  error.mPeer = fields.Text("peer");
  error.mMessage = fields.Text("message");
  return reader.FinishAllowingUnknown(error).and_then(
    [&fields](const Error& aError) {
      return fields.FinishAllowingUnknown(aError);
    });
}

} // namespace flamingoloom::frontend
