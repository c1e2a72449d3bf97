// Values that callers and operators exchange with an instance.
//
// The HTTP front end translates them from and to JSON; tests build them
// directly. Immutable value types; safe to copy between threads.
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
  // How long the caller waits for the answer. After that it is told
  // "pending" and may ask again.
  base::Duration mWait{};

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

enum class RequestState
{
  // Accepted, not ended yet; ask again.
  ePending,
  eFinished,
  // Ran and has no tries left.
  eFailed,
  eCancelled,
  // Did not run and never will.
  eRefused,
  // It is not known whether the request ran, or cannot be found out now.
  eUnknown,
};

enum class Ran
{
  eNo,
  eYes,
  eUnknown,
};

// Stable names for messages, such as "finished" and "yes".
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
  // Why the request did not finish, in words for the caller.
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
  // For eOutOfService: no right to start work remains anywhere.
  bool mAcknowledged = false;
  // Why it is not acknowledged yet.
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

// What an instance must know about itself.
struct InstanceIdentity
{
  base::InstanceId mId;
  base::DataCentreId mDataCentre;
  base::RegionId mRegion;
  // "ip:port" of the instance's servers.
  std::string mAddress;
  std::string mPeerAddress;

  friend bool operator==(const InstanceIdentity&,
                         const InstanceIdentity&) = default;
};

} // namespace flamingoloom::control
