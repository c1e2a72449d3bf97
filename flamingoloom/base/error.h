// Errors as values.
//
// A function that can fail returns Expected<T>. An Error names the operation
// that failed and the peer it was performed with, so that one log line is
// enough to find the cause:
//
//   return MakeError(ErrorCode::eConflict, "renew lease", "table", "...");
//
// Errors are plain values and may be copied between threads.
#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace flamingoloom::base {

enum class ErrorCode
{
  // The input does not have the required form or names something unknown.
  eInvalid,
  // The caller is not authenticated, or not authorised for the operation.
  eDenied,
  eNotFound,
  // Another writer changed the row first, or the idempotency key was used with
  // a different body.
  eConflict,
  // The peer was not reached; the operation had no effect.
  eUnavailable,
  // No valid response arrived; the operation may have taken effect.
  eOutcomeUnknown,
  // The sender's epoch is lower than the one known to the receiver.
  eStaleEpoch,
  // The receiver has no free capacity.
  eBusy,
  // The receiver is shutting down or draining and accepts no new work.
  eShuttingDown,
  // The attempt id has been used before.
  eDuplicate,
  // The operation was performed and failed.
  eFailed,
  // The response is malformed, incomplete or belongs to another request.
  eBadAnswer,
  // The deadline has passed.
  eTimeout,
};

// Returns the stable name of aCode for messages and metrics, such as
// "stale_epoch".
std::string_view ErrorCodeName(ErrorCode aCode);

// Returns the code with the name aName, or eInvalid when there is none.
ErrorCode ErrorCodeFromName(std::string_view aName);

struct Error
{
  ErrorCode mCode = ErrorCode::eInvalid;
  // The operation that failed, such as "renew lease".
  std::string mStep;
  // The peer of the operation, such as "table" or a server id.
  std::string mPeer;
  std::string mMessage;
  // Path of the invalid input field; empty when no field is to blame.
  std::string mField;

  friend bool operator==(const Error&, const Error&) = default;

  // Formats the error as one line: "step at peer [field]: message (code)". The
  // field is left out when it is empty.
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
