#include "testing/fakes/checker.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "flamingoloom/base/digest.h"

namespace flamingoloom::testing::fakes {

using base::Duration;
using base::RequestId;
using base::Time;
using control::Ran;
using control::RequestState;
using platform::TaskState;

namespace {

struct Interval
{
  Time mFrom;
  Time mTo;
};

// One call of a caller, with what came of it.
struct Call
{
  const Event* mSubmitted = nullptr;
  const Event* mEnded = nullptr;
};

struct Task
{
  const Event* mStarted = nullptr;
  const Event* mEnded = nullptr;
};

std::string Name(const RequestId& aRequest)
{
  return aRequest.mAccount.Value() + "/" + aRequest.mKey;
}

bool IsTerminal(RequestState aState)
{
  return aState != RequestState::ePending && aState != RequestState::eUnknown;
}

class Checker
{
public:
  Checker(const History& aHistory, const Limits& aLimits)
    : mHistory(aHistory)
    , mLimits(aLimits)
  {
    Index();
  }

  std::vector<Violation> Run()
  {
    CheckStartBounds();
    CheckGangs();
    CheckTakeOuts();
    CheckAnswers();
    CheckRan();
    CheckAtMostOnce();
    CheckLeavingServers();
    CheckStops();
    CheckConfiguration();
    CheckLost();
    for (const Event& event : mHistory.mEvents) {
      if (event.mKind == EventKind::eExpectationFailed) {
        Report("expect", event.mTime, event.mDetail);
      }
    }
    return std::move(mViolations);
  }

private:
  void Report(const char* aRule, Time aTime, std::string aText)
  {
    mViolations.push_back({ aRule, aTime, std::move(aText) });
  }

  void Index()
  {
    std::map<std::string, Time> open;
    for (const Event& event : mHistory.mEvents) {
      mEnd = std::max(mEnd, event.mTime);
      switch (event.mKind) {
        case EventKind::eSubmitted:
          mCalls[event.mCall].mSubmitted = &event;
          ++mSubmissions[event.mRequest];
          break;
        case EventKind::eAnswered:
        case EventKind::eCallFailed:
        case EventKind::eCallerDisconnected:
          if (Call& call = mCalls[event.mCall]; call.mEnded == nullptr) {
            call.mEnded = &event;
          }
          break;
        case EventKind::eTaskStarted:
          mTasks[event.mAttempt].mStarted = &event;
          mStarts[event.mRequest].push_back(&event);
          break;
        case EventKind::eTaskEnded:
          mTasks[event.mAttempt].mEnded = &event;
          break;
        case EventKind::eFaultBegan:
          open.emplace(event.mDetail, event.mTime);
          break;
        case EventKind::eFaultEnded:
          if (auto fault = open.find(event.mDetail); fault != open.end()) {
            mFaults.push_back({ fault->second, event.mTime });
            open.erase(fault);
          }
          break;
        default:
          break;
      }
    }
    for (const auto& [name, from] : open) {
      mFaults.push_back({ from, Time::max() });
    }
    std::ranges::sort(mFaults, {}, &Interval::mFrom);
  }

  // Whether a stretch of [aFrom, aTo] longer than aBound has no fault.
  bool IsQuietFor(Time aFrom, Time aTo, Duration aBound) const
  {
    Time quietSince = aFrom;
    for (const Interval& fault : mFaults) {
      if (fault.mTo < quietSince) {
        continue;
      }
      if (std::min(fault.mFrom, aTo) - quietSince > aBound) {
        return true;
      }
      quietSince = std::max(quietSince, fault.mTo);
      if (quietSince >= aTo) {
        return false;
      }
    }
    return aTo - quietSince > aBound;
  }

  bool HasFault(Time aFrom, Time aTo) const
  {
    return std::ranges::any_of(mFaults, [&](const Interval& aFault) {
      return aFault.mFrom <= aTo && aFault.mTo >= aFrom;
    });
  }

  bool IsCancelled(const RequestId& aRequest) const
  {
    return std::ranges::any_of(mHistory.mEvents, [&](const Event& aEvent) {
      return aEvent.mKind == EventKind::eCancelRequested &&
             aEvent.mRequest == aRequest;
    });
  }

