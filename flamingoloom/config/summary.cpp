#include "flamingoloom/config/summary.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "flamingoloom/config/duration_text.h"

namespace flamingoloom::config {
namespace {

constexpr double kPercent = 100;

std::string Plural(int aCount, const std::string& aThing)
{
  return fmt::format("{} {}{}", aCount, aThing, aCount == 1 ? "" : "s");
}

std::string CentreLine(const DataCentre& aCentre)
{
  const int servers = aCentre.mRacks * aCentre.mServersPerRack;
  return fmt::format("data centre {} in region {}: {}, {} with {} each",
                     aCentre.mId.Value(),
                     aCentre.mRegion.Value(),
                     Plural(aCentre.mRacks, "rack"),
                     Plural(servers, "backend server"),
                     Plural(aCentre.mAcceleratorsPerServer, "accelerator"));
}

std::string GuaranteeText(const Configuration& aConfiguration,
                          const ClientAccount& aAccount)
{
  std::vector<std::string> blocks;
  for (const auto& guarantee : aConfiguration.mGuarantees) {
    if (guarantee.mAccount == aAccount.mId) {
      blocks.push_back(
        fmt::format("{} of {}",
                    Plural(guarantee.mCount, "block"),
                    Plural(guarantee.mShape, "adjacent accelerator")));
    }
  }
  if (blocks.empty()) {
    return "has no guarantee";
  }
  // Guarantees of a single data centre cannot outlast it.
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
                    Plural(*aAccount.mQuota, "accelerator"))
      : std::string("may hold any number of accelerators beyond that");
  return fmt::format(
    "client account {}: {}; {}; share {} of contended capacity{}",
    aAccount.mId.Value(),
    GuaranteeText(aConfiguration, aAccount),
    limit,
    aAccount.mWeight,
    aAccount.mKeySha256.empty() ? "; its callers are not checked" : "");
}

std::string RepetitionText(const JobKind& aKind)
{
  return aKind.mIdempotent
           ? "may run more than once"
           : "runs at most once: when it cannot be found out whether it ran, "
             "the caller is told \"unknown\" and it is not repeated";
}

std::string LossText(const JobKind& aKind)
{
  return aKind.mDurable
           ? "an accepted request survives the loss of any instance"
           : "a request may be lost, and the caller then asks again";
}

std::string TimeText(const JobKind& aKind)
{
  auto late =
    aKind.mDeadline == base::Duration::zero()
      ? std::string("a late answer is still delivered")
      : fmt::format("refused without running when it cannot end within {}",
                    DurationText(aKind.mDeadline));
  return fmt::format("the goal is {:g}% of answers within {}; {}",
                     aKind.mObjective * kPercent,
                     DurationText(aKind.mTarget),
                     late);
}

std::string PriorityText(const JobKind& aKind)
{
  switch (aKind.mPriority) {
    case Priority::eOvernight:
      return "may wait overnight behind all other work";
    case Priority::eUrgent:
      return "starts before the other work of its account";
    case Priority::eNormal:
      break;
  }
  return "waits its turn within its account";
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
                     Plural(aKind.mAcceleratorsPerTask, "accelerator"),
                     aKind.mTasks == 1 ? "" : " each",
                     aKind.mAdjacent ? ", all next to each other" : "");
}

std::string PreemptionText(const JobKind& aKind)
{
  if (!aKind.mPreemptible) {
    return "never gives way to a guarantee";
  }
  return aKind.mCheckpointable
           ? "is checkpointed and continued later when a guarantee is called in"
           : "is stopped and started again later when a guarantee is called in";
}

std::string MoveText(const JobKind& aKind)
{
  return aKind.mCheckpointable
           ? "moves by checkpoint when its data centre is taken out of service"
           : "runs to its end when its data centre is taken out of service";
}

std::string KindLine(const JobKind& aKind)
{
  return fmt::format("{}: {}",
                     aKind.mId.Value(),
                     fmt::join({ RepetitionText(aKind),
                                 LossText(aKind),
                                 TimeText(aKind),
                                 PriorityText(aKind),
                                 SizeText(aKind),
                                 PreemptionText(aKind),
                                 MoveText(aKind) },
                               "; "));
}

} // namespace

std::vector<std::string> Summarise(const Configuration& aConfiguration)
{
  std::vector<std::string> lines;
  for (const auto& centre : aConfiguration.mDataCentres) {
    lines.push_back(CentreLine(centre));
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
