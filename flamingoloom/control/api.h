// Types that callers and operators exchange with an instance.
//
// The HTTP front end converts them from and to JSON; tests build them directly.
// Immutable value types; safe to copy between threads.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/config/configuration.h"

namespace flamingoloom::control {

struct CallerRequest
{
  base::AccountId mAccount;
  base::KindId mKind;
  // The caller's idempotency key; may be empty only for kinds that are
  // idempotent and not durable.
  std::string mKey;
  std::string mPayload;
  // How long the caller waits for the answer. After that the response is
  // "pending" and the caller may poll again.
  base::Duration mWait{};

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

enum class RequestState
{
  // Accepted, not completed yet; the caller may poll again.
  ePending,
  eFinished,
  // Ran and failed, and has no attempts left.
  eFailed,
  eCancelled,
  // Did not run and will not run.
  eRefused,
  // It is not known whether the request ran, or its state cannot be read now.
  eUnknown,
};

enum class Ran
{
  eNo,
  eYes,
  eUnknown,
};

// Return stable names for messages, such as "finished" and "yes".
std::string_view RequestStateName(RequestState aState);
std::string_view RanName(Ran aRan);

struct CallerAnswer
{
  RequestState mState = RequestState::eUnknown;
  Ran mRan = Ran::eUnknown;
  base::RequestId mRequest;
  base::AttemptId mAttempt;
  std::string mAnswer;
  std::string mAnswerSha256;
  base::ServerId mServer;
  base::DataCentreId mDataCentre;
  // Human-readable reason why the request did not finish.
  std::string mReason;

  friend bool operator==(const CallerAnswer&, const CallerAnswer&) = default;
};

using AnswerDone = std::function<void(base::Expected<CallerAnswer>)>;

enum class DataCentreState
{
  eInService,
  eOutOfService,
};

struct DataCentreChange
{
  base::DataCentreId mDataCentre;
  DataCentreState mState = DataCentreState::eInService;
  std::string mOperator;
  // Version of the data centre's row that the operator saw.
  std::uint64_t mExpectedVersion = 0;

  friend bool operator==(const DataCentreChange&,
                         const DataCentreChange&) = default;
};

struct DataCentreView
{
  base::DataCentreId mDataCentre;
  DataCentreState mState = DataCentreState::eInService;
  // The owner has applied this state. For eOutOfService: no instance can start
  // work there any more.
  bool mAcknowledged = false;
  // Why the state is not acknowledged yet.
  std::string mReason;
  std::string mOperator;
  std::uint64_t mVersion = 0;
  base::InstanceId mOwner;
  base::Epoch mEpoch;

  friend bool operator==(const DataCentreView&,
                         const DataCentreView&) = default;
};

using DataCentreDone = std::function<void(base::Expected<DataCentreView>)>;
using ConfigDone = std::function<void(base::Expected<config::Configuration>)>;

// Identity and addresses of an instance.
struct InstanceIdentity
{
  base::InstanceId mId;
  base::DataCentreId mDataCentre;
  base::RegionId mRegion;
  // Addresses of the instance's servers as "ip:port".
  std::string mAddress;
  std::string mPeerAddress;

  friend bool operator==(const InstanceIdentity&,
                         const InstanceIdentity&) = default;
};

} // namespace flamingoloom::control