  // --- P1 ---
  void CheckStartBounds()
  {
    for (const auto& [number, call] : mCalls) {
      const Event* submitted = call.mSubmitted;
      if (submitted == nullptr || !submitted->mBound) {
        continue;
      }
      Time latest = submitted->mTime + *submitted->mBound;
      auto starts = mStarts.find(submitted->mRequest);
      bool late = starts == mStarts.end()
                    ? mEnd >= latest
                    : starts->second.front()->mTime > latest;
      if (late) {
        Report("P1", latest, Name(submitted->mRequest) + " not started yet");
      }
    }
  }

  // --- P2 ---
  void CheckGangs()
  {
    std::map<std::string, std::vector<Task>> gangs;
    for (const auto& [attempt, task] : mTasks) {
      if (task.mStarted != nullptr && !task.mStarted->mGang.empty()) {
        gangs[task.mStarted->mGang].push_back(task);
      }
    }
    std::set<RequestId> together;
    for (const auto& [name, tasks] : gangs) {
      auto size = static_cast<std::size_t>(tasks[0].mStarted->mGangSize);
      Time firstStart = Time::max();
      Time lastStart = Time::min();
      Time firstEnd = Time::max();
      Time lastEnd = Time::min();
      Time firstLoss = Time::max();
      for (const Task& task : tasks) {
        Time end = task.mEnded != nullptr ? task.mEnded->mTime : mEnd;
        firstStart = std::min(firstStart, task.mStarted->mTime);
        lastStart = std::max(lastStart, task.mStarted->mTime);
        firstEnd = std::min(firstEnd, end);
        lastEnd = std::max(lastEnd, end);
        if (task.mEnded != nullptr &&
            task.mEnded->mTaskState != TaskState::eFinished) {
          firstLoss = std::min(firstLoss, end);
        }
      }
      bool complete = tasks.size() >= size;
      if (complete && lastStart <= firstEnd) {
        together.insert(tasks[0].mStarted->mRequest);
      }
      Time allStarted = complete ? std::min(lastStart, lastEnd) : lastEnd;
      if (IsQuietFor(firstStart, allStarted, mLimits.mPartialGang) ||
          (firstLoss < lastEnd &&
           IsQuietFor(firstLoss, lastEnd, mLimits.mPartialGang))) {
        Report("P2",
               lastEnd,
               fmt::format("gang {} of {} ran with some of its {} tasks",
                           name,
                           Name(tasks[0].mStarted->mRequest),
                           size));
      }
    }
    for (const Event& event : mHistory.mEvents) {
      const config::JobKind* kind = mHistory.Kind(event.mJobKind);
      if (event.mKind == EventKind::eAnswered && kind != nullptr &&
          kind->mTasks > 1 && event.mState == RequestState::eFinished &&
          !together.contains(event.mRequest)) {
        Report("P2",
               event.mTime,
               Name(event.mRequest) +
                 " finished, but its tasks never ran together");
      }
    }
  }

  // --- P3 ---
  void CheckTakeOuts()
  {
    std::set<std::uint64_t> refused;
    for (const Event& event : mHistory.mEvents) {
      if (event.mKind == EventKind::eBringBackRefused) {
        refused.insert(event.mCall);
      }
    }
    std::map<base::DataCentreId, Time> out;
    std::map<std::uint64_t, Time> requested;
    std::map<base::DataCentreId, Time> broughtBack;
    for (const Event& event : mHistory.mEvents) {
      if (event.mKind == EventKind::eTakeOutRequested) {
        requested[event.mCall] = event.mTime;
      } else if (event.mKind == EventKind::eTakeOutAcknowledged) {
        // A bring-back that was requested while this take-out waited for its
        // acknowledgement may still be on its way to the store and take effect
        // at any later time.
        auto back = broughtBack.find(event.mDataCentre);
        if (back == broughtBack.end() ||
            back->second < requested[event.mCall]) {
          out.emplace(event.mDataCentre, event.mTime);
        }
      } else if (event.mKind == EventKind::eBringBackRequested &&
                 !refused.contains(event.mCall)) {
        broughtBack[event.mDataCentre] = event.mTime;
        out.erase(event.mDataCentre);
      } else if (event.mKind == EventKind::eTaskStarted) {
        auto since = out.find(event.mDataCentre);
        if (since != out.end() &&
            event.mTime - since->second > mLimits.mStartAfterTakeOut) {
          Report("P3",
                 event.mTime,
                 fmt::format("{} started at {} {} ms after the take-out of {} "
                             "was acknowledged",
                             Name(event.mRequest),
                             event.mServer.Value(),
                             base::ToMilliseconds(event.mTime - since->second),
                             event.mDataCentre.Value()));
        }
      }
    }
  }

