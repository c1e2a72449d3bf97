// Tuning of an instance. Immutable value types.
#pragma once

#include "flamingoloom/base/time.h"
#include "flamingoloom/ownership/lease.h"

namespace flamingoloom::control {

// Mechanisms that tests switch off one at a time, to show that the check for
// the property that each one carries then fails. All are on in production.
struct Mechanisms
{
  // Starts carry the held epoch, and servers are fenced before they get work.
  bool mFence = true;
  // A gang is prepared everywhere before any task starts.
  bool mPrepareGangs = true;
  // A lost task stops the rest of its gang.
  bool mStopPartialGangs = true;
  // Answers are compared with their request, length and digest.
  bool mVerifyAnswers = true;
  // "Not run" is written before it is said.
  bool mPersistRefusals = true;
  // "Starting" is written before anything is sent.
  bool mPersistBeforeDispatch = true;
  // A lost outcome of non-idempotent work is never repeated.
  bool mNoRetryOnUnknownOutcome = true;
  // Leaving servers get no new work.
  bool mExcludeDrainingServers = true;
  // A planned stop waits for the requests in progress.
  bool mGracefulStop = true;
  // Older configurations are ignored.
  bool mKeepNewestConfig = true;

  friend bool operator==(const Mechanisms&, const Mechanisms&) = default;
};

struct InstanceOptions
{
  ownership::LeaseTiming mLease;

  base::Duration mTickEvery = std::chrono::milliseconds(100);
  // How often the rows that all instances follow are read.
  base::Duration mWatchEvery = std::chrono::seconds(1);
  base::Duration mMembersEvery = std::chrono::seconds(1);

  base::Duration mCreditLife = std::chrono::seconds(2);
  base::Duration mCreditEvery = std::chrono::milliseconds(500);
  // Slots of each server that are kept for recorded requests.
  int mRecordedSlots = 2;

  // The owner looks for records whose notice was lost.
  base::Duration mRescanEvery = std::chrono::seconds(10);
  // A prepared place is freed by the server after this time.
  base::Duration mPrepareLease = std::chrono::seconds(5);
  // A running gang task is stopped by the server when it has not been renewed
  // for this time. Longer than a take-over, so that the loss of an owner cuts
  // no work.
  base::Duration mGangLease = std::chrono::seconds(15);
  base::Duration mRenewGangEvery = std::chrono::seconds(3);
  // A server that has not answered for this time has lost its work.
  base::Duration mServerLostAfter = std::chrono::seconds(10);
  // The same for a task of a gang: the other tasks must not run on alone.
  base::Duration mGangTaskLostAfter = std::chrono::seconds(4);
  // How long an operator's request waits for the acknowledgement.
  base::Duration mDrainWait = std::chrono::seconds(8);
  // Tries of a recorded request on different servers.
  int mMostAttempts = 3;

  Mechanisms mMechanisms;

  friend bool operator==(const InstanceOptions&,
                         const InstanceOptions&) = default;
};

} // namespace flamingoloom::control
