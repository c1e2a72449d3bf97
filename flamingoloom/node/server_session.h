// The leader's session with one backend server: requests reports, renews
// leases, sends commands, and passes the results to the owner.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "flamingoloom/node/commands_in_flight.h"
#include "flamingoloom/node/ports.h"

namespace flamingoloom::node {

struct ServerSessionTiming
{
  // Duration of the leases that are granted. Tasks survive a change of leader,
  // which takes less than 4 s; tasks lost with a server are started again after
  // this time. A new leader relies on the length that its predecessor uses.
  base::Duration mLease = std::chrono::milliseconds(8000);
  // How long a server may hold a report back until a task completes. 2 s is the
  // longest wait that the platform accepts, and it charges for each report.
  base::Duration mReportWait = std::chrono::milliseconds(2000);
  // Longest time that a request and its response are usually in transit; what
  // goes beyond it is the delay of the report.
  base::Duration mTransitTime = std::chrono::milliseconds(150);
  // After this time beyond mReportWait without a response the server counts as
  // unresponsive and is asked again; a response from another region takes 40
  // ms.
  base::Duration mResponseTimeout = std::chrono::milliseconds(700);
  // How much longer the response may still arrive. It shows completions whose
  // tasks would be started again when their leases have expired.
  base::Duration mLateResponseTime = std::chrono::milliseconds(5000);
  // A timer that ends later than this shows that the process stood still.
  base::Duration mMaxTimerDelay = std::chrono::milliseconds(500);
  base::Duration mCommandTimeout = std::chrono::milliseconds(600);
  // A start command times out at the latest when the leader's own lease ends,
  // and is not sent if that leaves less time than this. A response from another
  // region takes 40 ms.
  base::Duration mMinCommandTimeout = std::chrono::milliseconds(100);
  // Delay after a failed call.
  base::Duration mRetryDelay = std::chrono::milliseconds(300);
  // Delay of the next report request while completions wait to be stored, which
  // rarely takes longer than one commit.
  base::Duration mUnstoredDelay = std::chrono::milliseconds(1000);
  // A server lets no lease last longer than this by its clock, whatever expiry
  // it is given.
  base::Duration mMaxServerLease = std::chrono::milliseconds(10000);
  // A call that gets no response may be executed by the incarnation that has
  // received it up to this time later.
  base::Duration mMaxCallDelay = std::chrono::seconds(12);
  // Maximum number of calls for one start command before the attempt is stopped
  // instead.
  int mMaxStartCalls = 3;
  // Lowest rate of a server's clock relative to this instance's clock.
  double mMinClockRate = 0.98;
};

class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
  // Callbacks to the owner of the session. All run on the event-loop thread.
  struct Events
  {
    std::function<void(const scheduler::ServerReport&, base::Time aSentAt)>
      mOnReport;
    std::function<void()> mOnUnresponsive;
    std::function<void()> mOnReplaced;
    // Another incarnation of the server responds, or is listed. What it runs is
    // not known before the next report.
    std::function<void()> mOnRestarted;
    std::function<void()> mOnFenced;
    std::function<void(const scheduler::StartCommand&,
                       scheduler::StartResult,
                       bool aEarlierUnknown)>
      mOnStart;
    std::function<void(const scheduler::StopCommand&, bool)> mOnStop;
    // Whether the start command is to be sent again.
    std::function<bool(const scheduler::StartCommand&)> mIsStartWanted;
    // Returns a token that is higher than all that were used for this server.
    std::function<FencingToken()> mNextToken;
    // All leases that a command or request grants expire by the given time, on
    // the incarnation that it is meant for.
    std::function<void(base::Time)> mOnLease;
    // The start command may be executed by an incarnation that is not known
    // yet, and the task may run there until the given time at the latest.
    std::function<void(const scheduler::StartCommand&, base::Time)>
      mOnStartMayStray;
    // Whether further reports are needed, up to which number completions may be
    // acknowledged, and whether completions wait to be stored.
    std::function<bool()> mNeedsReports;
    std::function<std::int64_t()> mAckThrough;
    std::function<bool()> mHasUnstoredCompletions;
    // The latest expiry with which leases may be granted.
    std::function<base::Time()> mLeaseLimit;
    // The expiry of the leader's own lease. Start commands end before it.
    std::function<base::Time()> mLeadershipValidUntil;
  };