  // --- P4 ---
  void CheckAnswers()
  {
    std::map<std::pair<RequestId, std::string>, Time> made;
    std::map<std::pair<RequestId, std::string>, RequestState> told;
    for (const Event& event : mHistory.mEvents) {
      if (event.mKind == EventKind::eTaskEnded &&
          event.mTaskState == TaskState::eFinished) {
        made.emplace(std::pair(event.mRequest, event.mAnswer), event.mTime);
      }
      if (event.mKind != EventKind::eAnswered || !IsTerminal(event.mState)) {
        continue;
      }
      const Event* submitted = mCalls[event.mCall].mSubmitted;
      if (submitted == nullptr) {
        continue;
      }
      if (event.mState == RequestState::eFinished) {
        const char* fault = nullptr;
        if (event.mAnswer !=
            AnswerOf(submitted->mRequest, submitted->mPayload)) {
          fault = "got an answer that is not its own or not complete";
        } else if (!made.contains({ submitted->mRequest, event.mAnswer })) {
          fault = "got an answer that no backend server had made";
        } else if (event.mAnswerSha256 != base::Sha256Hex(event.mAnswer)) {
          fault = "got an answer with a wrong digest";
        }
        if (fault != nullptr) {
          Report("P4",
                 event.mTime,
                 fmt::format("{} {}", Name(submitted->mRequest), fault));
        }
      }
      const config::JobKind* kind = mHistory.Kind(submitted->mJobKind);
      if (kind != nullptr && kind->mDurable) {
        auto [first, isNew] = told.emplace(
          std::pair(submitted->mRequest, submitted->mPayload), event.mState);
        if (!isNew && first->second != event.mState) {
          Report("P4",
                 event.mTime,
                 fmt::format("{} was {} and is now {}",
                             Name(submitted->mRequest),
                             RequestStateName(first->second),
                             RequestStateName(event.mState)));
        }
      }
    }
  }

  // --- P5 ---
  void CheckRan()
  {
    for (const Event& event : mHistory.mEvents) {
      if (event.mKind != EventKind::eAnswered ||
          event.mState == RequestState::ePending) {
        continue;
      }
      // Repeats of a request without a record are requests of their own.
      const config::JobKind* kind = mHistory.Kind(event.mJobKind);
      if (kind != nullptr && !kind->mDurable &&
          mSubmissions[event.mRequest] > 1) {
        continue;
      }
      auto starts = mStarts.find(event.mRequest);
      bool saidNo =
        event.mState == RequestState::eRefused || event.mRan == Ran::eNo;
      if (saidNo && starts != mStarts.end()) {
        const Event* start = starts->second.front();
        Report("P5",
               event.mTime,
               fmt::format("{} was answered {} (ran: {}), but started at {}",
                           Name(event.mRequest),
                           RequestStateName(event.mState),
                           RanName(event.mRan),
                           start->mServer.Value()));
      }
      if (event.mRan == Ran::eYes &&
          (starts == mStarts.end() ||
           starts->second.front()->mTime > event.mTime)) {
        Report("P5",
               event.mTime,
               Name(event.mRequest) + " was said to have run, but had not");
      }
    }
  }

