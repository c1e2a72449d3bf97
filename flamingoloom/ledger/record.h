// The stored record of a request and the allowed transitions of its state.
//
//   accepted --Start--> starting --Finish/Fail--> finished / failed
//      ^                   |
//      +-----Requeue-------+--MarkUnknown--> unknown
//   accepted --Refuse--> refused,  accepted/starting --Cancel--> cancelled
//
// The record is stored as "starting" before any command is sent to a backend
// server, so that a later reader knows that the request may have run. Each
// function returns the next record, or eInvalid for a transition that
// contradicts what the caller may have been told. Immutable value types; all
// functions are thread-safe.
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

// The server and the accelerators of one task of an attempt.
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
  // One placement for each task.
  std::vector<TaskPlacement> mPlacements;
  // The attempt uses the guarantee of its client account and is not preempted.
  bool mWithinGuarantee = false;

  bool IsGang() const { return mPlacements.size() > 1; }
  // Returns the id that identifies a task of the attempt at its backend server.
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
  // Some attempt may have run completely or partly.
  bool mMayHaveRun = false;
  // Servers on which an attempt has failed; each is listed once.
  std::vector<base::ServerId> mFailedServers;
  // The answer; empty if mAnswerInStore is set, in which case mAnswerSha256
  // names the object that contains it.
  std::string mAnswer;
  std::string mAnswerSha256;
  bool mAnswerInStore = false;
  std::string mReason;
  // Unique to each write, so that a writer whose response was lost recognises
  // its own write.
  std::string mNonce;

  bool IsTerminal() const { return mState >= RecordState::eFinished; }

  friend bool operator==(const Record&, const Record&) = default;
};

// How a starting record returns to the state accepted.
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

// Returns the digest of the kind and the payload, which must be equal for
// requests with the same key.
std::string BodySha256(const base::KindId& aKind, const std::string& aPayload);

// Requires an accepted record.
base::Expected<Record> Start(const Record& aRecord, Attempt aAttempt);
// These require a starting record.
base::Expected<Record> Finish(const Record& aRecord, std::string aAnswer);
base::Expected<Record> Fail(const Record& aRecord, std::string aReason);
base::Expected<Record> MarkUnknown(const Record& aRecord, std::string aReason);
// Returns the record to the state accepted. Rejected unless the attempt
// certainly had no effect or the kind is idempotent.
base::Expected<Record> Apply(const Record& aRecord, const Requeue& aRequeue);
// Requires an accepted record of which no attempt may have run.
base::Expected<Record> Refuse(const Record& aRecord, std::string aReason);
// Requires a record that is not terminal.
base::Expected<Record> Cancel(const Record& aRecord, std::string aReason);
// Requires an accepted record.
base::Expected<Record> Relocate(const Record& aRecord, base::DataCentreId aTo);

// Returns the key of the row of an open record: `request/<dc>/<account>/<key>`.
std::string OpenKey(const base::DataCentreId& aDataCentre,
                    const base::RequestId& aRequest);
// Returns the key prefix of all open records of a data centre.
std::string OpenPrefix(const base::DataCentreId& aDataCentre);
// Returns the key of the index row of a request: `key/<account>/<key>`. While
// the record is open, the row contains an OpenIndex, afterwards the terminal
// record.
std::string IndexKey(const base::RequestId& aRequest);

std::string Encode(const Record& aRecord);
base::Expected<Record> Decode(const std::string& aText);

// The content of the index row while the record is open.
struct OpenIndex
{
  base::DataCentreId mDataCentre;
  std::string mBodySha256;
  std::string mNonce;

  friend bool operator==(const OpenIndex&, const OpenIndex&) = default;
};

std::string Encode(const OpenIndex& aIndex);
// Returns the location of the open record or the terminal record itself.
base::Expected<std::variant<OpenIndex, Record>> DecodeIndex(
  const std::string& aText);

} // namespace flamingoloom::ledger
