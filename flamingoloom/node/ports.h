// What an instance needs from outside: time, the store, backend servers, and
// the reading of rows that others write.
//
// All calls return at once; callbacks run on the instance's one thread, never
// from within the call.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/node/configuration.h"
#include "flamingoloom/scheduler/scheduler.h"
#include "flamingoloom/scheduler/server.h"

namespace flamingoloom::node {

class Loop
{
public:
  virtual ~Loop() = default;

  // Monotonic, and goes on while the machine sleeps.
  virtual base::Time Now() const = 0;
  // Time of day; may jump.
  virtual std::int64_t UnixMs() const = 0;
  // Calls aThen once, after aDelay.
  virtual void After(base::Duration aDelay, std::function<void()> aThen) = 0;
};

struct Row
{
  std::string mKey;
  // None for a row that was removed.
  std::optional<std::string> mValue;
  std::int64_t mVersion = 0;

  friend bool operator==(const Row&, const Row&) = default;
};

struct Rows
{
  std::vector<Row> mRows;
  bool mMore = false;
  // The newest version of the store.
  std::int64_t mVersion = 0;
  // The store's steady clock.
  std::int64_t mStoreNowMs = 0;
};

// A condition on a row: its version, 0 for no row.
struct RowCondition
{
  std::string mTable;
  std::string mKey;
  std::int64_t mVersion = 0;

  friend bool operator==(const RowCondition&, const RowCondition&) = default;
};

// Changes that are made together or not at all. The store works through the
// transactions of one part in order; those of other parts go on meanwhile.
struct Transaction
{
  // The part that holds all rows of the transaction.
  std::string mPartition;
  std::vector<RowCondition> mConditions;
  // Expected versions of changes count as conditions.
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
  // False: a condition did not hold and nothing was written.
  bool mApplied = false;
  std::int64_t mVersion = 0;
  std::int64_t mStoreNowMs = 0;
  // If not applied: the rows of the conditions as they are.
  std::vector<CurrentRow> mCurrent;
};

class Store
{
public:
  virtual ~Store() = default;

  // eUnavailable: nothing was done. eOutcomeUnknown: it may have been done, or
  // may be done later if the conditions still hold then.
  virtual void Commit(
    const Transaction& aTransaction,
    base::Duration aTimeout,
    std::function<void(base::Expected<CommitResult>)> aThen) = 0;

  // Rows of one part with aFrom <= key < aTo in order; an empty aTo is open.
  virtual void Read(const std::string& aTable,
                    const std::string& aPartition,
                    const std::string& aFrom,
                    const std::string& aTo,
                    base::Duration aTimeout,
                    std::function<void(base::Expected<Rows>)> aThen) = 0;

  // Waits up to aWait for changes after aVersion in any part. eNotFound: the
  // store has forgotten that far back.
  virtual void Watch(const std::string& aTable,
                     std::int64_t aVersion,
                     base::Duration aWait,
                     std::function<void(base::Expected<Rows>)> aThen) = 0;
};

struct ReportRequest
{
  std::int64_t mEpoch = 0;
  // Ends up to this number may be forgotten.
  std::int64_t mAckThrough = 0;
  // New end of all leases, on the server's clock.
  std::optional<std::int64_t> mLeaseUntilMs;
  // How long the server may wait for an end before it answers.
  base::Duration mWait{ 0 };
};

struct ReportResponse
{
  scheduler::ServerReport mReport;
  // The server's clock.
  std::int64_t mClockMs = 0;
};

class BackendServers
{
public:
  virtual ~BackendServers() = default;

  virtual void Start(const scheduler::ServerInfo& aServer,
                     const scheduler::StartCommand& aCommand,
                     std::int64_t aEpoch,
                     std::int64_t aLeaseUntilMs,
                     base::Duration aTimeout,
                     std::function<void(scheduler::StartResult)> aThen) = 0;

  // aThen is told whether the server answered.
  virtual void Stop(const scheduler::ServerInfo& aServer,
                    const scheduler::StopCommand& aCommand,
                    std::int64_t aEpoch,
                    base::Duration aTimeout,
                    std::function<void(bool)> aThen) = 0;

  // eStaleEpoch: a higher epoch has been there. eNotFound: another server
  // answers at this address.
  virtual void Report(
    const scheduler::ServerInfo& aServer,
    const ReportRequest& aRequest,
    base::Duration aTimeout,
    std::function<void(base::Expected<ReportResponse>)> aThen) = 0;
};

// Reads rows that the platform's operators and servers write.
class PlatformRowDecoder
{
public:
  virtual ~PlatformRowDecoder() = default;

  virtual std::string OperatorTable() const = 0;
  virtual std::string ServerTable() const = 0;
  virtual std::string ConfigurationKey() const = 0;
  virtual base::Expected<Configuration> ReadConfiguration(
    const std::string& aValue) const = 0;
  // The data centre that a row of the operators' table takes out, if any.
  virtual std::optional<base::DataCentreId> OutOfServiceDataCentre(
    const std::string& aKey) const = 0;
  virtual base::Expected<scheduler::ServerInfo> ReadServer(
    const std::string& aKey,
    const std::string& aValue) const = 0;
};

// Structured log lines; see docs/OPERATIONS.md for the events.
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