  // --- P6 ---
  void CheckAtMostOnce()
  {
    for (const auto& [request, starts] : mStarts) {
      const config::JobKind* kind = mHistory.Kind(starts[0]->mJobKind);
      if (kind == nullptr || kind->mIdempotent) {
        continue;
      }
      std::set<std::string> runs;
      for (const Event* start : starts) {
        runs.insert(start->mGang.empty() ? start->mAttempt.Value()
                                         : start->mGang);
      }
      if (runs.size() > 1) {
        Report("P6",
               starts[1]->mTime,
               fmt::format("{} started {} times: at {} and at {}",
                           Name(request),
                           runs.size(),
                           starts.front()->mServer.Value(),
                           starts.back()->mServer.Value()));
      }
    }
  }

  // --- P7 ---
  void CheckLeavingServers()
  {
    std::map<base::ServerId, Time> leaving;
    for (const Event& event : mHistory.mEvents) {
      if (event.mKind == EventKind::eServerDraining) {
        leaving.emplace(event.mServer, event.mTime);
      } else if (event.mKind == EventKind::eTaskStarted) {
        auto since = leaving.find(event.mServer);
        if (since != leaving.end() &&
            event.mTime - since->second > mLimits.mStartAfterLeaving) {
          Report(
            "P7",
            event.mTime,
            fmt::format("{} started at {} {} ms after it began to leave",
                        Name(event.mRequest),
                        event.mServer.Value(),
                        base::ToMilliseconds(event.mTime - since->second)));
        }
      }
    }
  }

  // --- P8 ---
  void CheckStops()
  {
    for (const Event& event : mHistory.mEvents) {
      if (event.mKind == EventKind::eStopBegan) {
        CheckStop(event);
      }
    }
  }

  void CheckStop(const Event& aBegan)
  {
    const Event* ended = nullptr;
    Time until = mEnd;
    for (const Event& event : mHistory.mEvents) {
      if (event.mInstance == aBegan.mInstance &&
          (event.mKind == EventKind::eStopEnded ||
           event.mKind == EventKind::eInstanceEnded)) {
        ended = &event;
        until = event.mTime;
        break;
      }
    }
    if (ended == nullptr &&
        IsQuietFor(aBegan.mTime, mEnd, mLimits.mRequestEnd)) {
      Report("stop", mEnd, aBegan.mInstance + " has not stopped");
    }
    bool planned = ended != nullptr && ended->mKind == EventKind::eStopEnded;
    for (const auto& [number, call] : mCalls) {
      if (call.mSubmitted == nullptr || call.mSubmitted->mTime > until) {
        continue;
      }
      Time end = call.mEnded != nullptr ? call.mEnded->mTime : Time::max();
      if (planned && call.mSubmitted->mInstance == aBegan.mInstance &&
          end > until) {
        Report("P8",
               until,
               fmt::format("{} stopped with {} in progress",
                           aBegan.mInstance,
                           Name(call.mSubmitted->mRequest)));
      }
      bool failed = call.mEnded != nullptr &&
                    (call.mEnded->mKind == EventKind::eCallFailed ||
                     (call.mEnded->mKind == EventKind::eAnswered &&
                      call.mEnded->mState == RequestState::eUnknown));
      if (failed && call.mSubmitted->mTime <= aBegan.mTime &&
          aBegan.mTime <= end && !HasFault(call.mSubmitted->mTime, end)) {
        Report("P8",
               end,
               fmt::format("{} failed when {} stopped",
                           Name(call.mSubmitted->mRequest),
                           aBegan.mInstance));
      }
    }
    for (const auto& [attempt, task] : mTasks) {
      if (task.mStarted == nullptr || task.mEnded == nullptr ||
          task.mEnded->mTaskState != TaskState::eStopped) {
        continue;
      }
      const config::JobKind* kind = mHistory.Kind(task.mStarted->mJobKind);
      if (kind != nullptr && !kind->mPreemptible &&
          task.mStarted->mTime <= aBegan.mTime &&
          aBegan.mTime <= task.mEnded->mTime && task.mEnded->mTime <= until &&
          !HasFault(task.mStarted->mTime, task.mEnded->mTime) &&
          !IsCancelled(task.mStarted->mRequest)) {
        Report("P8",
               task.mEnded->mTime,
               fmt::format("a task of {} was stopped while {} stopped",
                           Name(task.mStarted->mRequest),
                           aBegan.mInstance));
      }
    }
  }

