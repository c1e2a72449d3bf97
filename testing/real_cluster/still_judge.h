// Judges from the callers' and the servers' side which accepted jobs stand
// still beside free capacity.
//
//   StillJudge judge(kMaxAttempts);
//   judge.Submit("a", steps); judge.Accept("a", nowMs);
//   judge.Start("a.0.0.0", 1, nowMs); judge.End("a.0.0.0", 1, "done", nowMs);
//   judge.Look(nowMs, rooms, used, total);  // every 100 ms or so
//   judge.Finish(nowMs);
//   for (const auto& line : judge.Lines()) ...
//
// A job stands still while nothing of it runs, the turn of one of its steps has
// come, sound servers have room for that step twice over, and under half of
// all capacity is in use. A long-running task is judged by itself. Times are
// ms of the caller's clock and don't decrease. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "testing/real_cluster/job_steps.h"

namespace flamingoloom::testing::real_cluster {

// A job or a long-running task that stood for kMaxStillMs or more.
struct Still
{
  std::string mJob;
  std::size_t mStep = 0;
  int mIndex = 0;
  double mFromMs = 0;
  double mToMs = 0;
  int mRuns = 0;
  // The last kMaxStillMs and kCalmBeforeMs before them were calm at a moment
  // of the span.
  bool mCalm = false;
  // The span reaches over kEndMs after the end of the traffic.
  bool mAtEnd = false;
  // It ran afterwards.
  bool mMoved = false;

  bool operator==(const Still&) const = default;
};

class StillJudge
{
public:
  static constexpr double kMaxStillMs = 3000;
  static constexpr double kCalmBeforeMs = 4000;
  static constexpr double kLastingGraceMs = 6000;
  static constexpr double kEndMs = 14000;

  explicit StillJudge(int aMaxAttempts)
    : mMaxAttempts(aMaxAttempts)
  {
  }

  void Submit(const std::string& aJob, JobSteps aSteps);
  // Precondition for this and the following: the job was submitted.
  void Accept(const std::string& aJob, double aNowMs);
  // The job was cancelled, or its last state is shown.
  void Forget(const std::string& aJob);
  void Start(const std::string& aTask, int aRun, double aNowMs);
  void End(const std::string& aTask,
           int aRun,
           const std::string& aHow,
           double aNowMs);
  // An end "done" was lost with its server before anybody was told.
  void Undo(const std::string& aTask);
  // Unplanned trouble, from now to aUntilMs.
  void Disrupt(double aUntilMs);
  void EndTraffic(double aNowMs) { mTrafficEndMs = aNowMs; }
  // aRooms is what is free on each sound server.
  void Look(double aNowMs,
            const std::vector<Capacity>& aRooms,
            const Capacity& aUsed,
            const Capacity& aTotal);
  // Ends all spans. Nothing is told to the judge after this.
  void Finish(double aNowMs);

  // Whether a task of the job has been at a server since aSinceMs.
  bool HasRunSince(const std::string& aJob, double aSinceMs) const;
  const std::vector<Still>& Stills() const { return mStills; }
  // Spans that are calm, or at the end: these break the rule.
  int Broken() const;
  // One for each span, also those that are only noted.
  std::vector<std::string> Lines() const;

private:
  struct Task
  {
    // Runs that are at a server.
    std::set<int> mRunning;
    bool mDone = false;
    int mRuns = 0;
    int mFailures = 0;
    double mLastRunMs = 0;
    std::optional<Still> mSpan;
  };

  struct Step
  {
    JobStep mShape;
    std::vector<Task> mTasks;
    // Runs of a gang that failed.
    std::set<int> mFailedRuns;

    bool IsDone() const;
  };

  struct Job
  {
    std::vector<Step> mSteps;
    std::optional<double> mAcceptedMs;
    bool mOver = false;
    std::optional<Still> mSpan;
  };

  Task* Find(const TaskName& aName);
  bool HasTurn(const Job& aJob, const Step& aStep) const;
  void LookAt(const std::string& aId, Job& aJob, double aNowMs);
  // Extends or ends a span. aStands says what could run, if there is any.
  void Follow(std::optional<Still>& aSpan,
              const std::optional<Still>& aStands,
              double aNowMs);
  // The index of a task of aStep that could run, if there is room twice over.
  std::optional<int> CouldRun(const Step& aStep) const;
  void CloseSpans(Job& aJob, double aNowMs);
  bool HasRoom(const Capacity& aNeed, long aTasks) const;

  const int mMaxAttempts;
  std::map<std::string, Job> mJobs;
  std::vector<Still> mStills;
  std::vector<Capacity> mRooms;
  bool mUnderHalf = false;
  double mNowMs = 0;
  double mDisruptedUntilMs = -kCalmBeforeMs - kMaxStillMs;
  std::optional<double> mTrafficEndMs;
};

} // namespace flamingoloom::testing::real_cluster
