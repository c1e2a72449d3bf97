#include "flamingoloom/peer/caller.h"

#include <fmt/format.h>

namespace flamingoloom::peer::internal {
namespace {

using base::Error;
using base::ErrorCode;
using Outcome = OutgoingCall::Outcome;

kj::Duration ToKj(base::Duration aDuration)
{
  return aDuration.count() * kj::MICROSECONDS;
}

std::string ToString(const kj::Exception& aException)
{
  return { aException.getDescription().cStr() };
}

} // namespace

// One call until its end. The destructor ends a call that has not ended
// otherwise, which happens when the node stops.
class Caller::Progress
{
public:
  Progress(Caller& aCaller, OutgoingCall aCall, LinkTable::Entry& aEntry)
    : mCaller(aCaller)
    , mCall(std::move(aCall))
    , mEntry(aEntry)
  {
    mCaller.mCalls += 1;
  }

  ~Progress()
  {
    if (!mEnded) {
      End({ Failure("this instance is shutting down"), false });
    }
  }

  kj::Promise<Outcome> Send()
  {
    mSent = true;
    return mCall.mSend(mEntry.mLink->Remote());
  }

  kj::Duration Timeout() const { return ToKj(mCall.mTimeout); }

  // Other calls in progress may still be answered, but a new call gets a new
  // connection: this one can be stalled in retransmissions for long.
  void EndByTimeout()
  {
    mCaller.mLinks.Retire(mEntry);
    mCaller.mCounters.UpdatePeer(
      mCall.mPeer.mId, [](PeerCounters& aPeer) { aPeer.mTimeouts += 1; });
    End({ Failure(fmt::format("no answer within {} ms",
                              base::ToMilliseconds(mCall.mTimeout))),
          false });
  }

  void EndByException(const kj::Exception& aException)
  {
    mCaller.mLinks.Retire(mEntry);
    End({ Failure(ToString(aException)), false });
  }

  void End(const Outcome& aOutcome)
  {
    mEnded = true;
    mCaller.mCalls -= 1;
    mCaller.mLinks.Release(mEntry);
    if (aOutcome.mUndecodable) {
      mCaller.mCounters.Update(
        [](NodeCounters& aAll) { aAll.mUndecodable += 1; });
    }
    mCaller.Finish(mCall, aOutcome.mError);
  }

private:
  Error Failure(std::string aMessage) const
  {
    return { mSent ? ErrorCode::eOutcomeUnknown : ErrorCode::eUnavailable,
             mCall.mStep,
             mCall.mPeer.mId.Value(),
             std::move(aMessage),
             "" };
  }

  Caller& mCaller;
  OutgoingCall mCall;
  LinkTable::Entry& mEntry;
  bool mSent = false;
  bool mEnded = false;
};

Caller::Caller(kj::Network& aNetwork,
               kj::Timer& aTimer,
               const PeerSettings& aSettings,
               CounterTable& aCounters)
  : mTimer(aTimer)
  , mSettings(aSettings)
  , mCounters(aCounters)
  , mLinks(aNetwork, aSettings, aCounters)
  , mTasks(*this)
{
}

void Caller::Start(OutgoingCall aCall)
{
  mCounters.UpdatePeer(aCall.mPeer.mId,
                       [](PeerCounters& aPeer) { aPeer.mCalls += 1; });
  if (mCalls >= mSettings.mMaxCalls) {
    Finish(aCall,
           Error{ ErrorCode::eUnavailable,
                  aCall.mStep,
                  aCall.mPeer.mId.Value(),
                  "too many calls are in progress",
                  "" });
    return;
  }
  base::Expected<LinkTable::Entry*> entry = mLinks.Acquire(aCall.mPeer);
  if (!entry) {
    Finish(aCall, entry.error());
    return;
  }
  Run(std::make_shared<Progress>(*this, std::move(aCall), **entry),
      (*entry)->mLink->Ready());
}

void Caller::Run(std::shared_ptr<Progress> aProgress, kj::Promise<void> aReady)
{
  // Both sides resolve to whether the call has ended in time.
  auto outcome = std::make_shared<Outcome>();
  auto answered = aReady.then([aProgress]() { return aProgress->Send(); })
                    .then([outcome](Outcome&& aOutcome) {
                      *outcome = std::move(aOutcome);
                      return true;
                    });
  auto expired =
    mTimer.afterDelay(aProgress->Timeout()).then([]() { return false; });
  mTasks.add(answered.exclusiveJoin(kj::mv(expired))
               .then(
                 [aProgress, outcome](bool aInTime) {
                   aInTime ? aProgress->End(*outcome)
                           : aProgress->EndByTimeout();
                 },
                 [aProgress](kj::Exception&& aException) {
                   aProgress->EndByException(aException);
                 }));
}

void Caller::Finish(const OutgoingCall& aCall, std::optional<Error> aError)
{
  if (aError) {
    mCounters.UpdatePeer(aCall.mPeer.mId,
                         [](PeerCounters& aPeer) { aPeer.mFailures += 1; });
  }
  aCall.mFinish(std::move(aError));
}

void Caller::taskFailed(kj::Exception&&) {}

} // namespace flamingoloom::peer::internal
