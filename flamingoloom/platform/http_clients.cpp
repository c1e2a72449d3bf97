#include "flamingoloom/platform/http_clients.h"

#include <utility>

namespace flamingoloom::platform {

HttpClients::HttpClients(const HttpClientOptions& aOptions,
                         const Executor& aExecutor)
  : mStoreCaller(aOptions.mStore, aExecutor, mCounters)
  , mMemberCaller(aOptions.mMembers, aExecutor, mCounters)
  , mControlCaller(aOptions.mControl, aExecutor, mCounters)
  , mStartCaller(aOptions.mStart, aExecutor, mCounters)
  , mAwaitCaller(aOptions.mAwait, aExecutor, mCounters)
  , mStore(mStoreCaller, aOptions.mPlatformAddress, aOptions.mTimeout)
  , mMembers(mMemberCaller, aOptions.mPlatformAddress, aOptions.mTimeout)
  , mBackend({ mControlCaller, mStartCaller, mAwaitCaller }, aOptions.mTimeout)
{
}

void HttpClients::Commit(const Transaction& aTransaction,
                         Done<TransactionResult> aDone)
{
  mStore.Commit(aTransaction, std::move(aDone));
}

void HttpClients::Read(const std::vector<std::string>& aKeys,
                       Done<std::vector<Row>> aDone)
{
  mStore.Read(aKeys, std::move(aDone));
}

void HttpClients::Scan(const std::string& aPrefix, Done<std::vector<Row>> aDone)
{
  mStore.Scan(aPrefix, std::move(aDone));
}

void HttpClients::PutObject(const std::string& aObject, Done<std::string> aDone)
{
  mStore.PutObject(aObject, std::move(aDone));
}

void HttpClients::GetObject(const std::string& aDigest, Done<std::string> aDone)
{
  mStore.GetObject(aDigest, std::move(aDone));
}

void HttpClients::ListMembers(Done<MemberList> aDone)
{
  mMembers.ListMembers(std::move(aDone));
}

void HttpClients::AnnounceMember(const Member& aMember, Done<Nothing> aDone)
{
  mMembers.AnnounceMember(aMember, std::move(aDone));
}

void HttpClients::Fence(const ServerAddress& aServer,
                        const base::DataCentreId& aDataCentre,
                        base::Epoch aEpoch,
                        Done<base::Epoch> aDone)
{
  mBackend.Fence(aServer, aDataCentre, aEpoch, std::move(aDone));
}

void HttpClients::StartTask(const ServerAddress& aServer,
                            const TaskStart& aStart,
                            base::Duration aWait,
                            Done<TaskStatus> aDone)
{
  mBackend.StartTask(aServer, aStart, aWait, std::move(aDone));
}

void HttpClients::ActOnTask(const ServerAddress& aServer,
                            const base::AttemptId& aAttempt,
                            TaskAction aAction,
                            base::Duration aLease,
                            Done<TaskStatus> aDone)
{
  mBackend.ActOnTask(aServer, aAttempt, aAction, aLease, std::move(aDone));
}

void HttpClients::AwaitTask(const ServerAddress& aServer,
                            const base::AttemptId& aAttempt,
                            base::Duration aWait,
                            Done<TaskStatus> aDone)
{
  mBackend.AwaitTask(aServer, aAttempt, aWait, std::move(aDone));
}

std::map<std::string, PeerCounters> HttpClients::Counters() const
{
  return mCounters.Values();
}

} // namespace flamingoloom::platform
