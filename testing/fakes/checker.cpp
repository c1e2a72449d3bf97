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

// One call of a caller and the event that ended it.
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

std::string RequestName(const RequestId& aRequest)
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
    BuildIndex();
  }

  std::vector<Violation> Run()
  {
    CheckStartBounds();
    CheckGangs();
    CheckTakeOuts();
    CheckAnswers();
    CheckReportedExecution();
    CheckAtMostOnce();
    CheckDrainingServers();
    CheckStops();
    CheckConfiguration();
    CheckLostRequests();
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

  void BuildIndex()
  {
    std::map<std::string, Time> openFaults;
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
          openFaults.emplace(event.mDetail, event.mTime);
          break;
        case EventKind::eFaultEnded:
          if (auto fault = openFaults.find(event.mDetail);
              fault != openFaults.end()) {
            mFaults.push_back({ fault->second, event.mTime });
            openFaults.erase(fault);
          }
          break;
        default:
          break;
      }
    }
    for (const auto& [name, from] : openFaults) {
      mFaults.push_back({ from, Time::max() });
    }
    std::ranges::sort(mFaults, {}, &Interval::mFrom);
  }

  // Returns whether [aFrom, aTo] contains a period longer than aBound without a
  // fault.
  bool HasFaultFreePeriod(Time aFrom, Time aTo, Duration aBound) const
  {
    Time faultFreeSince = aFrom;
    for (const Interval& fault : mFaults) {
      if (fault.mTo < faultFreeSince) {
        continue;
      }
      if (std::min(fault.mFrom, aTo) - faultFreeSince > aBound) {
        return true;
      }
      faultFreeSince = std::max(faultFreeSince, fault.mTo);
      if (faultFreeSince >= aTo) {
        return false;
      }
    }
    return aTo - faultFreeSince > aBound;
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

  // --- P1: requests start within their bound ---
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
        Report(
          "P1", latest, RequestName(submitted->mRequest) + " not started yet");
      }
    }
  }

  // --- P2: gangs run together or not at all ---
  void CheckGangs()
  {
    std::map<std::string, std::vector<Task>> gangs;
    for (const auto& [attempt, task] : mTasks) {
      if (task.mStarted != nullptr && !task.mStarted->mGang.empty()) {
        gangs[task.mStarted->mGang].push_back(task);
      }
    }
    std::set<RequestId> ranTogether;
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
        ranTogether.insert(tasks[0].mStarted->mRequest);
      }
      Time allStarted = complete ? std::min(lastStart, lastEnd) : lastEnd;
      if (HasFaultFreePeriod(
            firstStart, allStarted, mLimits.mMaxPartialGangTime) ||
          (firstLoss < lastEnd &&
           HasFaultFreePeriod(
             firstLoss, lastEnd, mLimits.mMaxPartialGangTime))) {
        Report("P2",
               lastEnd,
               fmt::format("gang {} of {} ran with some of its {} tasks",
                           name,
                           RequestName(tasks[0].mStarted->mRequest),
                           size));
      }
    }
    for (const Event& event : mHistory.mEvents) {
      const config::JobKind* kind = mHistory.Kind(event.mJobKind);
      if (event.mKind == EventKind::eAnswered && kind != nullptr &&
          kind->mTasks > 1 && event.mState == RequestState::eFinished &&
          !ranTogether.contains(event.mRequest)) {
        Report("P2",
               event.mTime,
               RequestName(event.mRequest) +
                 " finished, but its tasks never ran together");
      }
    }
  }

  // --- P3: no start after an acknowledged take-out ---
  void CheckTakeOuts()
  {
    std::set<std::uint64_t> rejectedBringBacks;
    for (const Event& event : mHistory.mEvents) {
      if (event.mKind == EventKind::eBringBackRefused) {
        rejectedBringBacks.insert(event.mCall);
      }
    }
    std::map<base::DataCentreId, Time> outOfService;
    std::map<std::uint64_t, Time> requested;
    std::map<base::DataCentreId, Time> broughtBack;
    for (const Event& event : mHistory.mEvents) {
      if (event.mKind == EventKind::eTakeOutRequested) {
        requested[event.mCall] = event.mTime;
      } else if (event.mKind == EventKind::eTakeOutAcknowledged) {
        // A bring-back that was requested before this take-out was acknowledged
        // may still be in flight to the store and take effect at any later
        // time.
        auto back = broughtBack.find(event.mDataCentre);
        if (back == broughtBack.end() ||
            back->second < requested[event.mCall]) {
          outOfService.emplace(event.mDataCentre, event.mTime);
        }
      } else if (event.mKind == EventKind::eBringBackRequested &&
                 !rejectedBringBacks.contains(event.mCall)) {
        broughtBack[event.mDataCentre] = event.mTime;
        outOfService.erase(event.mDataCentre);
      } else if (event.mKind == EventKind::eTaskStarted) {
        auto since = outOfService.find(event.mDataCentre);
        if (since != outOfService.end() &&
            event.mTime - since->second > mLimits.mMaxStartAfterTakeOut) {
          Report("P3",
                 event.mTime,
                 fmt::format("{} started at {} {} ms after the take-out of {} "
                             "was acknowledged",
                             RequestName(event.mRequest),
                             event.mServer.Value(),
                             base::ToMilliseconds(event.mTime - since->second),
                             event.mDataCentre.Value()));
        }
      }
    }
  }

  // --- P4: whole answers to the right caller, final states ---
  void CheckAnswers()
  {
    std::map<std::pair<RequestId, std::string>, Time> producedAnswers;
    std::map<std::pair<RequestId, std::string>, RequestState> reportedStates;
    for (const Event& event : mHistory.mEvents) {
      if (event.mKind == EventKind::eTaskEnded &&
          event.mTaskState == TaskState::eFinished) {
        producedAnswers.emplace(std::pair(event.mRequest, event.mAnswer),
                                event.mTime);
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
        } else if (!producedAnswers.contains(
                     { submitted->mRequest, event.mAnswer })) {
          fault = "got an answer that no backend server had made";
        } else if (event.mAnswerSha256 != base::Sha256Hex(event.mAnswer)) {
          fault = "got an answer with a wrong digest";
        }
        if (fault != nullptr) {
          Report("P4",
                 event.mTime,
                 fmt::format("{} {}", RequestName(submitted->mRequest), fault));
        }
      }
      const config::JobKind* kind = mHistory.Kind(submitted->mJobKind);
      if (kind != nullptr && kind->mDurable) {
        auto [first, isNew] = reportedStates.emplace(
          std::pair(submitted->mRequest, submitted->mPayload), event.mState);
        if (!isNew && first->second != event.mState) {
          Report("P4",
                 event.mTime,
                 fmt::format("{} was {} and is now {}",
                             RequestName(submitted->mRequest),
                             RequestStateName(first->second),
                             RequestStateName(event.mState)));
        }
      }
    }
  }

  // --- P5: requests reported as run or not run ---
  void CheckReportedExecution()
  {
    for (const Event& event : mHistory.mEvents) {
      if (event.mKind != EventKind::eAnswered ||
          event.mState == RequestState::ePending) {
        continue;
      }
      // Without a stored record, each repeat is a separate request, and another
      // one of them may have started.
      const config::JobKind* kind = mHistory.Kind(event.mJobKind);
      if (kind != nullptr && !kind->mDurable &&
          mSubmissions[event.mRequest] > 1) {
        continue;
      }
      auto starts = mStarts.find(event.mRequest);
      bool reportedNotRun =
        event.mState == RequestState::eRefused || event.mRan == Ran::eNo;
      if (reportedNotRun && starts != mStarts.end()) {
        const Event* start = starts->second.front();
        Report("P5",
               event.mTime,
               fmt::format("{} was answered {} (ran: {}), but started at {}",
                           RequestName(event.mRequest),
                           RequestStateName(event.mState),
                           RanName(event.mRan),
                           start->mServer.Value()));
      }
      if (event.mRan == Ran::eYes &&
          (starts == mStarts.end() ||
           starts->second.front()->mTime > event.mTime)) {
        Report("P5",
               event.mTime,
               RequestName(event.mRequest) +
                 " was said to have run, but had not");
      }
    }
  }

  // --- P6: at most one execution without idempotency ---
  void CheckAtMostOnce()
  {
    for (const auto& [request, starts] : mStarts) {
      const config::JobKind* kind = mHistory.Kind(starts[0]->mJobKind);
      if (kind == nullptr || kind->mIdempotent) {
        continue;
      }
      std::set<std::string> attempts;
      for (const Event* start : starts) {
        attempts.insert(start->mGang.empty() ? start->mAttempt.Value()
                                             : start->mGang);
      }
      if (attempts.size() > 1) {
        Report("P6",
               starts[1]->mTime,
               fmt::format("{} started {} times: at {} and at {}",
                           RequestName(request),
                           attempts.size(),
                           starts.front()->mServer.Value(),
                           starts.back()->mServer.Value()));
      }
    }
  }

  // --- P7: no new tasks on draining servers ---
  void CheckDrainingServers()
  {
    std::map<base::ServerId, Time> draining;
    for (const Event& event : mHistory.mEvents) {
      if (event.mKind == EventKind::eServerDraining) {
        draining.emplace(event.mServer, event.mTime);
      } else if (event.mKind == EventKind::eTaskStarted) {
        auto since = draining.find(event.mServer);
        if (since != draining.end() &&
            event.mTime - since->second > mLimits.mMaxStartAfterDrain) {
          Report(
            "P7",
            event.mTime,
            fmt::format("{} started at {} {} ms after it began to leave",
                        RequestName(event.mRequest),
                        event.mServer.Value(),
                        base::ToMilliseconds(event.mTime - since->second)));
        }
      }
    }
  }

  // --- P8: planned stops ---
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
        HasFaultFreePeriod(aBegan.mTime, mEnd, mLimits.mMaxCompletionTime)) {
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
                           RequestName(call.mSubmitted->mRequest)));
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
                           RequestName(call.mSubmitted->mRequest),
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
                           RequestName(task.mStarted->mRequest),
                           aBegan.mInstance));
      }
    }
  }

  // --- P9: configurations take effect and are not reverted ---
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
        CheckConfigurationDelay(instance, seen, version);
      }
    }
  }

  void CheckConfigurationDelay(const std::string& aInstance,
                               const std::vector<const Event*>& aSeen,
                               std::uint64_t aVersion)
  {
    // Time since which the instance could have used the version but did not.
    std::optional<Time> since;
    Time until = mEnd;
    for (const Event* sample : aSeen) {
      bool behind = sample->mKind == EventKind::eConfigSample &&
                    sample->mVersion < aVersion &&
                    sample->mReachable >= aVersion;
      if (behind && !since) {
        since = sample->mTime;
      } else if (!behind && since) {
        if (sample->mTime - *since > mLimits.mMaxConfigurationDelay) {
          until = sample->mTime;
          break;
        }
        since.reset();
      }
    }
    if (since && until - *since > mLimits.mMaxConfigurationDelay) {
      Report("P9",
             until,
             fmt::format("{} did not use version {} for {} ms",
                         aInstance,
                         aVersion,
                         base::ToMilliseconds(until - *since)));
    }
  }

  // --- "lost": accepted durable requests complete ---
  void CheckLostRequests()
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
      if (HasFaultFreePeriod(since, until, mLimits.mMaxCompletionTime)) {
        Report("lost",
               until,
               fmt::format("accepted request {} ({}) has not ended in time",
                           RequestName(request),
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
