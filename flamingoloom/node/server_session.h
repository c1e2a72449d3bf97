// The scheduling instance's conversation with one backend server: it asks for
// reports, renews leases, and sends orders until they are answered.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "flamingoloom/node/ports.h"

namespace flamingoloom::node {

struct ServerSessionTiming
{
  // Length of the leases that are granted. Work survives a change of the
  // scheduling instance (under 4 s); work lost with a server is started again
  // after it.
  base::Duration mLease = std::chrono::milliseconds(8000);
  // How long a report may wait for an end; 2 s is the longest the platform
  // takes, and each report is priced.
  base::Duration mReportWait = std::chrono::milliseconds(2000);
  // For an answer beyond that wait: a region away takes 40 ms.
  base::Duration mResponseTimeout = std::chrono::milliseconds(700);
  base::Duration mCommandTimeout = std::chrono::milliseconds(600);
  // Pause after a call that failed.
  base::Duration mRetryDelay = std::chrono::milliseconds(300);
  // While ends wait for the store, which is rarely longer than a commit.
  base::Duration mUnstoredDelay = std::chrono::milliseconds(1000);
  // Ends are acknowledged within this time after a report: a server that began
  // another life meanwhile would forget ends that nobody has read.
  base::Duration mIncarnationValidity = std::chrono::milliseconds(400);
  // Tries of a start before it is stopped instead.
  int mMaxStartCalls = 3;
  // A server's clock may run this much too slowly.
  double mMinClockRate = 0.98;
};

class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
  // What the link reports to its owner. All run on the loop's thread.
  struct Events
  {
    std::function<void(const scheduler::ServerReport&, base::Time aSentAt)>
      mOnReport;
    std::function<void()> mOnUnresponsive;
    std::function<void()> mOnReplaced;
    std::function<void()> mOnFenced;
    std::function<void(const scheduler::StartCommand&,
                       scheduler::StartResult,
                       bool aEarlierUnknown)>
      mOnStart;
    std::function<void(const scheduler::StopCommand&, bool)> mOnStop;
    // All leases that an order grants end by then.
    std::function<void(base::Time)> mOnLease;
    // Whether to go on asking, up to which end to acknowledge, and whether
    // ends are waiting for the store.
    std::function<bool()> mNeedsReports;
    std::function<std::int64_t()> mAckThrough;
    std::function<bool()> mHasUnstoredCompletions;
    // The latest time to which leases may be granted at all.
    std::function<base::Time()> mLeaseLimit;
  };

  ServerSession(Ports aPorts,
                scheduler::ServerInfo aServer,
                std::int64_t aEpoch,
                ServerSessionTiming aTiming,
                Events aEvents);

  void Update(const scheduler::ServerInfo& aServer) { mServer = aServer; }
  // Asks for a report now if one is needed and none is under way.
  void RequestReport();
  void Start(const scheduler::StartCommand& aCommand);
  void Stop(const scheduler::StopCommand& aCommand);
  void Close() { mClosed = true; }

private:
  void RequestReportAfter(base::Duration aDelay);
  void SendReportRequest(base::Duration aWait, bool aGrantLease);
  void OnReportResponse(base::Time aSentAt,
                        std::int64_t aAckSent,
                        base::Expected<ReportResponse> aResponse);
  void SendStart(const scheduler::StartCommand& aCommand,
                 int aCallAttempt,
                 bool aEarlierUnknown);
  // The end of a lease that begins now, on the server's clock; none before
  // its clock is known or when no lease may be granted.
  std::optional<std::int64_t> GrantLease();

  const Ports mPorts;
  scheduler::ServerInfo mServer;
  const std::int64_t mEpoch;
  const ServerSessionTiming mTiming;
  const Events mEvents;
  // The server's clock as last read, and when that answer arrived here.
  std::optional<std::int64_t> mClockMs;
  base::Time mClockReadAt;
  // Highest acknowledgement that this life of the server has answered. It is
  // not sent again: another life, whose ends are numbered anew, would take it
  // for its own.
  std::int64_t mConfirmedAck = 0;
  std::int64_t mIncarnation = 0;
  bool mRequestInFlight = false;
  bool mRequestScheduled = false;
  int mFailures = 0;
  bool mClosed = false;
};

} // namespace flamingoloom::node
