// Interfaces through which an instance reaches the outside: time, the store,
// backend servers, the decoding of platform rows, and the log.
//
// Calls that take a callback return at once; the callback runs on the
// instance's event-loop thread, never from within the call.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/node/configuration.h"
#include "flamingoloom/node/fencing_token.h"
#include "flamingoloom/scheduler/scheduler.h"
#include "flamingoloom/scheduler/server.h"

namespace flamingoloom::node {

class Loop
{
public:
  virtual ~Loop() = default;

  // Monotonic time, which advances while the machine is suspended.
  virtual base::Time Now() const = 0;
  // Wall-clock time in milliseconds since the Unix epoch; may jump.
  virtual std::int64_t UnixMs() const = 0;
  // Calls aThen once, after aDelay.
  virtual void After(base::Duration aDelay, std::function<void()> aThen) = 0;
};

struct Row
{
  std::string mKey;
  // nullopt for a removed row.
  std::optional<std::string> mValue;
  std::int64_t mVersion = 0;

  friend bool operator==(const Row&, const Row&) = default;
};

struct Rows
{
  std::vector<Row> mRows;
  bool mMore = false;
  // Number of rows of the response that could not be read and are left out.
  int mUnreadable = 0;
  // Version of the store when it responded.
  std::int64_t mVersion = 0;
  // The store's monotonic clock in milliseconds.
  std::int64_t mStoreNowMs = 0;
};

// The condition that a row has the version mVersion, or does not exist if
// mVersion is 0.
struct RowCondition
{
  std::string mTable;
  std::string mKey;
  std::int64_t mVersion = 0;

  friend bool operator==(const RowCondition&, const RowCondition&) = default;
};

// Changes that the store applies atomically. It processes the transactions of
// one partition in order, and those of different partitions concurrently.
struct Transaction
{
  // The partition that holds all rows of the transaction.
  std::string mPartition;
  std::vector<RowCondition> mConditions;
  // The expected version of a change is a further condition.
  std::vector<scheduler::RowChange> mChanges;

  friend bool operator==(const Transaction&, const Transaction&) = default;
};

struct CurrentRow
{
  std::string mTable;
  Row mRow;
};

struct CommitResult
{
  // False if a condition did not hold; then nothing was written.
  bool mApplied = false;
  std::int64_t mVersion = 0;
  std::int64_t mStoreNowMs = 0;
  // Current rows of all conditions if the transaction was not applied.
  std::vector<CurrentRow> mCurrent;
};

class Store
{
public:
  virtual ~Store() = default;

  // Applies aTransaction. Error eUnavailable: nothing was written. Error
  // eOutcomeUnknown: it may have been applied, or may still be applied later if
  // its conditions hold then.
  virtual void Commit(
    const Transaction& aTransaction,
    base::Duration aTimeout,
    std::function<void(base::Expected<CommitResult>)> aThen) = 0;

  // Reads rows of one partition with aFrom <= key < aTo in key order; an empty
  // aTo means no upper bound. If Rows::mMore is set, more rows follow the last
  // one of the result.
  virtual void Read(const std::string& aTable,
                    const std::string& aPartition,
                    const std::string& aFrom,
                    const std::string& aTo,
                    base::Duration aTimeout,
                    std::function<void(base::Expected<Rows>)> aThen) = 0;

  // Waits up to aWait for changes after the version aVersion in any partition.
  // Error eNotFound: the change history after aVersion was compacted.
  virtual void Watch(const std::string& aTable,
                     std::int64_t aVersion,
                     base::Duration aWait,
                     std::function<void(base::Expected<Rows>)> aThen) = 0;
};

struct ReportRequest
{
  FencingToken mToken;
  // The server may discard completions up to this number.
  std::int64_t mAckThrough = 0;
  // New expiry of all leases on the server, by the server's clock; nullopt
  // leaves them as they are.
  std::optional<std::int64_t> mLeaseUntilMs;
  // How long the server may hold its response back until a task completes.
  base::Duration mWait{ 0 };
  // If set, the request is sent only on a connection that was opened by then;
  // see BackendServers::HasConnection.
  std::optional<base::Time> mConnectedBy;
};

struct ReportResponse
{
  scheduler::ServerReport mReport;
  // The server's clock in milliseconds.
  std::int64_t mClockMs = 0;
  // When the request was sent.
  base::Time mRequestSentAt;
};

struct StartRequest
{
  FencingToken mToken;
  // Expiry of all leases on the server, by the server's clock.
  std::int64_t mLeaseUntilMs = 0;
  // As for ReportRequest.
  std::optional<base::Time> mConnectedBy;
  // Tells right before the command is sent, which may be after a wait for a
  // connection, whether it may be.
  std::function<bool()> mMaySend;
};

struct StartResponse
{
  scheduler::StartResult mResult = scheduler::StartResult::eUnknown;
  // The server's clock in milliseconds, if the response tells it.
  std::optional<std::int64_t> mClockMs;
};

class BackendServers
{
public:
  virtual ~BackendServers() = default;

  // Returns whether a call that is made now can use a connection to the server
  // that was opened at aOpenedBy or before. If an incarnation has responded to
  // a request that was sent at aOpenedBy, no later one gets such a call.
  virtual bool HasConnection(const scheduler::ServerInfo& aServer,
                             base::Time aOpenedBy) = 0;

  virtual void Start(const scheduler::ServerInfo& aServer,
                     const scheduler::StartCommand& aCommand,
                     const StartRequest& aRequest,
                     base::Duration aTimeout,
                     std::function<void(StartResponse)> aThen) = 0;

  // Passes to aThen whether the server acknowledged the command.
  virtual void Stop(const scheduler::ServerInfo& aServer,
                    const scheduler::StopCommand& aCommand,
                    const FencingToken& aToken,
                    base::Duration aTimeout,
                    std::function<void(bool)> aThen) = 0;

  // Error eStaleEpoch: the server has seen a higher token. Error eNotFound:
  // another server responds at this address.
  virtual void Report(
    const scheduler::ServerInfo& aServer,
    const ReportRequest& aRequest,
    base::Duration aTimeout,
    std::function<void(base::Expected<ReportResponse>)> aThen) = 0;
};

// Decodes rows that the platform's operators and servers write.
class PlatformRowDecoder
{
public:
  virtual ~PlatformRowDecoder() = default;

  virtual std::string OperatorTable() const = 0;
  virtual std::string ServerTable() const = 0;
  virtual std::string ConfigurationKey() const = 0;
  virtual base::Expected<Configuration> ReadConfiguration(
    const std::string& aValue) const = 0;
  // The data centre that the row aKey of the operators' table takes out of
  // service; nullopt for other rows.
  virtual std::optional<base::DataCentreId> OutOfServiceDataCentre(
    const std::string& aKey) const = 0;
  virtual base::Expected<scheduler::ServerInfo> ReadServer(
    const std::string& aKey,
    const std::string& aValue) const = 0;
};

// Structured log; docs/OPERATIONS.md lists the events.
class EventLog
{
public:
  using Fields = std::vector<std::pair<const char*, std::string>>;

  virtual ~EventLog() = default;
  virtual void Write(const char* aEvent, const Fields& aFields) = 0;
};

struct Ports
{
  Loop* mLoop = nullptr;
  Store* mStore = nullptr;
  BackendServers* mServers = nullptr;
  const PlatformRowDecoder* mRowDecoder = nullptr;
  EventLog* mLog = nullptr;
};

} // namespace flamingoloom::node
