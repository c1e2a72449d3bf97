// Plays the scheduler against servers and callers under virtual time: jobs of a
// mix, servers that fail, drain and leave, and changes of leader.
//
//   SchedulerLoad load({ .mSeed = 7 });
//   load.Run();
//   load.Standstills();   // jobs that stood still beside room
//
// Rows are stored and commands carried out at once. Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "flamingoloom/scheduler/scheduler.h"
#include "testing/scheduler_load/standstill_judge.h"

namespace flamingoloom::testing::scheduler_load {

struct LoadOptions
{
  std::uint64_t mSeed = 1;
  int mServers = 350;
  std::vector<QueueMix> mQueues = LargeMix();
  // Factor on the rate of all queues.
  double mLoad = 0.4;
  base::Duration mTraffic = std::chrono::seconds(40);
  // Play goes on for this long after the traffic.
  base::Duration mFinish = std::chrono::seconds(20);
  // Interval between changes of leader; 0 for none.
  base::Duration mHandOverInterval{ 0 };
  // The leader is killed and leaves nothing, rather than stepping down.
  bool mLeadersKilled = false;
  // From the end of a leader until its successor has restored the rows.
  base::Duration mRecoveryTime = std::chrono::milliseconds(700);
  // Interval after which one more server drains, leaves, and is replaced; 0 for
  // none.
  base::Duration mDrainInterval{ 0 };
  base::Duration mDrainTime = std::chrono::milliseconds(7000);
  // Interval between the moments at which a share of the servers fail all that
  // they start, for mFailingTime; 0 for none.
  base::Duration mFailingInterval{ 0 };
  base::Duration mFailingTime = std::chrono::milliseconds(6500);
  double mFailingShare = 0.085;
  // Interval after which a share of the servers crash, and come back after
  // mCrashTime as new incarnations; 0 for none.
  base::Duration mCrashInterval{ 0 };
  base::Duration mCrashTime = std::chrono::milliseconds(20000);
  double mCrashShare = 0.02;
  // Share of starts that get no answer. Half of these are carried out at once,
  // the others 2 to 12 s later.
  double mLostAnswerShare = 0;
  // The terms of the accounts by the time since the start of the play; by
  // default each has a guarantee and no maximum.
  std::function<scheduler::AccountTermsMap(base::Duration)> mTerms;
  scheduler::SchedulerSettings mSettings;
  scheduler::Scheduler::DecisionSink mSink;
};

class SchedulerLoad
{
public:
  explicit SchedulerLoad(LoadOptions aOptions);

  void Run();

  // Spans in which a job stood still beside room, in calm time.
  std::vector<Standstill> Standstills() const { return mJudge.Spans(); }
  // Accepted jobs that are not final.
  int Unfinished() const;
  int Accepted() const { return static_cast<int>(mJobs.size()); }
  const PlannedJob& Job(const std::string& aId) const { return mJobs.at(aId); }
  // Starts that brought an account above the highest maximum of the last
  // kTermsApplyTime, and by more than one task.
  int StartsAboveMaximum() const { return mStartsAboveMaximum; }
  int Starts() const { return mStarts; }
  // The time since the start of the play.
  base::Duration Elapsed() const { return mNow - mStart; }

private:
  static constexpr base::Duration kTick = std::chrono::milliseconds(50);
  // The terms change at most this often, and earlier ones are excused for the
  // same time.
  static constexpr base::Duration kTermsApplyTime = std::chrono::seconds(1);

  void AddServer(int aRack);
  void SubmitJobs();
  void CancelJobs();
  void ChangeServers();
  void LetServersFail();
  void LetServersLeave();
  void CrashServers();
  void ChangeLeader();
  void Restore();
  void SetTerms();
  void Start(const scheduler::StartCommand& aCommand);
  void CarryOutLateStarts();
  // Starts the task, and counts the start if it is not allowed.
  scheduler::StartResult StartAndCheck(const scheduler::StartCommand& aCommand);
  void UpdateServerList();
  void PassReports();
  void Decide();
  void Observe();
  void RecordDone(const scheduler::TaskCompletion& aCompletion);

  const LoadOptions mOptions;
  Random mRandom;
  const base::Time mStart{ std::chrono::seconds(1000) };
  base::Time mNow = mStart;
  std::map<std::string, PlannedJob> mJobs;
  std::map<std::string, base::Time> mAcceptedAt;
  // When to cancel which job.
  std::multimap<base::Time, std::string> mCancelAt;
  std::set<std::string> mCancelSent;
  std::vector<base::Time> mNextJobAt;
  ServerModel mServers;
  int mServerNumber = 0;
  std::map<base::ServerId, base::Time> mLeavesAt;
  std::map<base::ServerId, base::Time> mReportedAt;
  std::map<std::string, std::string> mStateRows;
  std::map<std::string, std::string> mStepRows;
  // Null from the end of a leader until its successor has restored the rows.
  std::unique_ptr<scheduler::Scheduler> mScheduler;
  base::Time mRestoreAt;
  // What the last leader has left to its successor.
  std::optional<scheduler::EarlierLeases> mLeasesLeft;
  base::Time mNextHandOver;
  base::Time mNextDrain;
  base::Time mNextFailing;
  base::Time mNextCrash;
  // When crashed servers lose their entry, and when they come back.
  std::map<base::ServerId, base::Time> mUnlistedAt;
  std::map<base::ServerId, base::Time> mBackAt;
  base::Time mFailingUntil;
  // The last moment of a disruption that excuses waiting.
  base::Time mDisturbedAt;
  std::map<std::pair<std::string, int>, std::set<int>> mDone;
  std::set<std::string> mOver;
  StandstillJudge mJudge;
  std::multimap<base::Time, scheduler::StartCommand> mLateStarts;
  // Attempts that a server was told to stop; it does not start them any more.
  std::set<std::pair<base::ServerId, jobs::TaskAttempt>> mStopped;
  base::Time mTermsSetAt;
  // The terms that were in force lately, by when they were replaced.
  std::vector<std::pair<base::Time, scheduler::AccountTermsMap>> mEarlierTerms;
  scheduler::AccountTermsMap mTermsInForce;
  int mStartsAboveMaximum = 0;
  int mStarts = 0;
};

} // namespace flamingoloom::testing::scheduler_load
