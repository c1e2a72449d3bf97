// The interfaces through which the scheduling logic reaches everything outside
// of its instance: the platform's table service, object store and member list,
// the backend servers, the other instances, and the clock.
//
// `control::Instance<Ports>` takes any type that satisfies the Ports concept.
// The daemon passes HTTP and Cap'n Proto RPC clients, tests pass fakes with a
// virtual clock. All calls return at once; the result arrives later through the
// callback, on the thread that made the call and never from within the call
// itself. Each callback is called exactly once, with eOutcomeUnknown when no
// response arrives in time.
#pragma once

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::platform {

template <class T>
using Done = std::function<void(base::Expected<T>)>;

// The value of a call that returns nothing but success or an error.
struct Nothing
{
  friend bool operator==(const Nothing&, const Nothing&) = default;
};

// --- Table service -------------------------------------------------------

struct Row
{
  std::string mKey;
  // Unique within the table; every write gets a higher version than all earlier
  // ones.
  std::uint64_t mVersion = 0;
  std::string mValue;

  friend bool operator==(const Row&, const Row&) = default;
};

// Replaces the value of a row, provided that the row has mExpectedVersion; 0
// means that the row must not exist. A write without a value deletes the row.
struct Write
{
  std::string mKey;
  std::uint64_t mExpectedVersion = 0;
  std::optional<std::string> mValue;

  friend bool operator==(const Write&, const Write&) = default;
};

// Requires that a row has mExpectedVersion, without writing to it.
struct Check
{
  std::string mKey;
  std::uint64_t mExpectedVersion = 0;

  friend bool operator==(const Check&, const Check&) = default;
};

// All writes take effect, or none does.
struct Transaction
{
  std::vector<Write> mWrites;
  std::vector<Check> mChecks;

  friend bool operator==(const Transaction&, const Transaction&) = default;
};

// The current version of a row; 0 means that the row does not exist.
struct RowVersion
{
  std::string mKey;
  std::uint64_t mVersion = 0;

  friend bool operator==(const RowVersion&, const RowVersion&) = default;
};

// The versions of the written rows, or, when the transaction had no effect, the
// rows that did not have their expected versions.
struct TransactionResult
{
  std::vector<RowVersion> mVersions;
  std::vector<RowVersion> mConflicts;

  bool Committed() const { return mConflicts.empty(); }

  friend bool operator==(const TransactionResult&,
                         const TransactionResult&) = default;
};

// --- Member list ---------------------------------------------------------

enum class MemberKind
{
  eInstance,
  eServer,
};

enum class MemberState
{
  eLive,
  eDraining,
};

struct Member
{
  std::string mId;
  MemberKind mKind = MemberKind::eInstance;
  base::DataCentreId mDataCentre;
  base::RegionId mRegion;
  int mRack = 0;
  // "ip:port" of the HTTP server.
  std::string mAddress;
  // "ip:port" of the Cap'n Proto server; empty for backend servers.
  std::string mPeerAddress;
  MemberState mState = MemberState::eLive;
  int mSlots = 0;
  int mConnections = 0;
  int mAccelerators = 0;

  friend bool operator==(const Member&, const Member&) = default;
};

struct MemberList
{
  std::vector<Member> mMembers;
  // Age of the list as reported by the platform.
  base::Duration mAge{};

  friend bool operator==(const MemberList&, const MemberList&) = default;
};

// --- Backend servers -----------------------------------------------------

struct TaskStart
{
  base::AttemptId mAttempt;
  base::RequestId mRequest;
  base::KindId mKind;
  base::DataCentreId mDataCentre;
  // The owner's fencing token at the time of sending.
  base::Epoch mEpoch;
  std::string mPayload;
  int mSlots = 1;
  // Indices of the accelerators on the server.
  std::vector<int> mAccelerators;
  // Id of the gang; empty for a job that is not a gang. A start only prepares
  // the task of a gang; TaskAction::eCommit runs it.
  std::string mGang;
  int mGangSize = 1;
  // The server releases the task's capacity when the lease has not been renewed
  // for this time.
  base::Duration mLease{};

  friend bool operator==(const TaskStart&, const TaskStart&) = default;
};

enum class TaskState
{
  // The server has never seen the attempt.
  eAbsent,
  ePrepared,
  eRunning,
  eFinished,
  eFailed,
  eStopped,
  eCheckpointed,
};

struct TaskStatus
{
  base::AttemptId mAttempt;
  base::RequestId mRequest;
  TaskState mState = TaskState::eAbsent;
  std::string mAnswer;
  // Length and SHA-256 that the server declared for mAnswer.
  std::uint64_t mAnswerBytes = 0;
  std::string mAnswerSha256;

  friend bool operator==(const TaskStatus&, const TaskStatus&) = default;
};

enum class TaskAction
{
  // Starts a prepared task.
  eCommit,
  // Extends the lease.
  eRenew,
  // Releases the capacity of a prepared task; no effect on a running task.
  eRelease,
  eStop,
  // Writes a checkpoint and stops.
  eCheckpoint,
  eThrottle,
};

// Id and "ip:port" of a backend server.
struct ServerAddress
{
  base::ServerId mId;
  std::string mAddress;

  friend bool operator==(const ServerAddress&, const ServerAddress&) = default;
};

// --- Other instances -----------------------------------------------------

struct PeerAddress
{
  base::InstanceId mId;
  std::string mAddress;

  friend bool operator==(const PeerAddress&, const PeerAddress&) = default;
};

struct CreditRequest
{
  base::InstanceId mHolder;
  base::DataCentreId mDataCentre;
  // Number of unrecorded requests that the holder expects to start during the
  // validity period of a grant.
  int mWanted = 0;

  friend bool operator==(const CreditRequest&, const CreditRequest&) = default;
};

// The right to run up to mCount unrecorded requests at once on one backend
// server.
struct Credit
{
  ServerAddress mServer;
  int mCount = 0;

  friend bool operator==(const Credit&, const Credit&) = default;
};

struct CreditGrant
{
  base::DataCentreId mDataCentre;
  base::Epoch mEpoch;
  std::vector<Credit> mCredits;
  // Counted by the holder from before it sent the request.
  base::Duration mValidFor{};

  friend bool operator==(const CreditGrant&, const CreditGrant&) = default;
};

// Notifies the owner of a data centre that a recorded request is ready to start
// or has been cancelled.
struct RequestNotice
{
  base::DataCentreId mDataCentre;
  base::RequestId mRequest;
  bool mCancel = false;

  friend bool operator==(const RequestNotice&, const RequestNotice&) = default;
};

// The state of a recorded request.
struct RequestProgress
{
  bool mTerminal = false;
  // The record as stored in the table.
  std::string mRecord;

  friend bool operator==(const RequestProgress&,
                         const RequestProgress&) = default;
};

// Notifies the owner of a data centre that the data centre's row has changed.
struct DataCentreNotice
{
  base::DataCentreId mDataCentre;
  std::uint64_t mRowVersion = 0;

  friend bool operator==(const DataCentreNotice&,
                         const DataCentreNotice&) = default;
};

struct DataCentreStatus
{
  bool mAcknowledged = false;
  // Version of the data centre's row to which this status applies.
  std::uint64_t mRowVersion = 0;
  // Why the change is not acknowledged yet.
  std::string mReason;

  friend bool operator==(const DataCentreStatus&,
                         const DataCentreStatus&) = default;
};

// Requests the promise of a peer neither to take over nor to drain a data
// centre for mValidFor.
struct PromiseRequest
{
  base::DataCentreId mDataCentre;
  base::InstanceId mOwner;
  base::Epoch mEpoch;
  base::Duration mValidFor{};

  friend bool operator==(const PromiseRequest&,
                         const PromiseRequest&) = default;
};

struct ConfigNotice
{
  std::uint64_t mVersion = 0;
  // The instance that provides the configuration. Its address is included,
  // since the receiver's member list may not contain it yet.
  PeerAddress mFrom;

  friend bool operator==(const ConfigNotice&, const ConfigNotice&) = default;
};

// Announces that an instance is shutting down or a backend server is draining,
// before the platform's member list shows it.
struct LeavingNotice
{
  std::string mMember;

  friend bool operator==(const LeavingNotice&, const LeavingNotice&) = default;
};

// --- The concept ---------------------------------------------------------

// clang-format off
template <class P>
concept Ports = requires(P& aPorts,
                         base::Duration aWait,
                         std::function<void()> aAction,
                         const std::string& aText,
                         const ServerAddress& aServer,
                         const PeerAddress& aPeer,
                         const base::AttemptId& aAttempt) {
  { aPorts.Now() } -> std::same_as<base::Time>;
  // Returns a uniformly distributed random value.
  { aPorts.Random() } -> std::same_as<std::uint64_t>;
  // Runs the action after the wait.
  aPorts.After(aWait, aAction);

  aPorts.Commit(Transaction{}, Done<TransactionResult>{});
  // Completes with the rows that exist, in the order of the given keys.
  aPorts.Read(std::vector<std::string>{}, Done<std::vector<Row>>{});
  // Completes with the rows whose key starts with the text, ordered by key.
  aPorts.Scan(aText, Done<std::vector<Row>>{});
  // Stores the text under its SHA-256 digest, and completes with the digest.
  aPorts.PutObject(aText, Done<std::string>{});
  aPorts.GetObject(aText, Done<std::string>{});
  aPorts.ListMembers(Done<MemberList>{});

  aPorts.Fence(aServer, base::DataCentreId{}, base::Epoch{},
               Done<base::Epoch>{});
  // Completes when the task has ended (for a gang: is prepared), or with
  // eOutcomeUnknown after the wait.
  aPorts.StartTask(aServer, TaskStart{}, aWait, Done<TaskStatus>{});
  // The duration is the new lease duration for eRenew; other actions ignore it.
  aPorts.ActOnTask(aServer, aAttempt, TaskAction::eStop, aWait,
                   Done<TaskStatus>{});
  // Completes when the task has ended or after the wait.
  aPorts.AwaitTask(aServer, aAttempt, aWait, Done<TaskStatus>{});

  aPorts.RequestCredits(aPeer, CreditRequest{}, Done<CreditGrant>{});
  aPorts.NotifyRequest(aPeer, RequestNotice{}, Done<Nothing>{});
  // Completes when the record is terminal or after the wait.
  aPorts.AwaitRequest(aPeer, RequestNotice{}, aWait, Done<RequestProgress>{});
  aPorts.NotifyDataCentre(aPeer, DataCentreNotice{}, Done<DataCentreStatus>{});
  aPorts.RequestPromise(aPeer, PromiseRequest{}, Done<Nothing>{});
  aPorts.AnnounceConfig(aPeer, ConfigNotice{}, Done<Nothing>{});
  aPorts.AnnounceLeaving(aPeer, LeavingNotice{}, Done<Nothing>{});
  // Completes with a JSON document about the peer; the text is the topic.
  aPorts.QueryStatus(aPeer, aText, Done<std::string>{});
};
// clang-format on

} // namespace flamingoloom::platform
