// Record of the events of one run, which is the input of the checker.
//
// The fakes and the scenario runner append events in the order of virtual time.
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
  // A caller sent call number mCall to mInstance. mBound is the time within
  // which the request must start, if the run states one.
  eSubmitted,
  // Call mCall returned a response. An error is recorded as eCallFailed; a
  // response with the state pending or unknown is not an error.
  eAnswered,
  eCallFailed,
  // The caller of call mCall reached its timeout or lost its connection.
  eCallerDisconnected,
  eCancelRequested,
  // A task started on mServer. The task of a gang starts at its commit.
  eTaskStarted,
  // mTaskState is the outcome; it is eAbsent for a task whose server crashed.
  eTaskEnded,
  // Changes of mDataCentre by operators. The events of one change have the same
  // mCall. "Refused" means that the change certainly had no effect.
  eTakeOutRequested,
  eTakeOutAcknowledged,
  eTakeOutRefused,
  eBringBackRequested,
  eBringBackRefused,
  eServerDraining,
  eConfigAccepted,
  // mInstance uses configuration mVersion; mReachable is the highest accepted
  // version that it could read from the store or a peer. Recorded when either
  // changes.
  eConfigSample,
  eStopBegan,
  // The instance reported that its shutdown is complete.
  eStopEnded,
  // The process of mInstance has exited, planned or not.
  eInstanceEnded,
  // mDetail names the fault. The crash of an instance or server is a fault that
  // begins and ends at the same time.
  eFaultBegan,
  eFaultEnded,
  // An expectation of the scenario file does not hold; mDetail describes it.
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

  // Returns null when there is no such kind.
  const config::JobKind* Kind(const base::KindId& aId) const;
};

// Returns the answer that a backend server produces for a request: 20 to about
// 9,000 bytes that depend only on the request, so that the checker detects an
// answer to another request and a truncated answer.
std::string AnswerOf(const base::RequestId& aRequest,
                     std::string_view aPayload);

// Returns a seeded hash of a text. Use it for values that must not depend on
// the order of events, unlike VirtualClock::Random.
std::uint64_t HashOf(std::string_view aText, std::uint64_t aSeed);

} // namespace flamingoloom::testing::fakes
