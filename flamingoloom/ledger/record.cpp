#include "flamingoloom/ledger/record.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "flamingoloom/base/digest.h"

namespace flamingoloom::ledger {
namespace {

using base::ErrorCode;
using base::Expected;
using base::MakeError;

tl::unexpected<base::Error> Forbidden(const Record& aRecord,
                                      const std::string& aStep)
{
  return MakeError(ErrorCode::eInvalid,
                   aStep,
                   "ledger",
                   fmt::format("request {}/{} is in state {}",
                               aRecord.mRequest.mAccount.Value(),
                               aRecord.mRequest.mKey,
                               static_cast<int>(aRecord.mState)));
}

Record Terminal(Record aRecord, RecordState aState, std::string aReason)
{
  aRecord.mState = aState;
  aRecord.mReason = std::move(aReason);
  aRecord.mPayload.clear();
  return aRecord;
}

} // namespace

base::AttemptId Attempt::TaskId(std::size_t aTask) const
{
  if (!IsGang()) {
    return mId;
  }
  return base::AttemptId(fmt::format("{}.{}", mId.Value(), aTask));
}

std::string BodySha256(const base::KindId& aKind, const std::string& aPayload)
{
  return base::Sha256Hex(aKind.Value() + "\n" + aPayload);
}

Expected<Record> Start(const Record& aRecord, Attempt aAttempt)
{
  if (aRecord.mState != RecordState::eAccepted) {
    return Forbidden(aRecord, "start");
  }
  Record next = aRecord;
  next.mState = RecordState::eStarting;
  next.mAttempt = std::move(aAttempt);
  ++next.mAttemptsMade;
  return next;
}

Expected<Record> Finish(const Record& aRecord, std::string aAnswer)
{
  if (aRecord.mState != RecordState::eStarting) {
    return Forbidden(aRecord, "finish");
  }
  Record next = Terminal(aRecord, RecordState::eFinished, "");
  next.mMayHaveRun = true;
  next.mAnswerSha256 = base::Sha256Hex(aAnswer);
  next.mAnswer = std::move(aAnswer);
  return next;
}

Expected<Record> Fail(const Record& aRecord, std::string aReason)
{
  if (aRecord.mState != RecordState::eStarting) {
    return Forbidden(aRecord, "fail");
  }
  Record next = Terminal(aRecord, RecordState::eFailed, std::move(aReason));
  next.mMayHaveRun = true;
  return next;
}

Expected<Record> MarkUnknown(const Record& aRecord, std::string aReason)
{
  if (aRecord.mState != RecordState::eStarting) {
    return Forbidden(aRecord, "mark as unknown");
  }
  Record next = Terminal(aRecord, RecordState::eUnknown, std::move(aReason));
  next.mMayHaveRun = true;
  return next;
}

Expected<Record> Apply(const Record& aRecord, const Requeue& aRequeue)
{
  if (aRecord.mState != RecordState::eStarting) {
    return Forbidden(aRecord, "requeue");
  }
  if (!aRequeue.mCertainlyNotRun && !aRequeue.mIdempotent) {
    return Forbidden(aRecord, "retry a non-idempotent request");
  }
  Record next = aRecord;
  next.mState = RecordState::eAccepted;
  next.mMayHaveRun = aRecord.mMayHaveRun || !aRequeue.mCertainlyNotRun;
  next.mReason = aRequeue.mReason;
  if (aRequeue.mFailedServer &&
      std::find(next.mFailedServers.begin(),
                next.mFailedServers.end(),
                *aRequeue.mFailedServer) == next.mFailedServers.end()) {
    next.mFailedServers.push_back(*aRequeue.mFailedServer);
  }
  return next;
}

Expected<Record> Refuse(const Record& aRecord, std::string aReason)
{
  if (aRecord.mState != RecordState::eAccepted || aRecord.mMayHaveRun) {
    return Forbidden(aRecord, "refuse");
  }
  return Terminal(aRecord, RecordState::eRefused, std::move(aReason));
}

Expected<Record> Cancel(const Record& aRecord, std::string aReason)
{
  if (aRecord.IsTerminal()) {
    return Forbidden(aRecord, "cancel");
  }
  Record next = Terminal(aRecord, RecordState::eCancelled, std::move(aReason));
  next.mMayHaveRun =
    aRecord.mMayHaveRun || aRecord.mState == RecordState::eStarting;
  return next;
}

Expected<Record> Relocate(const Record& aRecord, base::DataCentreId aTo)
{
  if (aRecord.mState != RecordState::eAccepted) {
    return Forbidden(aRecord, "move");
  }
  Record next = aRecord;
  next.mDataCentre = std::move(aTo);
  return next;
}

std::string OpenPrefix(const base::DataCentreId& aDataCentre)
{
  return "request/" + aDataCentre.Value() + "/";
}

std::string OpenKey(const base::DataCentreId& aDataCentre,
                    const base::RequestId& aRequest)
{
  return OpenPrefix(aDataCentre) + aRequest.mAccount.Value() + "/" +
         aRequest.mKey;
}

std::string IndexKey(const base::RequestId& aRequest)
{
  return "key/" + aRequest.mAccount.Value() + "/" + aRequest.mKey;
}

} // namespace flamingoloom::ledger
