#include "flamingoloom/node/server_session.h"

#include <algorithm>

namespace flamingoloom::node {

using base::Duration;
using base::Time;
using scheduler::StartResult;
using std::chrono::milliseconds;

ServerSession::ServerSession(Ports aPorts,
                             scheduler::ServerInfo aServer,
                             FencingToken aToken,
                             ServerSessionTiming aTiming,
                             Events aEvents)
  : mPorts(aPorts)
  , mServer(std::move(aServer))
  , mTiming(aTiming)
  , mEvents(std::move(aEvents))
  , mToken(aToken)
{
}

void ServerSession::Update(const scheduler::ServerInfo& aServer)
{
  // The entry may be older than the last report. The wall clock of a server may
  // step back, so that a later incarnation may name an earlier start.
  const bool restarted = aServer.mStartedMs != mServer.mStartedMs &&
                         mIncarnation && aServer.mStartedMs != *mIncarnation;
  mServer = aServer;
  if (restarted) {
    OnRestarted(aServer.mStartedMs);
  }
}

void ServerSession::OnRestarted(std::int64_t aStartedMs)
{
  if (mTokenUsed) {
    mToken = mEvents.mNextToken();
    mTokenUsed = false;
  }
  mPorts.mLog->Write(
    "server_restarted",
    { { "server", mServer.mId.Value() },
      { "started_ms", std::to_string(aStartedMs) },
      { "before_ms", std::to_string(mIncarnation.value_or(0)) },
      { "generation", std::to_string(mToken.mGeneration) },
      { "request_in_flight", mRequestInFlight ? "1" : "0" },
      { "grants_lease", mRequestGrantsLease ? "1" : "0" },
      { "acknowledged", std::to_string(mConfirmedAck) } });
  mIncarnation.reset();
  mConfirmedAck = 0;
  mClockMs.reset();
  // Its response would show the earlier incarnation.
  mRequestInFlight = false;
  mEvents.mOnRestarted();
}

std::optional<std::int64_t> ServerSession::GrantLease()
{
  if (!mClockMs) {
    return std::nullopt;
  }
  const Time now = mPorts.mLoop->Now();
  const auto until = std::min(now + mTiming.mLease, mEvents.mLeaseLimit());
  if (until <= now) {
    return std::nullopt;
  }
  mTokenUsed = true;
  const auto untilMs = MinClockMs() + base::ToMilliseconds(until - now);
  // A slow server clock reaches that value later than this instance's clock.
  const auto latest = now + std::chrono::duration_cast<Duration>(
                              (until - now) / mTiming.mMinClockRate);
  mEvents.mOnLease(latest);
  return untilMs;
}

std::int64_t ServerSession::MinClockMs() const
{
  const auto elapsed = std::chrono::duration_cast<Duration>(
    (mPorts.mLoop->Now() - mClockReadAt) * mTiming.mMinClockRate);
  return *mClockMs + base::ToMilliseconds(elapsed);
}

void ServerSession::RecordClock(std::int64_t aClockMs)
{
  if (!mClockMs || aClockMs >= MinClockMs()) {
    mClockMs = aClockMs;
    mClockReadAt = mPorts.mLoop->Now();
  }
}

void ServerSession::RequestReport()
{
  if (mClosed || mRequestInFlight || !mEvents.mNeedsReports()) {
    return;
  }
  if (mEvents.mHasUnstoredCompletions() && mFailures == 0) {
    // The commit that stores the completions triggers the next request; this
    // timer covers a store that does not respond.
    RequestReportAfter(mTiming.mUnstoredDelay);
    return;
  }
  // An unresponsive server is polled without granting a lease: a request that
  // takes effect late would extend its leases, and so delay the restart of its
  // tasks elsewhere.
  const bool responsive = mFailures == 0 && mClockMs.has_value();
  SendReportRequest(responsive ? mTiming.mReportWait : Duration(0), responsive);
}

void ServerSession::RequestLease()
{
  if (mFailures > 0 || (mRequestInFlight && mRequestGrantsLease)) {
    return;
  }
  mRequestInFlight = false;
  RequestReport();
}

void ServerSession::SendReportRequest(Duration aWait, bool aGrantLease)
{
  ReportRequest request;
  request.mToken = mToken;
  const auto ackThrough = mEvents.mAckThrough();
  request.mWait = aWait;
  // Another incarnation would apply a lease to its own clock, and would discard
  // completions that nobody has read.
  const bool connected =
    mIncarnation && mPorts.mServers->HasConnection(mServer, mConnectedBy);
  const auto ack = connected && ackThrough > mConfirmedAck ? ackThrough : 0;
  request.mAckThrough = ack;
  if (connected && aGrantLease) {
    request.mLeaseUntilMs = GrantLease();
  }
  if (ack > 0 || request.mLeaseUntilMs) {
    mTokenUsed = true;
    request.mConnectedBy = mConnectedBy;
  }
  mRequestInFlight = true;
  mRequestGrantsLease = request.mLeaseUntilMs.has_value();
  const Time sentAt = mPorts.mLoop->Now();
  const auto number = ++mLastRequest;
  const auto timeout = request.mWait + mTiming.mResponseTimeout;
  mPorts.mLoop->After(
    timeout, [self = shared_from_this(), number, dueAt = sentAt + timeout] {
      self->OnReportOverdue(number, dueAt);
    });
  mPorts.mServers->Report(
    mServer,
    request,
    timeout + mTiming.mLateResponseTime,
    [self = shared_from_this(),
     number,
     token = mToken,
     sentAt,
     ack,
     expectedBy = sentAt + request.mWait + mTiming.mTransitTime](
      base::Expected<ReportResponse> aResponse) {
      if (aResponse) {
        aResponse->mReport.mDelay =
          std::max(Duration(0), self->mPorts.mLoop->Now() - expectedBy);
      }
      self->OnReportResponse(number, token, sentAt, ack, std::move(aResponse));
    });
}

void ServerSession::RequestReportAfter(Duration aDelay)
{
  if (mRequestScheduled) {
    return;
  }
  mRequestScheduled = true;
  mPorts.mLoop->After(aDelay, [self = shared_from_this()] {
    self->mRequestScheduled = false;
    if (self->mClosed || self->mRequestInFlight ||
        !self->mEvents.mNeedsReports()) {
      return;
    }
    if (self->mFailures == 0 && self->mEvents.mHasUnstoredCompletions()) {
      // The store is unavailable: leases are renewed without waiting for
      // further completions.
      self->SendReportRequest(Duration(0), true);
      return;
    }
    self->RequestReport();
  });
}

void ServerSession::OnReportOverdue(std::uint64_t aRequest, Time aDueAt)
{
  if (mClosed || !mRequestInFlight || aRequest != mLastRequest) {
    return;
  }
  mRequestInFlight = false;
  if (mPorts.mLoop->Now() > aDueAt + mTiming.mMaxTimerDelay) {
    // This process stood still, so the response may have arrived and its call
    // may have ended unread.
    SendReportRequest(Duration(0), false);
    return;
  }
  RecordFailure();
}

void ServerSession::RecordFailure()
{
  ++mFailures;
  mEvents.mOnUnresponsive();
  RequestReportAfter(mTiming.mRetryDelay);
}

void ServerSession::OnReportError(const base::Error& aError)
{
  if (aError.mCode == base::ErrorCode::eStaleEpoch) {
    mEvents.mOnFenced();
    return;
  }
  if (mFailures == 0 && aError.mCode == base::ErrorCode::eInvalid) {
    mPorts.mLog->Write(
      "report_unreadable",
      { { "server", mServer.mId.Value() }, { "error", aError.ToString() } });
  }
  if (aError.mCode == base::ErrorCode::eNotFound) {
    ++mFailures;
    mEvents.mOnReplaced();
    RequestReportAfter(mTiming.mRetryDelay);
    return;
  }
  RecordFailure();
}

void ServerSession::OnReportResponse(std::uint64_t aRequest,
                                     const FencingToken& aToken,
                                     Time aSentAt,
                                     std::int64_t aAckSent,
                                     base::Expected<ReportResponse> aResponse)
{
  const bool late = !mRequestInFlight || aRequest != mLastRequest;
  if (!late) {
    mRequestInFlight = false;
  }
  if (mClosed || aToken < mToken) {
    // With a lower token: it was sent to an earlier incarnation.
    return;
  }
  if (!aResponse) {
    // The request that is late has been counted as a failure.
    if (!late || aResponse.error().mCode == base::ErrorCode::eStaleEpoch) {
      OnReportError(aResponse.error());
    }
    return;
  }
  if (aSentAt < mReportSentAt) {
    // A newer report has overtaken this one.
    return;
  }
  mReportSentAt = aSentAt;
  mFailures = 0;
  const auto startedMs = aResponse->mReport.mStartedMs;
  if (mIncarnation && startedMs != *mIncarnation) {
    const bool ordersMayFollow = mTokenUsed;
    OnRestarted(startedMs);
    if (ordersMayFollow) {
      // Orders to the earlier incarnation may arrive after this report. The
      // next one has the new token, which they do not.
      RequestReport();
      return;
    }
  }
  mConfirmedAck =
    startedMs == mIncarnation ? std::max(mConfirmedAck, aAckSent) : 0;
  mIncarnation = startedMs;
  mConnectedBy = aResponse->mRequestSentAt;
  RecordClock(aResponse->mClockMs);
  mEvents.mOnReport(aResponse->mReport, aSentAt);
  if (late && !mRequestGrantsLease) {
    // The server lives. Its leases are renewed now rather than with the
    // response to the request in flight, which may be as late.
    mRequestInFlight = false;
  }
  RequestReport();
}

void ServerSession::Start(const scheduler::StartCommand& aCommand,
                          CommandsInFlight::Counted aCounted)
{
  StartCall call{ aCommand };
  call.mCounted = std::move(aCounted);
  SendStart(std::move(call));
}

void ServerSession::SendStart(StartCall aCall)
{
  const Time now = mPorts.mLoop->Now();
  const auto timeout =
    std::min(mTiming.mCommandTimeout, mEvents.mLeadershipValidUntil() - now);
  const bool mayOrder = mIncarnation && timeout >= mTiming.mMinCommandTimeout;
  const auto leaseUntilMs = mayOrder ? GrantLease() : std::nullopt;
  if (!leaseUntilMs) {
    mPorts.mLoop->After(
      Duration(0), [self = shared_from_this(), call = std::move(aCall)] {
        if (!self->mClosed) {
          self->mEvents.mOnStart(
            call.mCommand, StartResult::eTooLate, call.mEarlierUnknown);
        }
      });
    return;
  }
  StartRequest request{
    mToken,
    *leaseUntilMs,
    std::nullopt,
    [self = shared_from_this(), command = aCall.mCommand, token = mToken] {
      return !self->mClosed && token == self->mToken &&
             self->mEvents.mLeadershipValidUntil() >
               self->mPorts.mLoop->Now() &&
             self->mEvents.mIsStartWanted(command);
    }
  };
  if (mPorts.mServers->HasConnection(mServer, mConnectedBy)) {
    request.mConnectedBy = mConnectedBy;
  } else {
    const auto maxLease = std::chrono::duration_cast<Duration>(
      mTiming.mMaxServerLease / mTiming.mMinClockRate);
    aCall.mStraysUntil = now + timeout + mTiming.mMaxCallDelay + maxLease;
    mEvents.mOnStartMayStray(aCall.mCommand, aCall.mStraysUntil);
  }
  mPorts.mServers->Start(
    mServer,
    aCall.mCommand,
    request,
    timeout,
    [self = shared_from_this(),
     call = aCall,
     token = mToken,
     minClockMs = MinClockMs()](const StartResponse& aResponse) {
      // With a lower token: the report of the new incarnation tells what has
      // become of the command.
      if (!self->mClosed && token >= self->mToken) {
        self->OnStartResponse(call, minClockMs, aResponse);
      }
    });
}

void ServerSession::OnStartResponse(const StartCall& aCall,
                                    std::int64_t aMinClockMs,
                                    const StartResponse& aResponse)
{
  if (aResponse.mClockMs && *aResponse.mClockMs < aMinClockMs) {
    // The clock of an incarnation does not go back, so this is another one.
    OnRestarted(0);
    RequestReport();
    return;
  }
  if (aResponse.mResult == StartResult::eFenced) {
    mEvents.mOnFenced();
    return;
  }
  if (aResponse.mResult == StartResult::eUnknown) {
    // The same attempt may be sent again: a server starts it only once.
    if (aCall.mNumber < mTiming.mMaxStartCalls &&
        mEvents.mIsStartWanted(aCall.mCommand)) {
      SendStart({ aCall.mCommand,
                  aCall.mNumber + 1,
                  true,
                  aCall.mStraysUntil,
                  aCall.mStraysUntil,
                  aCall.mCounted });
      return;
    }
  } else {
    mEvents.mOnStartMayStray(aCall.mCommand, aCall.mEarlierStrayUntil);
  }
  mEvents.mOnStart(aCall.mCommand, aResponse.mResult, aCall.mEarlierUnknown);
}

void ServerSession::Stop(const scheduler::StopCommand& aCommand,
                         CommandsInFlight::Counted aCounted)
{
  mPorts.mServers->Stop(
    mServer,
    aCommand,
    mToken,
    mTiming.mCommandTimeout,
    [self = shared_from_this(), aCommand, counted = std::move(aCounted)](
      bool aResponded) {
      if (self->mClosed) {
        return;
      }
      if (aResponded) {
        self->mEvents.mOnStop(aCommand, true);
        return;
      }
      self->mPorts.mLoop->After(self->mTiming.mRetryDelay, [self, aCommand] {
        if (!self->mClosed) {
          self->mEvents.mOnStop(aCommand, false);
        }
      });
    });
}

} // namespace flamingoloom::node
