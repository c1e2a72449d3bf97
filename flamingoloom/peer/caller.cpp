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

// One call in progress. The destructor ends a call that has not ended yet,
// which happens when the node is destroyed.
class Caller::ActiveCall
{
public:
  ActiveCall(Caller& aCaller,
             OutgoingCall aCall,
             PeerConnectionTable::Entry& aEntry)
    : mCaller(aCaller)
    , mCall(std::move(aCall))
    , mEntry(aEntry)
  {
    mCaller.mCalls += 1;
  }

  ~ActiveCall()
  {
    if (!mEnded) {
      End({ Failure("this instance is shutting down"), false });
    }
  }

  kj::Promise<Outcome> Send()
  {
    mSent = true;
    return mCall.mSend(mEntry.mConnection->Remote());
  }

  kj::Duration Timeout() const { return ToKj(mCall.mTimeout); }

  // Other calls in progress may still get a response on this connection, but
  // new calls use a new one, since TCP retransmissions can stall this one for
  // long.
  void EndByTimeout()
  {
    mCaller.mConnections.Retire(mEntry);
    mCaller.mCounters.UpdatePeer(
      mCall.mPeer.mId, [](PeerCounters& aPeer) { aPeer.mTimeouts += 1; });
    End({ Failure(fmt::format("no response within {} ms",
                              base::ToMilliseconds(mCall.mTimeout))),
          false });
  }

  void EndByException(const kj::Exception& aException)
  {
    mCaller.mConnections.Retire(mEntry);
    End({ Failure(ToString(aException)), false });
  }

  void End(const Outcome& aOutcome)
  {
    mEnded = true;
    mCaller.mCalls -= 1;
    mCaller.mConnections.Release(mEntry);
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
  PeerConnectionTable::Entry& mEntry;
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
  , mConnections(aNetwork, aSettings, aCounters)
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
  base::Expected<PeerConnectionTable::Entry*> entry =
    mConnections.Acquire(aCall.mPeer);
  if (!entry) {
    Finish(aCall, entry.error());
    return;
  }
  Run(std::make_shared<ActiveCall>(*this, std::move(aCall), **entry),
      (*entry)->mConnection->Ready());
}

void Caller::Run(std::shared_ptr<ActiveCall> aActive, kj::Promise<void> aReady)
{
  // Both promises resolve to whether the call has ended before its timeout.
  auto outcome = std::make_shared<Outcome>();
  auto responded = aReady.then([aActive]() { return aActive->Send(); })
                     .then([outcome](Outcome&& aOutcome) {
                       *outcome = std::move(aOutcome);
                       return true;
                     });
  auto expired =
    mTimer.afterDelay(aActive->Timeout()).then([]() { return false; });
  mTasks.add(responded.exclusiveJoin(kj::mv(expired))
               .then(
                 [aActive, outcome](bool aInTime) {
                   aInTime ? aActive->End(*outcome) : aActive->EndByTimeout();
                 },
                 [aActive](kj::Exception&& aException) {
                   aActive->EndByException(aException);
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
