// Judges from the servers' side whether jobs stand still beside room.
//
// A job stands still while nothing of it runs, the turn of a step has come, the
// sound servers have room for that step twice over (for all members of a gang),
// and less than half of their capacity is in use. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "testing/scheduler_load/server_model.h"

namespace flamingoloom::testing::scheduler_load {

struct Standstill
{
  std::string mJob;
  int mStep = 0;
  base::Duration mFrom{ 0 };
  base::Duration mTo{ 0 };
  int mStarts = 0;

  friend bool operator==(const Standstill&, const Standstill&) = default;
};

class StandstillJudge
{
public:
  // Shorter spans are no standstill.
  static constexpr base::Duration kMinSpan = std::chrono::seconds(3);

  // A step of aJob may run from now on, or is over.
  void OnReady(const std::string& aJob, int aStep);
  void OnOver(const std::string& aJob, int aStep);
  void OnJobOver(const std::string& aJob);

  // Looks at the servers; to be called at short intervals. aCalm is false while
  // a disruption excuses waiting.
  void Observe(base::Time aNow,
               bool aCalm,
               const ServerModel& aServers,
               const std::map<std::string, PlannedJob>& aJobs);
  // All spans so far, those that last included.
  std::vector<Standstill> Spans() const;

private:
  void Close(const std::string& aJob);

  std::map<std::string, std::vector<int>> mReady;
  std::map<std::string, Standstill> mOpen;
  std::vector<Standstill> mClosed;
};

} // namespace flamingoloom::testing::scheduler_load
