// Decides on one instance which jobs are accepted, so that all that are stored
// fit into the memory of the instance that leads, and of the next one.
//
//   JobAdmission admission({ limit });
//   admission.OnPublished(use);               // what the leader has counted
//   admission.OnCounted(now);                 // the leader is at work
//   const auto admitted = admission.TryAdmit(now, shop, bytes);
//   if (admitted && !stored) { admission.Withdraw(*admitted); }
//
// The leader publishes what it has counted each 500 ms. What this instance has
// accepted since is added here, and limited by itself, since other instances do
// not know of it. Load that it answers: accounts that submit without end, on
// some or all instances, beside others that submit a little. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "flamingoloom/admission/memory_use.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::admission {

struct JobAdmissionSettings
{
  // Memory of all jobs, in bytes.
  std::int64_t mLimit = std::int64_t{ 40 } * 1024 * 1024;
  // The part of it that this instance may have accepted of one class without
  // the leader having counted it, as a divisor.
  std::int64_t mUncountedDivisor = 32;
  // A job that was stored this long ago is counted by a leader that is at work:
  // its watch has seen the job, and a renewal since has published it.
  base::Duration mCountedAfter = std::chrono::seconds(3);
};

enum class Refusal
{
  // The class holds as much as is left for others, or would with this job.
  eNoRoom,
  // The job would not be accepted if there were no others.
  eTooLarge,
};

class JobAdmission
{
public:
  // Names a job that was admitted.
  using Ticket = std::uint64_t;

  explicit JobAdmission(JobAdmissionSettings aSettings);

  // The number of accounts of the configuration; jobs without an account count
  // as another one.
  void SetAccounts(std::size_t aAccounts);
  void OnPublished(MemoryUse aUse) { mPublished = std::move(aUse); }
  // A leader has published its state at aNow, changed or not.
  void OnCounted(base::Time aNow);

  // Counts the job if it is admitted.
  tl::expected<Ticket, Refusal> TryAdmit(base::Time aNow,
                                         const MemoryClass& aClass,
                                         std::int64_t aBytes);
  // The job was certainly not stored.
  void Withdraw(Ticket aTicket);

private:
  struct Admitted
  {
    MemoryClass mClass;
    std::int64_t mBytes = 0;
    base::Time mAt;
  };

  const JobAdmissionSettings mSettings;
  MemoryLimits mLimits;
  MemoryUse mPublished;
  // Admitted here and perhaps not counted by the leader, by ticket, which is in
  // the order of time.
  std::map<Ticket, Admitted> mUncounted;
  MemoryUse mUncountedUse;
  Ticket mLastTicket = 0;
};

} // namespace flamingoloom::admission
