#include "flamingoloom/node/server_link.h"

#include <algorithm>

namespace flamingoloom::node {

using base::Duration;
using base::Time;
using scheduler::StartResult;
using std::chrono::milliseconds;

ServerLink::ServerLink(Ports aPorts,
                       scheduler::ServerInfo aServer,
                       std::int64_t aEpoch,
                       ServerLinkTiming aTiming,
                       Events aEvents)
  : mPorts(aPorts)
  , mServer(std::move(aServer))
  , mEpoch(aEpoch)
  , mTiming(aTiming)
  , mEvents(std::move(aEvents))
{
}

std::optional<std::int64_t> ServerLink::GrantLease()
{
  if (!mClockMs) {
    return std::nullopt;
  }
  const Time now = mPorts.mLoop->Now();
  const auto until = std::min(now + mTiming.mLease, mEvents.mLeaseLimit());
  if (until <= now) {
    return std::nullopt;
  }
  const auto untilMs = *mClockMs + base::ToMilliseconds(until - mClockReadAt);
  // A slow clock reaches that value later than ours.
  const auto latest =
    mClockReadAt + std::chrono::duration_cast<Duration>(
                     milliseconds(untilMs - *mClockMs) / mTiming.mMinClockRate);
  mEvents.mOnLease(latest);
  return untilMs;
}

void ServerLink::Ask()
{
  if (mClosed || mAsking || !mEvents.mNeedsReports()) {
    return;
  }
  if (mEvents.mHasUnstoredCompletions() && mFailures == 0) {
    // The store's answer asks again; this is for when it stays away.
    AskAfter(mTiming.mUnstoredPause);
    return;
  }
  // A server that does not answer is only looked at: a lease that is granted
  // by an order carried out late would delay giving its work up.
  const bool answers = mFailures == 0 && mClockMs.has_value();
  Send(answers ? mTiming.mReportWait : Duration(0), answers);
}

void ServerLink::Send(Duration aWait, bool aGrantLease)
{
  ReportRequest request;
  request.mEpoch = mEpoch;
  const auto known = mEvents.mAckThrough();
  // Only right after a report of the same life; else its life is asked first.
  const bool lifeIsFresh =
    mPorts.mLoop->Now() - mClockReadAt < mTiming.mLifeIsFresh;
  const auto ack = known > mAckAnswered && lifeIsFresh ? known : 0;
  request.mAckThrough = ack;
  request.mWait = known > mAckAnswered && !lifeIsFresh ? Duration(0) : aWait;
  if (aGrantLease) {
    request.mLeaseUntilMs = GrantLease();
  }
  mAsking = true;
  const Time sentAt = mPorts.mLoop->Now();
  mPorts.mServers->Report(mServer,
                          request,
                          request.mWait + mTiming.mAnswerTimeout,
                          [self = shared_from_this(), sentAt, ack](
                            base::Expected<ReportResponse> aResponse) {
                            self->OnAnswer(sentAt, ack, std::move(aResponse));
                          });
}

void ServerLink::AskAfter(Duration aDelay)
{
  if (mWaitingToAsk) {
    return;
  }
  mWaitingToAsk = true;
  mPorts.mLoop->After(aDelay, [self = shared_from_this()] {
    self->mWaitingToAsk = false;
    if (self->mClosed || self->mAsking || !self->mEvents.mNeedsReports()) {
      return;
    }
    if (self->mFailures == 0 && self->mEvents.mHasUnstoredCompletions()) {
      // The store is away: leases are renewed without waiting for ends.
      self->Send(Duration(0), true);
      return;
    }
    self->Ask();
  });
}

void ServerLink::OnAnswer(Time aSentAt,
                          std::int64_t aAckSent,
                          base::Expected<ReportResponse> aResponse)
{
  mAsking = false;
  if (mClosed) {
    return;
  }
  if (!aResponse) {
    ++mFailures;
    if (aResponse.error().mCode == base::ErrorCode::eStaleEpoch) {
      mEvents.mOnFenced();
      return;
    }
    if (aResponse.error().mCode == base::ErrorCode::eNotFound) {
      mEvents.mOnReplaced();
    } else {
      mEvents.mOnSilence();
    }
    AskAfter(mTiming.mRetry);
    return;
  }
  mFailures = 0;
  const bool sameLife = mLife == aResponse->mReport.mStartedMs;
  mLife = aResponse->mReport.mStartedMs;
  mAckAnswered = sameLife ? std::max(mAckAnswered, aAckSent) : 0;
  mClockMs = aResponse->mClockMs;
  mClockReadAt = mPorts.mLoop->Now();
  mEvents.mOnReport(aResponse->mReport, aSentAt);
  Ask();
}

void ServerLink::Start(const scheduler::StartCommand& aCommand)
{
  TryStart(aCommand, 1, false);
}

void ServerLink::TryStart(const scheduler::StartCommand& aCommand,
                          int aTry,
                          bool aEarlierUnknown)
{
  const auto leaseUntilMs = GrantLease();
  if (!leaseUntilMs) {
    mPorts.mLoop->After(Duration(0),
                        [self = shared_from_this(), aCommand, aEarlierUnknown] {
                          if (!self->mClosed) {
                            self->mEvents.mOnStart(
                              aCommand, StartResult::eTooLate, aEarlierUnknown);
                          }
                        });
    return;
  }
  mPorts.mServers->Start(
    mServer,
    aCommand,
    mEpoch,
    *leaseUntilMs,
    mTiming.mOrderTimeout,
    [self = shared_from_this(), aCommand, aTry, aEarlierUnknown](
      StartResult aResult) {
      if (self->mClosed) {
        return;
      }
      if (aResult == StartResult::eFenced) {
        self->mEvents.mOnFenced();
        return;
      }
      // The same run may be sent again: a server starts it once.
      if (aResult == StartResult::eUnknown &&
          aTry < self->mTiming.mStartTries) {
        self->TryStart(aCommand, aTry + 1, true);
        return;
      }
      self->mEvents.mOnStart(aCommand, aResult, aEarlierUnknown);
    });
}

void ServerLink::Stop(const scheduler::StopCommand& aCommand)
{
  mPorts.mServers->Stop(mServer,
                        aCommand,
                        mEpoch,
                        mTiming.mOrderTimeout,
                        [self = shared_from_this(), aCommand](bool aAnswered) {
                          if (self->mClosed) {
                            return;
                          }
                          if (aAnswered) {
                            self->mEvents.mOnStop(aCommand, true);
                            return;
                          }
                          self->mPorts.mLoop->After(
                            self->mTiming.mRetry, [self, aCommand] {
                              if (!self->mClosed) {
                                self->mEvents.mOnStop(aCommand, false);
                              }
                            });
                        });
}

} // namespace flamingoloom::node
