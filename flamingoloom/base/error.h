// Errors as values.
//
// A function that can fail returns Expected<T>. An Error says in which step
// and at which peer the failure arose, so that one log line is enough to find
// the cause:
//
//   return MakeError(ErrorCode::eConflict, "renew lease", "table", "...");
//
// Immutable values; safe to copy between threads.
#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace flamingoloom::base {

enum class ErrorCode
{
  // The input does not have the required form or names something unknown.
  eInvalid,
  // The caller did not prove who it is, or may not do this.
  eDenied,
  eNotFound,
  // Somebody else changed the row first, or the key has another body.
  eConflict,
  // The peer was not reached; the operation certainly had no effect.
  eUnavailable,
  // No answer arrived; the operation may have taken effect.
  eOutcomeUnknown,
  // The sender's epoch is lower than the receiver's.
  eStaleEpoch,
  // No free slot or place.
  eBusy,
  // The receiver is shutting down and takes no new work.
  eShuttingDown,
  // The attempt id has been used before.
  eDuplicate,
  // The work itself failed.
  eFailed,
  // The answer is incomplete or belongs to another request.
  eBadAnswer,
  // The deadline passed.
  eTimeout,
};

// Stable name of aCode for messages and metrics, such as "stale_epoch".
std::string_view ErrorCodeName(ErrorCode aCode);

// The code that ErrorCodeName maps to aName; eInvalid for an unknown name.
ErrorCode ErrorCodeFromName(std::string_view aName);

struct Error
{
  ErrorCode mCode = ErrorCode::eInvalid;
  // What was being done, such as "renew lease".
  std::string mStep;
  // Who it was done with, such as "table" or a server id.
  std::string mPeer;
  std::string mMessage;
  // The input field at fault, as a path; empty when it was no field.
  std::string mField;

  friend bool operator==(const Error&, const Error&) = default;

  // One line: "step at peer: message (code)".
  std::string ToString() const;
};

template <class T>
using Expected = tl::expected<T, Error>;

inline tl::unexpected<Error> MakeError(ErrorCode aCode,
                                       std::string aStep,
                                       std::string aPeer,
                                       std::string aMessage,
                                       std::string aField = {})
{
  return tl::unexpected<Error>(Error{ aCode,
                                      std::move(aStep),
                                      std::move(aPeer),
                                      std::move(aMessage),
                                      std::move(aField) });
}

} // namespace flamingoloom::base
