#include "flamingoloom/control/record_answer.h"

namespace flamingoloom::control {
namespace {

RequestState StateOf(ledger::RecordState aState)
{
  switch (aState) {
    case ledger::RecordState::eFinished:
      return RequestState::eFinished;
    case ledger::RecordState::eFailed:
      return RequestState::eFailed;
    case ledger::RecordState::eCancelled:
      return RequestState::eCancelled;
    case ledger::RecordState::eRefused:
      return RequestState::eRefused;
    case ledger::RecordState::eUnknown:
      return RequestState::eUnknown;
    case ledger::RecordState::eAccepted:
    case ledger::RecordState::eStarting:
      break;
  }
  return RequestState::ePending;
}

Ran RanOf(const ledger::Record& aRecord)
{
  switch (aRecord.mState) {
    case ledger::RecordState::eFinished:
    case ledger::RecordState::eFailed:
      return Ran::eYes;
    case ledger::RecordState::eRefused:
      return Ran::eNo;
    default:
      return aRecord.mMayHaveRun ? Ran::eUnknown : Ran::eNo;
  }
}

} // namespace

CallerAnswer AnswerFromRecord(const ledger::Record& aRecord)
{
  CallerAnswer answer;
  answer.mState = StateOf(aRecord.mState);
  answer.mRan = RanOf(aRecord);
  answer.mRequest = aRecord.mRequest;
  answer.mAnswer = aRecord.mAnswer;
  answer.mAnswerSha256 = aRecord.mAnswerSha256;
  answer.mDataCentre = aRecord.mDataCentre;
  answer.mReason = aRecord.mReason;
  if (aRecord.mAttempt) {
    answer.mAttempt = aRecord.mAttempt->mId;
    if (!aRecord.mAttempt->mPlacements.empty()) {
      answer.mServer = aRecord.mAttempt->mPlacements.front().mServer.mId;
    }
  }
  return answer;
}

} // namespace flamingoloom::control
