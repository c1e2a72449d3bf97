// Minimal instance for the tests of the fakes and of the scenario runner.
//
// It keeps requests in memory, starts each of them on a random backend server
// of its own data centre without leases, fencing or records, and acknowledges a
// take-out as soon as the row is written. Its behaviour is correct only without
// faults; with faults the checker must find violations.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "flamingoloom/control/api.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::testing::fakes {

// Defects that a test enables to show that a whole run can violate a rule of
// the checker.
enum class DummyFault
{
  eNone,
  // Reports "refused, not run" when the outcome is unknown.
  eRefusesUnknown,
  eUsesDrainingServers,
  // Completes its shutdown while requests are in progress.
  eStopsAtOnce,
};

template <platform::Ports P>
class DummyInstance
{
public:
  DummyInstance(P& aPorts,
                control::InstanceIdentity aIdentity,
                DummyFault aFault = DummyFault::eNone)
    : mPorts(aPorts)
    , mIdentity(std::move(aIdentity))
    , mFault(aFault)
  {
  }

  void Start() { Poll(); }

  void Submit(control::CallerRequest aRequest, control::AnswerDone aDone)
  {
    base::RequestId id{ aRequest.mAccount, aRequest.mKey };
    Entry& entry = mRequests[id];
    entry.mWaiters.push_back(std::move(aDone));
    if (entry.mState != control::RequestState::ePending) {
      RespondToWaiters(id);
    } else if (entry.mAttempt.IsEmpty()) {
      entry.mAttempt = base::AttemptId(
        fmt::format("{}-{:x}", mIdentity.mId.Value(), mPorts.Random()));
      if (Servers().empty()) {
        entry.mState = control::RequestState::eRefused;
        entry.mRan = control::Ran::eNo;
        RespondToWaiters(id);
        return;
      }
      platform::TaskStart start;
      start.mAttempt = entry.mAttempt;
      start.mRequest = id;
      start.mKind = aRequest.mKind;
      start.mDataCentre = mIdentity.mDataCentre;
      start.mEpoch = base::Epoch(1);
      start.mPayload = aRequest.mPayload;
      mPorts.StartTask(
        Servers()[mPorts.Random() % Servers().size()],
        start,
        std::chrono::seconds(mFault == DummyFault::eRefusesUnknown ? 2 : 20),
        [this, id](base::Expected<platform::TaskStatus> aStatus) {
          Entry& ended = mRequests[id];
          bool finished =
            aStatus && aStatus->mState == platform::TaskState::eFinished;
          ended.mState = finished  ? control::RequestState::eFinished
                         : aStatus ? control::RequestState::eFailed
                                   : control::RequestState::eUnknown;
          ended.mRan = aStatus ? control::Ran::eYes : control::Ran::eUnknown;
          if (!aStatus && mFault == DummyFault::eRefusesUnknown) {
            ended.mState = control::RequestState::eRefused;
            ended.mRan = control::Ran::eNo;
          }
          if (aStatus) {
            ended.mAnswer = aStatus->mAnswer;
            ended.mAnswerSha256 = aStatus->mAnswerSha256;
          }
          RespondToWaiters(id);
        });
    }
  }

  void Await(base::RequestId aRequest,
             base::Duration,
             control::AnswerDone aDone)
  {
    if (!mRequests.contains(aRequest)) {
      aDone(base::MakeError(
        base::ErrorCode::eNotFound, "await", "dummy", "no such request"));
      return;
    }
    mRequests[aRequest].mWaiters.push_back(std::move(aDone));
    if (mRequests[aRequest].mState != control::RequestState::ePending) {
      RespondToWaiters(aRequest);
    }
  }

  void Cancel(base::RequestId aRequest, control::AnswerDone aDone)
  {
    Await(aRequest, {}, std::move(aDone));
  }

  void DataCentres(platform::Done<std::vector<control::DataCentreView>> aDone)
  {
    aDone(std::vector<control::DataCentreView>{});
  }

  void ChangeDataCentre(control::DataCentreChange aChange,
                        control::DataCentreDone aDone)
  {
    std::string key = "datacentre/" + aChange.mDataCentre.Value();
    mPorts.Commit(
      { { { key, aChange.mExpectedVersion, aChange.mOperator } }, {} },
      [aChange, aDone](base::Expected<platform::TransactionResult> aResult) {
        if (!aResult) {
          aDone(tl::unexpected(aResult.error()));
        } else if (!aResult->Committed()) {
          aDone(base::MakeError(
            base::ErrorCode::eConflict, "change", "table", "changed before"));
        } else {
          control::DataCentreView view;
          view.mDataCentre = aChange.mDataCentre;
          view.mState = aChange.mState;
          view.mAcknowledged = true;
          view.mVersion = aResult->mVersions[0].mVersion;
          aDone(view);
        }
      });
  }