  ServerSession(Ports aPorts,
                scheduler::ServerInfo aServer,
                FencingToken aToken,
                ServerSessionTiming aTiming,
                Events aEvents);

  // Takes over the server's changed entry in the store.
  void Update(const scheduler::ServerInfo& aServer);
  // Requests a report now if one is needed and no request is in flight.
  void RequestReport();
  // Requests a report that grants a lease, now that one may be granted. Does
  // nothing if the server does not respond.
  void RequestLease();
  // aCounted is kept until the command has ended, with all of its calls.
  void Start(const scheduler::StartCommand& aCommand,
             CommandsInFlight::Counted aCounted);
  void Stop(const scheduler::StopCommand& aCommand,
            CommandsInFlight::Counted aCounted);
  void Close() { mClosed = true; }

private:
  void RequestReportAfter(base::Duration aDelay);
  void SendReportRequest(base::Duration aWait, bool aGrantLease);
  // aDueAt is when the timer for the response had to end.
  void OnReportOverdue(std::uint64_t aRequest, base::Time aDueAt);
  void OnReportResponse(std::uint64_t aRequest,
                        const FencingToken& aToken,
                        base::Time aSentAt,
                        std::int64_t aAckSent,
                        base::Expected<ReportResponse> aResponse);
  void OnReportError(const base::Error& aError);
  // Another incarnation of the server has begun. Fences the orders that were
  // sent to the earlier one.
  void OnRestarted(std::int64_t aStartedMs);
  void RecordFailure();
  // One call of a start command.
  struct StartCall
  {
    scheduler::StartCommand mCommand;
    int mNumber = 1;
    // An earlier call has got no response.
    bool mEarlierUnknown = false;
    // Until when the task may run on an incarnation that is not known yet, by
    // the earlier calls and by all of them.
    base::Time mEarlierStrayUntil;
    base::Time mStraysUntil;
    CommandsInFlight::Counted mCounted;
  };
  void SendStart(StartCall aCall);
  // aMinClockMs is the least that the server's clock showed when the call was
  // sent.
  void OnStartResponse(const StartCall& aCall,
                       std::int64_t aMinClockMs,
                       const StartResponse& aResponse);
  // Returns the expiry of a lease that begins now, by the server's clock;
  // nullopt if that clock is not known yet or no lease may be granted.
  std::optional<std::int64_t> GrantLease();
  // Returns the least that the server's clock may show now, in milliseconds.
  // mClockMs must be known.
  std::int64_t MinClockMs() const;
  // Keeps the reading of the server's clock if it tells more than the last one.
  void RecordClock(std::int64_t aClockMs);

  const Ports mPorts;
  scheduler::ServerInfo mServer;
  const ServerSessionTiming mTiming;
  const Events mEvents;
  // The token of all calls. A call that was sent to an earlier incarnation may
  // still reach a later one, so that gets a higher token before it gets orders.
  FencingToken mToken;
  // A start, a lease or an acknowledgement was sent with mToken.
  bool mTokenUsed = false;
  // The server's clock in the report of this incarnation that arrived the
  // fastest, and when that report arrived here.
  std::optional<std::int64_t> mClockMs;
  base::Time mClockReadAt;
  // When the request was sent to which this incarnation has responded last.
  base::Time mConnectedBy;
  // Highest acknowledgement that this incarnation of the server has confirmed.
  std::int64_t mConfirmedAck = 0;
  // Start time of the incarnation that has responded to a request with mToken
  // in Unix milliseconds; nullopt while none has. Only then start commands are
  // sent.
  std::optional<std::int64_t> mIncarnation;
  // Number of the last request, and when the request of the last report that
  // was used was sent.
  std::uint64_t mLastRequest = 0;
  base::Time mReportSentAt;
  bool mRequestInFlight = false;
  // Whether the last request grants a lease.
  bool mRequestGrantsLease = false;
  bool mRequestScheduled = false;
  int mFailures = 0;
  bool mClosed = false;
};

} // namespace flamingoloom::node
