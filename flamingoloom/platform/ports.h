// The ports through which the decisions reach everything outside of an
// instance: the platform's table service, object store and member list, the
// backend servers, the other instances, and time.
//
// `control::Instance<Ports>` takes any type that satisfies the Ports concept.
// The daemon passes HTTP and Cap'n Proto RPC clients, tests pass fakes under a
// virtual clock. All calls return at once; the answer arrives later through
// the callback, on the same thread that made the call and never from within
// the call itself. A callback is called exactly once: a port answers
// eOutcomeUnknown when no answer arrives in time.
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

struct Nothing
{
  friend bool operator==(const Nothing&, const Nothing&) = default;
};

// --- Table service -------------------------------------------------------

struct Row
{
  std::string mKey;
  // Unique and rising over the whole table.
  std::uint64_t mVersion = 0;
  std::string mValue;

  friend bool operator==(const Row&, const Row&) = default;
};

// Replaces the value of a row that has mExpectedVersion; 0 means that the row
// must not exist. No value deletes the row.
struct Write
{
  std::string mKey;
  std::uint64_t mExpectedVersion = 0;
  std::optional<std::string> mValue;

  friend bool operator==(const Write&, const Write&) = default;
};

// Requires that a row has a version, without writing to it.
struct Check
{
  std::string mKey;
  std::uint64_t mExpectedVersion = 0;

  friend bool operator==(const Check&, const Check&) = default;
};

// All writes take effect, or none.
struct Transaction
{
  std::vector<Write> mWrites;
  std::vector<Check> mChecks;

  friend bool operator==(const Transaction&, const Transaction&) = default;
};

// A row whose version was not the expected one; version 0 means absent.
struct RowVersion
{
  std::string mKey;
  std::uint64_t mVersion = 0;

  friend bool operator==(const RowVersion&, const RowVersion&) = default;
};

// Either the new versions of the written rows, or the conflicts and no effect.
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
  // How old the platform says its list is.
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
  // Indexes of accelerators on the server.
  std::vector<int> mAccelerators;
  // Empty for a job that is no gang. A gang's task is only prepared.
  std::string mGang;
  int mGangSize = 1;
  // The server frees the place when it is not renewed for so long.
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
  // Frees a prepared place; no effect on a running task.
  eRelease,
  eStop,
  // Writes a checkpoint and stops.
  eCheckpoint,
  eThrottle,
};

// A backend server as the decisions address it.
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
  // Small requests the holder expects to start during one credit life.
  int mWanted = 0;

  friend bool operator==(const CreditRequest&, const CreditRequest&) = default;
};

// The right to start mCount small requests on one backend server.
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

// Tells a data centre's owner that a request record is ready or cancelled.
struct RequestNotice
{
  base::DataCentreId mDataCentre;
  base::RequestId mRequest;
  bool mCancel = false;

  friend bool operator==(const RequestNotice&, const RequestNotice&) = default;
};

// The row version of a request's record when it last changed, or 0.
struct RequestProgress
{
  bool mTerminal = false;
  // The record as stored.
  std::string mRecord;

  friend bool operator==(const RequestProgress&,
                         const RequestProgress&) = default;
};

// Tells an owner that its data centre row has changed.
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
  // Row version that the answer speaks of.
  std::uint64_t mRowVersion = 0;
  // Why it is not acknowledged yet.
  std::string mReason;

  friend bool operator==(const DataCentreStatus&,
                         const DataCentreStatus&) = default;
};

// Asks a peer not to take over or drain a data centre for mValidFor.
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
  // Who can give the document; the receiver's member list may not have it.
  PeerAddress mFrom;

  friend bool operator==(const ConfigNotice&, const ConfigNotice&) = default;
};

// Announces that an instance or backend server is leaving, ahead of the
// platform's list.
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
  // Uniform over all values.
  { aPorts.Random() } -> std::same_as<std::uint64_t>;
  aPorts.After(aWait, aAction);

  aPorts.Commit(Transaction{}, Done<TransactionResult>{});
  // Rows that exist, in the order of the keys.
  aPorts.Read(std::vector<std::string>{}, Done<std::vector<Row>>{});
  // Rows whose key starts with the text, in key order.
  aPorts.Scan(aText, Done<std::vector<Row>>{});
  // Stores the text under its SHA-256 and answers the digest.
  aPorts.PutObject(aText, Done<std::string>{});
  aPorts.GetObject(aText, Done<std::string>{});
  aPorts.ListMembers(Done<MemberList>{});

  aPorts.Fence(aServer, base::DataCentreId{}, base::Epoch{},
               Done<base::Epoch>{});
  // Answers when the task has ended (or is prepared, for a gang), or with
  // eOutcomeUnknown after the wait.
  aPorts.StartTask(aServer, TaskStart{}, aWait, Done<TaskStatus>{});
  // The duration is the new lease of eRenew; other actions ignore it.
  aPorts.ActOnTask(aServer, aAttempt, TaskAction::eStop, aWait,
                   Done<TaskStatus>{});
  // Answers when the task has ended or after the wait.
  aPorts.AwaitTask(aServer, aAttempt, aWait, Done<TaskStatus>{});

  aPorts.RequestCredits(aPeer, CreditRequest{}, Done<CreditGrant>{});
  aPorts.NotifyRequest(aPeer, RequestNotice{}, Done<Nothing>{});
  // Answers when the record is terminal or after the wait.
  aPorts.AwaitRequest(aPeer, RequestNotice{}, aWait, Done<RequestProgress>{});
  aPorts.NotifyDataCentre(aPeer, DataCentreNotice{}, Done<DataCentreStatus>{});
  aPorts.RequestPromise(aPeer, PromiseRequest{}, Done<Nothing>{});
  aPorts.AnnounceConfig(aPeer, ConfigNotice{}, Done<Nothing>{});
  aPorts.AnnounceLeaving(aPeer, LeavingNotice{}, Done<Nothing>{});
  // A JSON document about the peer; the text is the topic.
  aPorts.QueryStatus(aPeer, aText, Done<std::string>{});
};
// clang-format on

} // namespace flamingoloom::platform
