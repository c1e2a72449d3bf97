// Settings of an instance. Immutable value types.
#pragma once

#include "flamingoloom/base/time.h"
#include "flamingoloom/ownership/lease.h"

namespace flamingoloom::control {

// Mechanisms that tests switch off one at a time, to show that the check of the
// property that each one ensures then fails. All are on in production.
struct Mechanisms
{
  // Start commands carry the held epoch, and servers are fenced before they get
  // work.
  bool mFence = true;
  // A gang is prepared on all its servers before any task starts.
  bool mPrepareGangs = true;
  // The loss of a task stops the other tasks of its gang.
  bool mStopPartialGangs = true;
  // Answers are checked against their request, length and digest.
  bool mVerifyAnswers = true;
  // A refusal is stored before the caller gets the response that the request
  // did not run.
  bool mPersistRefusals = true;
  // A record is stored as starting before any start command is sent.
  bool mPersistBeforeDispatch = true;
  // A non-idempotent request whose outcome was lost is never retried.
  bool mNoRetryOnUnknownOutcome = true;
  // Draining servers get no new work.
  bool mExcludeDrainingServers = true;
  // A graceful shutdown waits for the requests in progress.
  bool mGracefulStop = true;
  // Configurations with an older version are ignored.
  bool mKeepNewestConfig = true;

  friend bool operator==(const Mechanisms&, const Mechanisms&) = default;
};

struct InstanceOptions
{
  ownership::LeaseTiming mLease;

  base::Duration mTickInterval = std::chrono::milliseconds(100);
  // Interval at which the rows that all instances watch are read.
  base::Duration mWatchInterval = std::chrono::seconds(1);
  base::Duration mMemberListInterval = std::chrono::seconds(1);

  base::Duration mCreditValidity = std::chrono::seconds(2);
  base::Duration mCreditInterval = std::chrono::milliseconds(500);
  // Slots of each server that are reserved for recorded requests.
  int mRecordedSlots = 2;

  // Interval at which the owner searches for records whose notification was
  // lost.
  base::Duration mRescanInterval = std::chrono::seconds(10);
  // Time after which a server releases a prepared task that is not committed.
  base::Duration mPrepareLease = std::chrono::seconds(5);
  // Time after which a server stops a running gang task that has not been
  // renewed. It is longer than a takeover, so that the loss of an owner stops
  // no task.
  base::Duration mGangLease = std::chrono::seconds(15);
  base::Duration mGangRenewalInterval = std::chrono::seconds(3);
  // Time without a response after which the work on a server counts as lost.
  base::Duration mServerLostTimeout = std::chrono::seconds(10);
  // The same for a task of a gang. It is shorter, because the other tasks must
  // not continue alone.
  base::Duration mGangTaskLostTimeout = std::chrono::seconds(4);
  // Time that an operator's change waits for its acknowledgement.
  base::Duration mAcknowledgementTimeout = std::chrono::seconds(8);
  // Number of different servers on which a recorded request may fail before it
  // fails permanently.
  int mMaxAttempts = 3;

  Mechanisms mMechanisms;

  friend bool operator==(const InstanceOptions&,
                         const InstanceOptions&) = default;
};

} // namespace flamingoloom::control
