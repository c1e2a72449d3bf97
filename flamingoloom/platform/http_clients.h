// The HTTP part of the Ports concept: calls to the platform and to the backend
// servers. The daemon adds the calls to peers and the clock.
//
// All calls return at once. Worker threads perform the HTTP calls, and
// callbacks run through the executor. Thread-safe.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "flamingoloom/platform/backend_client.h"
#include "flamingoloom/platform/call_counters.h"
#include "flamingoloom/platform/http_caller.h"
#include "flamingoloom/platform/member_client.h"
#include "flamingoloom/platform/ports.h"
#include "flamingoloom/platform/store_client.h"

namespace flamingoloom::platform {

struct HttpClientOptions
{
  // "ip:port" that serves the table service, object store and member list.
  std::string mPlatformAddress;
  // Timeout of each call that has no wait parameter.
  base::Duration mTimeout = std::chrono::seconds(2);

  PoolLimits mStore = { .mThreads = 8, .mConnectionsPerAddress = 8 };
  PoolLimits mMembers = { .mThreads = 2, .mConnectionsPerAddress = 2 };
  PoolLimits mControl = { .mThreads = 32, .mConnectionsPerAddress = 2 };
  // A task start occupies its thread and connection until the task ends. 384
  // threads suffice for 48 backend servers with 8 slots each.
  PoolLimits mStart = { .mThreads = 384, .mConnectionsPerAddress = 8 };
  PoolLimits mAwait = { .mThreads = 96, .mConnectionsPerAddress = 2 };
};

class HttpClients
{
public:
  HttpClients(const HttpClientOptions& aOptions, const Executor& aExecutor);

  // When the destructor returns, every callback has been passed to the
  // executor. Calls that were being sent end with eOutcomeUnknown, others with
  // eUnavailable.
  ~HttpClients() = default;
  HttpClients(const HttpClients&) = delete;
  HttpClients& operator=(const HttpClients&) = delete;

  void Commit(const Transaction& aTransaction, Done<TransactionResult> aDone);
  void Read(const std::vector<std::string>& aKeys,
            Done<std::vector<Row>> aDone);
  void Scan(const std::string& aPrefix, Done<std::vector<Row>> aDone);
  void PutObject(const std::string& aObject, Done<std::string> aDone);
  void GetObject(const std::string& aDigest, Done<std::string> aDone);

  void ListMembers(Done<MemberList> aDone);
  void AnnounceMember(const Member& aMember, Done<Nothing> aDone);

  void Fence(const ServerAddress& aServer,
             const base::DataCentreId& aDataCentre,
             base::Epoch aEpoch,
             Done<base::Epoch> aDone);
  void StartTask(const ServerAddress& aServer,
                 const TaskStart& aStart,
                 base::Duration aWait,
                 Done<TaskStatus> aDone);
  void ActOnTask(const ServerAddress& aServer,
                 const base::AttemptId& aAttempt,
                 TaskAction aAction,
                 base::Duration aLease,
                 Done<TaskStatus> aDone);
  void AwaitTask(const ServerAddress& aServer,
                 const base::AttemptId& aAttempt,
                 base::Duration aWait,
                 Done<TaskStatus> aDone);

  // Returns the counters by peer address.
  std::map<std::string, PeerCounters> Counters() const;

private:
  CallCounters mCounters;
  HttpCaller mStoreCaller;
  HttpCaller mMemberCaller;
  HttpCaller mControlCaller;
  HttpCaller mStartCaller;
  HttpCaller mAwaitCaller;
  StoreClient mStore;
  MemberClient mMembers;
  BackendClient mBackend;
};

} // namespace flamingoloom::platform
