// The backend servers of the leader: the list of them, which it reads by its
// changes, and a session with each that it needs.
#include "flamingoloom/node/leader.h"

#include <algorithm>

namespace flamingoloom::node {

using base::ServerId;
using base::Time;

namespace {

// The store limits the rows of a response. After one with this many, more
// changes may be known to the store already.
constexpr std::size_t kManyServerRows = 200;

} // namespace

void Leader::PollServerList()
{
  if (mServerListVersion == 0) {
    mListedServers.clear();
    ReadServerPage("");
    return;
  }
  mPorts.mStore->Watch(
    mPorts.mRowDecoder->ServerTable(),
    mServerListVersion,
    base::Duration(0),
    [self = shared_from_this()](const base::Expected<Rows>& aChanges) {
      if (self->mPhase != Phase::eScheduling) {
        return;
      }
      if (aChanges) {
        self->ApplyServerRows(*aChanges);
        self->mServerListVersion =
          std::max(self->mServerListVersion, aChanges->mVersion);
        const bool more = aChanges->mRows.size() >= kManyServerRows;
        if (!more || self->mPorts.mLoop->Now() - self->mServerListAppliedAt >=
                       self->mTiming.mServerListInterval) {
          self->ApplyServerList();
        }
        if (more) {
          self->PollServerList();
          return;
        }
      } else if (aChanges.error().mCode == base::ErrorCode::eNotFound) {
        // The store has forgotten the changes.
        self->mServerListVersion = 0;
        self->PollServerList();
        return;
      }
      self->PollServerListLater();
    });
}

void Leader::ReadServerPage(const std::string& aFrom)
{
  mPorts.mStore->Read(mPorts.mRowDecoder->ServerTable(),
                      "",
                      aFrom,
                      "",
                      mTiming.mReadTimeout,
                      [self = shared_from_this(), first = aFrom.empty()](
                        const base::Expected<Rows>& aPage) {
                        if (self->mPhase != Phase::eScheduling) {
                          return;
                        }
                        if (!aPage) {
                          self->mServerListVersion = 0;
                          self->PollServerListLater();
                          return;
                        }
                        if (first) {
                          // Changes after the first page was read are read by
                          // the next poll.
                          self->mServerListVersion = aPage->mVersion;
                        }
                        self->ApplyServerRows(*aPage);
                        if (aPage->mMore && !aPage->mRows.empty()) {
                          self->ReadServerPage(aPage->mRows.back().mKey + '\0');
                          return;
                        }
                        self->ApplyServerList();
                        self->PollServerListLater();
                      });
}

void Leader::PollServerListLater()
{
  mPorts.mLoop->After(mTiming.mServerListInterval, [self = shared_from_this()] {
    if (self->mPhase == Phase::eScheduling) {
      self->PollServerList();
    }
  });
}

void Leader::ApplyServerRows(const Rows& aRows)
{
  mStoreMs = aRows.mStoreNowMs;
  mStoreMsReadAt = mPorts.mLoop->Now();
  if (aRows.mUnreadable > 0 && aRows.mUnreadable != mUnreadableRows) {
    mUnreadableRows = aRows.mUnreadable;
    mPorts.mLog->Write("rows_unreadable",
                       { { "table", mPorts.mRowDecoder->ServerTable() },
                         { "rows", std::to_string(aRows.mUnreadable) } });
  }
  for (const auto& row : aRows.mRows) {
    if (!row.mValue) {
      mListedServers.erase(row.mKey);
      continue;
    }
    auto server = mPorts.mRowDecoder->ReadServer(row.mKey, *row.mValue);
    if (server) {
      mListedServers.insert_or_assign(row.mKey, std::move(*server));
    } else {
      mListedServers.erase(row.mKey);
      LogUnreadableServer(row, server.error());
    }
  }
}

void Leader::LogUnreadableServer(const Row& aRow, const base::Error& aError)
{
  // Entries of other writers may stay for good. Their number is bounded, since
  // keys of past entries are not kept.
  constexpr std::size_t kMaxEntries = 1000;
  if (mUnreadableServers.size() >= kMaxEntries) {
    mUnreadableServers.clear();
  }
  auto& version = mUnreadableServers[aRow.mKey];
  if (version != aRow.mVersion) {
    version = aRow.mVersion;
    mPorts.mLog->Write(
      "server_unreadable",
      { { "server", aRow.mKey }, { "error", aError.ToString() } });
  }
}

void Leader::ApplyServerList()
{
  std::vector<scheduler::ServerInfo> servers;
  servers.reserve(mListedServers.size());
  mServerListAppliedAt = mPorts.mLoop->Now();
  for (const auto& [key, info] : mListedServers) {
    servers.push_back(info);
  }
  const auto added =
    mScheduler.UpdateServers(mPorts.mLoop->Now(), servers, mEarlierLeases);
  for (const auto& info : servers) {
    const auto session = mSessions.find(info.mId);
    if (session != mSessions.end()) {
      session->second->Update(info);
    }
  }
  for (auto session = mSessions.begin(); session != mSessions.end();) {
    if (mScheduler.ServerFleet().Find(session->first) == nullptr) {
      session->second->Close();
      session = mSessions.erase(session);
    } else {
      ++session;
    }
  }
  for (const auto& id : added) {
    mPorts.mLog->Write("server_found", { { "server", id.Value() } });
  }
  RequestReports();
  RequestPass();
}

ServerSession* Leader::SessionFor(const ServerId& aServer)
{
  const auto known = mSessions.find(aServer);
  if (known != mSessions.end()) {
    return known->second.get();
  }
  const auto* server = mScheduler.ServerFleet().Find(aServer);
  if (server == nullptr || server->mInfo.mAddress.empty()) {
    return nullptr;
  }
  const auto token = NextToken();
  if (mPhase != Phase::eScheduling) {
    return nullptr;
  }
  auto session = std::make_shared<ServerSession>(
    mPorts, server->mInfo, token, mTiming.mSession, SessionEvents(aServer));
  return mSessions.emplace(aServer, std::move(session)).first->second.get();
}

FencingToken Leader::NextToken()
{
  if (mTokenGeneration + 1 < kMaxGenerations) {
    ++mTokenGeneration;
  } else {
    LoseLeadership("no generations left");
  }
  return { mEpoch, mTokenGeneration };
}

ServerSession::Events Leader::SessionEvents(const ServerId& aServer)
{
  // Capturing `this` is safe: this object owns the session and closes it before
  // it is destroyed.
  ServerSession::Events events;
  events.mOnReport = [this, aServer](const scheduler::ServerReport& aReport,
                                     Time aSentAt) {
    if (mScheduler.OnReport(mPorts.mLoop->Now(), aServer, aReport, aSentAt)) {
      RequestPass();
    }
  };
  events.mOnUnresponsive = [this, aServer] {
    mScheduler.OnServerUnresponsive(mPorts.mLoop->Now(), aServer);
  };
  events.mOnReplaced = [this, aServer] {
    mScheduler.OnServerReplaced(mPorts.mLoop->Now(), aServer);
    RequestPass();
  };
  events.mOnRestarted = [this, aServer] {
    mScheduler.OnServerRestarted(aServer);
    RequestPass();
  };
  events.mNextToken = [this] { return NextToken(); };
  events.mIsStartWanted = [this](const scheduler::StartCommand& aCommand) {
    return mScheduler.IsStartWanted(aCommand);
  };
  events.mOnFenced = [this] { LoseLeadership("a server saw a higher epoch"); };
  events.mOnStart = [this, aServer](const scheduler::StartCommand& aCommand,
                                    scheduler::StartResult aResult,
                                    bool aEarlierUnknown) {
    mScheduler.OnStart(mPorts.mLoop->Now(), aCommand, aResult, aEarlierUnknown);
    if (ServerSession* session = SessionFor(aServer)) {
      session->RequestReport();
    }
    if (aResult != scheduler::StartResult::eStarted ||
        mScheduler.HasCommands()) {
      RequestPass();
    }
  };
  events.mOnStop = [this](const scheduler::StopCommand& aCommand,
                          bool aResponded) {
    mScheduler.OnStop(mPorts.mLoop->Now(), aCommand, aResponded);
    if (mScheduler.HasCommands()) {
      RequestPass();
    }
  };
  events.mOnLease = [this, aServer](Time aEndsBy) {
    mScheduler.RecordLease(aServer, aEndsBy);
  };
  events.mOnStartMayStray = [this](const scheduler::StartCommand& aCommand,
                                   Time aEndsBy) {
    mScheduler.OnStartMayStray(aCommand, aEndsBy);
  };
  events.mNeedsReports = [this, aServer] {
    return mPhase == Phase::eScheduling && mScheduler.NeedsReports(aServer);
  };
  events.mAckThrough = [this, aServer] {
    return mScheduler.AcknowledgedCompletions(aServer);
  };
  events.mHasUnstoredCompletions = [this, aServer] {
    const auto* server = mScheduler.ServerFleet().Find(aServer);
    return server != nullptr && !server->mUnstoredCompletions.empty();
  };
  events.mLeaseLimit = [this, aServer] {
    return mServersWithoutLease.count(aServer) > 0
             ? Time()
             : mLeadershipValidUntil() + mTiming.mLeaseBeyondLeadership;
  };
  events.mLeadershipValidUntil = mLeadershipValidUntil;
  return events;
}

void Leader::RequestReports()
{
  std::vector<ServerId> ids;
  for (const auto& [id, server] : mScheduler.ServerFleet().Servers()) {
    if (mScheduler.NeedsReports(id)) {
      ids.push_back(id);
    }
  }
  for (const auto& id : ids) {
    if (ServerSession* session = SessionFor(id)) {
      session->RequestReport();
    }
  }
}

} // namespace flamingoloom::node
