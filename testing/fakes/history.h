// What happened in one run: the input of the checker.
//
// Fakes and the scenario runner append events in the order of virtual time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/config/configuration.h"
#include "flamingoloom/control/api.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::testing::fakes {

enum class EventKind
{
  // A caller's call to mInstance, numbered mCall; mBound is the time within
  // which the request must start, when the run states one.
  eSubmitted,
  // The answer to call mCall. An error other than a pending or unknown answer
  // is recorded as eCallFailed.
  eAnswered,
  eCallFailed,
  // The caller stopped waiting for call mCall or lost its connection.
  eCallerDisconnected,
  eCancelRequested,
  // At mServer. A gang's task starts at its commit.
  eTaskStarted,
  // mTaskState says how; a task on a server that died has eAbsent.
  eTaskEnded,
  // Operators' changes of mDataCentre; mCall joins the events of one change.
  // "Refused" means that the change certainly had no effect.
  eTakeOutRequested,
  eTakeOutAcknowledged,
  eTakeOutRefused,
  eBringBackRequested,
  eBringBackRefused,
  eServerDraining,
  eConfigAccepted,
  // mInstance uses mVersion, and the highest accepted version that it could
  // learn from the store or a peer is mReachable. Recorded when one changes.
  eConfigSample,
  eStopBegan,
  // The instance said that nothing is in progress.
  eStopEnded,
  // mInstance is gone, planned or not.
  eInstanceEnded,
  // mDetail names the fault. An instance or server that dies is a fault that
  // begins and ends at once.
  eFaultBegan,
  eFaultEnded,
  // An expectation of the scenario file does not hold; mDetail says which.
  eExpectationFailed,
  // The last event of a run.
  eRunEnded,
};

struct Event
{
  EventKind mKind = EventKind::eRunEnded;
  base::Time mTime;
  std::uint64_t mCall = 0;
  base::RequestId mRequest;
  base::KindId mJobKind;
  std::string mPayload;
  std::string mInstance;
  base::ServerId mServer;
  base::DataCentreId mDataCentre;
  base::AttemptId mAttempt;
  base::Epoch mEpoch;
  std::string mGang;
  int mGangSize = 1;
  platform::TaskState mTaskState = platform::TaskState::eAbsent;
  control::RequestState mState = control::RequestState::ePending;
  control::Ran mRan = control::Ran::eUnknown;
  std::string mAnswer;
  std::string mAnswerSha256;
  std::uint64_t mVersion = 0;
  std::uint64_t mReachable = 0;
  std::optional<base::Duration> mBound;
  std::string mDetail;
};

struct History
{
  std::vector<config::JobKind> mKinds;
  std::vector<Event> mEvents;

  // Null when there is no such kind.
  const config::JobKind* Kind(const base::KindId& aId) const;
};

// The answer that a backend server makes for a request: 20 to about 9,000
// bytes that depend on nothing else, so that an answer to another request or
// a part of an answer is recognised.
std::string AnswerOf(const base::RequestId& aRequest,
                     std::string_view aPayload);

// Seeded hash of a text for values that must not depend on the order of
// events.
std::uint64_t HashOf(std::string_view aText, std::uint64_t aSeed);

} // namespace flamingoloom::testing::fakes