  void PutConfiguration(std::uint64_t aExpectedVersion,
                        config::Configuration aConfiguration,
                        control::ConfigDone aDone)
  {
    if (aExpectedVersion != mConfigVersion) {
      aDone(base::MakeError(
        base::ErrorCode::eConflict, "put", "dummy", "other version"));
      return;
    }
    aConfiguration.mVersion = aExpectedVersion + 1;
    mPorts.Commit(
      { { { "config/current",
            mRowVersion,
            std::to_string(aConfiguration.mVersion) } },
        {} },
      [this, aConfiguration, aDone](
        base::Expected<platform::TransactionResult> aResult) {
        if (aResult && aResult->Committed()) {
          mRowVersion = aResult->mVersions[0].mVersion;
          mConfigVersion = aConfiguration.mVersion;
          aDone(aConfiguration);
        } else {
          aDone(base::MakeError(
            base::ErrorCode::eConflict, "put", "table", "changed before"));
        }
      });
  }

  void Shutdown(std::function<void()> aDone)
  {
    bool idle = std::ranges::none_of(mRequests, [](const auto& aEntry) {
      return aEntry.second.mState == control::RequestState::ePending;
    });
    if (idle || mFault == DummyFault::eStopsAtOnce) {
      aDone();
    } else {
      mPorts.After(std::chrono::milliseconds(100),
                   [this, aDone] { Shutdown(aDone); });
    }
  }

  std::uint64_t ConfigVersion() const { return mConfigVersion; }

  void OnRequestCredits(platform::CreditRequest,
                        platform::Done<platform::CreditGrant> aDone)
  {
    aDone(platform::CreditGrant{});
  }
  void OnNotifyRequest(platform::RequestNotice,
                       platform::Done<platform::Nothing> aDone)
  {
    aDone(platform::Nothing{});
  }
  void OnAwaitRequest(platform::RequestNotice,
                      base::Duration,
                      platform::Done<platform::RequestProgress> aDone)
  {
    aDone(platform::RequestProgress{});
  }
  void OnNotifyDataCentre(platform::DataCentreNotice,
                          platform::Done<platform::DataCentreStatus> aDone)
  {
    aDone(platform::DataCentreStatus{});
  }
  void OnRequestPromise(platform::PromiseRequest,
                        platform::Done<platform::Nothing> aDone)
  {
    aDone(platform::Nothing{});
  }
  void OnAnnounceConfig(platform::ConfigNotice,
                        platform::Done<platform::Nothing> aDone)
  {
    aDone(platform::Nothing{});
  }
  void OnAnnounceLeaving(platform::LeavingNotice,
                         platform::Done<platform::Nothing> aDone)
  {
    aDone(platform::Nothing{});
  }
  void OnQueryStatus(const std::string&, platform::Done<std::string> aDone)
  {
    aDone(base::MakeError(
      base::ErrorCode::eNotFound, "query status", "dummy", "no such topic"));
  }

private:
  struct Entry
  {
    control::RequestState mState = control::RequestState::ePending;
    control::Ran mRan = control::Ran::eUnknown;
    base::AttemptId mAttempt;
    std::string mAnswer;
    std::string mAnswerSha256;
    std::vector<control::AnswerDone> mWaiters;
  };

  void RespondToWaiters(const base::RequestId& aId)
  {
    Entry& entry = mRequests[aId];
    control::CallerAnswer answer;
    answer.mState = entry.mState;
    answer.mRan = entry.mRan;
    answer.mRequest = aId;
    answer.mAttempt = entry.mAttempt;
    answer.mAnswer = entry.mAnswer;
    answer.mAnswerSha256 = entry.mAnswerSha256;
    for (auto& waiter : std::exchange(entry.mWaiters, {})) {
      waiter(answer);
    }
  }

  std::vector<platform::ServerAddress> Servers() const
  {
    std::vector<platform::ServerAddress> servers;
    for (const platform::Member& member : mMembers.mMembers) {
      if (member.mKind == platform::MemberKind::eServer &&
          member.mDataCentre == mIdentity.mDataCentre &&
          (member.mState == platform::MemberState::eLive ||
           mFault == DummyFault::eUsesDrainingServers)) {
        servers.push_back({ base::ServerId(member.mId), member.mAddress });
      }
    }
    return servers;
  }

  void Poll()
  {
    mPorts.ListMembers([this](base::Expected<platform::MemberList> aList) {
      if (aList) {
        mMembers = *aList;
      }
    });
    mPorts.Read({ "config/current" },
                [this](base::Expected<std::vector<platform::Row>> aRows) {
                  if (aRows && !aRows->empty()) {
                    mRowVersion = aRows->front().mVersion;
                    mConfigVersion = std::stoull(aRows->front().mValue);
                  }
                });
    mPorts.After(std::chrono::seconds(1), [this] { Poll(); });
  }

  P& mPorts;
  control::InstanceIdentity mIdentity;
  DummyFault mFault;
  platform::MemberList mMembers;
  std::uint64_t mRowVersion = 0;
  std::uint64_t mConfigVersion = 0;
  std::map<base::RequestId, Entry> mRequests;
};

} // namespace flamingoloom::testing::fakes