  // --- P9 ---
  void CheckConfiguration()
  {
    std::set<std::uint64_t> accepted;
    std::map<std::string, std::vector<const Event*>> samples;
    for (const Event& event : mHistory.mEvents) {
      if (event.mKind == EventKind::eConfigAccepted &&
          !accepted.insert(event.mVersion).second) {
        Report("P9",
               event.mTime,
               fmt::format("version {} was accepted twice", event.mVersion));
      }
      if (event.mKind == EventKind::eConfigSample) {
        std::vector<const Event*>& seen = samples[event.mInstance];
        if (!seen.empty() && event.mVersion < seen.back()->mVersion) {
          Report("P9",
                 event.mTime,
                 fmt::format("{} went back from version {} to {}",
                             event.mInstance,
                             seen.back()->mVersion,
                             event.mVersion));
        }
        seen.push_back(&event);
      }
      if (event.mKind == EventKind::eInstanceEnded) {
        samples[event.mInstance].push_back(&event);
      }
    }
    for (const auto& [instance, seen] : samples) {
      for (std::uint64_t version : accepted) {
        CheckSpread(instance, seen, version);
      }
    }
  }

  void CheckSpread(const std::string& aInstance,
                   const std::vector<const Event*>& aSeen,
                   std::uint64_t aVersion)
  {
    // Since when the instance could have used the version and did not.
    std::optional<Time> since;
    Time until = mEnd;
    for (const Event* sample : aSeen) {
      bool behind = sample->mKind == EventKind::eConfigSample &&
                    sample->mVersion < aVersion &&
                    sample->mReachable >= aVersion;
      if (behind && !since) {
        since = sample->mTime;
      } else if (!behind && since) {
        if (sample->mTime - *since > mLimits.mConfigurationSpread) {
          until = sample->mTime;
          break;
        }
        since.reset();
      }
    }
    if (since && until - *since > mLimits.mConfigurationSpread) {
      Report("P9",
             until,
             fmt::format("{} did not use version {} for {} ms",
                         aInstance,
                         aVersion,
                         base::ToMilliseconds(until - *since)));
    }
  }

  // --- Accepted durable requests end ---
  void CheckLost()
  {
    std::map<RequestId, Time> accepted;
    std::map<RequestId, Time> ended;
    std::map<RequestId, const config::JobKind*> kinds;
    for (const Event& event : mHistory.mEvents) {
      const config::JobKind* kind = mHistory.Kind(event.mJobKind);
      if (event.mKind != EventKind::eAnswered || kind == nullptr ||
          !kind->mDurable) {
        continue;
      }
      kinds[event.mRequest] = kind;
      if (event.mState == RequestState::ePending) {
        accepted.emplace(event.mRequest, event.mTime);
      } else if (IsTerminal(event.mState) || !kind->mIdempotent) {
        ended.emplace(event.mRequest, event.mTime);
      }
    }
    for (const auto& [request, since] : accepted) {
      auto end = ended.find(request);
      Time until = end == ended.end() ? mEnd : end->second;
      if (IsQuietFor(since, until, mLimits.mRequestEnd)) {
        Report("lost",
               until,
               fmt::format("accepted request {} ({}) has not ended in time",
                           Name(request),
                           kinds[request]->mId.Value()));
      }
    }
  }

  const History& mHistory;
  const Limits& mLimits;
  Time mEnd;
  std::vector<Interval> mFaults;
  std::map<std::uint64_t, Call> mCalls;
  std::map<RequestId, int> mSubmissions;
  std::map<base::AttemptId, Task> mTasks;
  std::map<RequestId, std::vector<const Event*>> mStarts;
  std::vector<Violation> mViolations;
};

} // namespace

std::vector<Violation> Check(const History& aHistory, const Limits& aLimits)
{
  return Checker(aHistory, aLimits).Run();
}

} // namespace flamingoloom::testing::fakes
