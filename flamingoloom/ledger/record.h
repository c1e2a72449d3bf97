// The durable record of a request and its allowed changes of state.
//
//   accepted --Start--> starting --Finish/Fail--> finished / failed
//      ^                   |
//      +-----Requeue-------+--MarkUnknown--> unknown
//   accepted --Refuse--> refused,  accepted/starting --Cancel--> cancelled
//
// The record is written as "starting" before anything is sent to a backend
// server, so whoever reads it later knows that the request may have run. Each
// function returns the next record, or eInvalid for a change that would break
// a promise to the caller. Immutable value types; all functions are
// thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/ids.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::ledger {

enum class RecordState
{
  eAccepted,
  eStarting,
  // The states from here on are terminal.
  eFinished,
  eFailed,
  eCancelled,
  eRefused,
  eUnknown,
};

// Where one task of an attempt runs.
struct TaskPlacement
{
  platform::ServerAddress mServer;
  std::vector<int> mAccelerators;

  friend bool operator==(const TaskPlacement&, const TaskPlacement&) = default;
};

struct Attempt
{
  base::AttemptId mId;
  base::Epoch mEpoch;
  // One place for each task.
  std::vector<TaskPlacement> mPlacements;
  // It uses the guarantee of its client account and is not preempted.
  bool mWithinGuarantee = false;

  bool IsGang() const { return mPlacements.size() > 1; }
  // Id of the attempt's task at the backend server.
  base::AttemptId TaskId(std::size_t aTask) const;

  friend bool operator==(const Attempt&, const Attempt&) = default;
};

struct Record
{
  base::RequestId mRequest;
  base::KindId mKind;
  base::DataCentreId mDataCentre;
  RecordState mState = RecordState::eAccepted;
  // Empty in terminal states.
  std::string mPayload;
  std::string mBodySha256;
  // The current attempt in the state starting, the last one in later states.
  std::optional<Attempt> mAttempt;
  int mAttemptsMade = 0;
  // Some attempt may have run, wholly or in part.
  bool mMayHaveRun = false;
  // Servers on which an attempt has failed.
  std::vector<base::ServerId> mFailedServers;
  // The answer itself, or nothing when mAnswerSha256 names a stored object.
  std::string mAnswer;
  std::string mAnswerSha256;
  bool mAnswerInStore = false;
  std::string mReason;
  // Unique to each write, so that a writer whose answer was lost recognises
  // its own write.
  std::string mNonce;

  bool IsTerminal() const { return mState >= RecordState::eFinished; }

  friend bool operator==(const Record&, const Record&) = default;
};

// A failed server is counted once, however often it failed.
struct Requeue
{
  // The last attempt certainly had no effect.
  bool mCertainlyNotRun = false;
  // The kind may run more than once.
  bool mIdempotent = false;
  std::optional<base::ServerId> mFailedServer;
  std::string mReason;

  friend bool operator==(const Requeue&, const Requeue&) = default;
};

// Digest of what makes a request the same: its kind and payload.
std::string BodySha256(const base::KindId& aKind, const std::string& aPayload);

// Requires an accepted record.
base::Expected<Record> Start(const Record& aRecord, Attempt aAttempt);
// These require a starting record.
base::Expected<Record> Finish(const Record& aRecord, std::string aAnswer);
base::Expected<Record> Fail(const Record& aRecord, std::string aReason);
base::Expected<Record> MarkUnknown(const Record& aRecord, std::string aReason);
// Back to accepted; refused unless the attempt certainly had no effect or the
// kind is idempotent.
base::Expected<Record> Apply(const Record& aRecord, const Requeue& aRequeue);
// Requires an accepted record none of whose attempts may have run.
base::Expected<Record> Refuse(const Record& aRecord, std::string aReason);
// Requires a record that is not terminal.
base::Expected<Record> Cancel(const Record& aRecord, std::string aReason);
// Requires an accepted record.
base::Expected<Record> Relocate(const Record& aRecord, base::DataCentreId aTo);

// Row of an open record: `request/<dc>/<account>/<key>`.
std::string OpenKey(const base::DataCentreId& aDataCentre,
                    const base::RequestId& aRequest);
// Prefix of all open records of a data centre.
std::string OpenPrefix(const base::DataCentreId& aDataCentre);
// Row by which a request is found: `key/<account>/<key>`. While the record is
// open it holds the data centre's name, afterwards the terminal record.
std::string IndexKey(const base::RequestId& aRequest);

std::string Encode(const Record& aRecord);
base::Expected<Record> Decode(const std::string& aText);

// What the row of a key holds while the request's record is open.
struct OpenIndex
{
  base::DataCentreId mDataCentre;
  std::string mBodySha256;
  std::string mNonce;

  friend bool operator==(const OpenIndex&, const OpenIndex&) = default;
};

std::string Encode(const OpenIndex& aIndex);
// Either the place of the open record or the terminal record itself.
base::Expected<std::variant<OpenIndex, Record>> DecodeIndex(
  const std::string& aText);

} // namespace flamingoloom::ledger
