#include "flamingoloom/config/summary.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "flamingoloom/config/duration_text.h"

namespace flamingoloom::config {
namespace {

constexpr double kPercent = 100;

std::string Quantity(int aCount, const std::string& aNoun)
{
  return fmt::format("{} {}{}", aCount, aNoun, aCount == 1 ? "" : "s");
}

std::string DataCentreLine(const DataCentre& aDataCentre)
{
  const int servers = aDataCentre.mRacks * aDataCentre.mServersPerRack;
  return fmt::format(
    "data centre {} in region {}: {}, {} with {} each",
    aDataCentre.mId.Value(),
    aDataCentre.mRegion.Value(),
    Quantity(aDataCentre.mRacks, "rack"),
    Quantity(servers, "backend server"),
    Quantity(aDataCentre.mAcceleratorsPerServer, "accelerator"));
}

std::string GuaranteeText(const Configuration& aConfiguration,
                          const ClientAccount& aAccount)
{
  std::vector<std::string> blocks;
  for (const auto& guarantee : aConfiguration.mGuarantees) {
    if (guarantee.mAccount == aAccount.mId) {
      blocks.push_back(
        fmt::format("{} of {}",
                    Quantity(guarantee.mCount, "block"),
                    Quantity(guarantee.mShape, "adjacent accelerator")));
    }
  }
  if (blocks.empty()) {
    return "has no guarantee";
  }
  // A single data centre cannot provide guarantees while it is out of service.
  return fmt::format("can always get {}{}",
                     fmt::join(blocks, " and "),
                     aConfiguration.mDataCentres.size() > 1
                       ? ", also while any one data centre is out of service"
                       : " while the data centre is in service");
}

std::string AccountLine(const Configuration& aConfiguration,
                        const ClientAccount& aAccount)
{
  auto limit =
    aAccount.mQuota
      ? fmt::format("may hold {} beyond that",
                    Quantity(*aAccount.mQuota, "accelerator"))
      : std::string("may hold any number of accelerators beyond that");
  return fmt::format(
    "client account {}: {}; {}; share {} of contended capacity{}",
    aAccount.mId.Value(),
    GuaranteeText(aConfiguration, aAccount),
    limit,
    aAccount.mWeight,
    aAccount.mKeySha256.empty() ? "; its callers are not authenticated" : "");
}

std::string RetryText(const JobKind& aKind)
{
  return aKind.mIdempotent
           ? "may run more than once"
           : "runs at most once: if its outcome cannot be determined, the "
             "caller receives \"unknown\" and the job is not retried";
}

std::string DurabilityText(const JobKind& aKind)
{
  return aKind.mDurable
           ? "an accepted request survives the loss of any instance"
           : "a request may be lost, and the caller must then repeat it";
}

std::string TimeText(const JobKind& aKind)
{
  auto late =
    aKind.mDeadline == base::Duration::zero()
      ? std::string("a late answer is still delivered")
      : fmt::format("rejected without running if it cannot complete within {}",
                    DurationText(aKind.mDeadline));
  return fmt::format("the objective is {:g}% of answers within {}; {}",
                     aKind.mObjective * kPercent,
                     DurationText(aKind.mTarget),
                     late);
}

std::string PriorityText(const JobKind& aKind)
{
  switch (aKind.mPriority) {
    case Priority::eOvernight:
      return "may wait overnight and starts after all other jobs";
    case Priority::eUrgent:
      return "starts before the other jobs of its account";
    case Priority::eNormal:
      break;
  }
  return "has normal priority within its account";
}

std::string SizeText(const JobKind& aKind)
{
  auto tasks =
    aKind.mTasks == 1
      ? std::string("one task")
      : fmt::format("{} tasks that run together or not at all", aKind.mTasks);
  if (aKind.mAcceleratorsPerTask == 0) {
    return tasks + " without accelerators";
  }
  return fmt::format("{} with {}{}{}",
                     tasks,
                     Quantity(aKind.mAcceleratorsPerTask, "accelerator"),
                     aKind.mTasks == 1 ? "" : " each",
                     aKind.mAdjacent ? ", all adjacent" : "");
}

std::string PreemptionText(const JobKind& aKind)
{
  if (!aKind.mPreemptible) {
    return "is never preempted for a guarantee";
  }
  return aKind.mCheckpointable
           ? "is checkpointed when preempted for a guarantee, and resumed later"
           : "is stopped when preempted for a guarantee, and restarted later";
}

std::string RelocationText(const JobKind& aKind)
{
  return aKind.mCheckpointable
           ? "is checkpointed and relocated when its data centre is taken out "
             "of service"
           : "runs to completion when its data centre is taken out of service";
}

std::string KindLine(const JobKind& aKind)
{
  return fmt::format("{}: {}",
                     aKind.mId.Value(),
                     fmt::join({ RetryText(aKind),
                                 DurabilityText(aKind),
                                 TimeText(aKind),
                                 PriorityText(aKind),
                                 SizeText(aKind),
                                 PreemptionText(aKind),
                                 RelocationText(aKind) },
                               "; "));
}

} // namespace

std::vector<std::string> Summarise(const Configuration& aConfiguration)
{
  std::vector<std::string> lines;
  for (const auto& dataCentre : aConfiguration.mDataCentres) {
    lines.push_back(DataCentreLine(dataCentre));
  }
  for (const auto& account : aConfiguration.mAccounts) {
    lines.push_back(AccountLine(aConfiguration, account));
  }
  for (const auto& kind : aConfiguration.mKinds) {
    lines.push_back(KindLine(kind));
  }
  return lines;
}

} // namespace flamingoloom::config
