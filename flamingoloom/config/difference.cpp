#include "flamingoloom/config/difference.h"

#include <utility>

#include <fmt/format.h>

#include "flamingoloom/config/duration_text.h"

namespace flamingoloom::config {
namespace {

// The name of a property of an entry and its value as text.
using Property = std::pair<std::string, std::string>;
using Properties = std::vector<Property>;

// An entry of a configuration: its name and the properties to compare.
struct Entry
{
  std::string mName;
  Properties mProperties;
};

std::string YesNo(bool aValue)
{
  return aValue ? "yes" : "no";
}

std::string PriorityText(Priority aPriority)
{
  switch (aPriority) {
    case Priority::eOvernight:
      return "overnight";
    case Priority::eUrgent:
      return "urgent";
    case Priority::eNormal:
      break;
  }
  return "normal";
}

Entry Describe(const DataCentre& aDataCentre)
{
  return {
    "data centre " + aDataCentre.mId.Value(),
    { { "region", aDataCentre.mRegion.Value() },
      { "racks", fmt::to_string(aDataCentre.mRacks) },
      { "servers per rack", fmt::to_string(aDataCentre.mServersPerRack) },
      { "accelerators per server",
        fmt::to_string(aDataCentre.mAcceleratorsPerServer) } },
  };
}

Entry Describe(const ClientAccount& aAccount)
{
  return {
    "client account " + aAccount.mId.Value(),
    { { "share", fmt::to_string(aAccount.mWeight) },
      { "accelerators beyond its guarantees",
        aAccount.mQuota ? fmt::to_string(*aAccount.mQuota) : "no limit" },
      { "key", aAccount.mKeySha256 } },
  };
}

Entry Describe(const JobKind& aKind)
{
  return {
    "kind of job " + aKind.mId.Value(),
    { { "may run more than once", YesNo(aKind.mIdempotent) },
      { "survives the loss of an instance", YesNo(aKind.mDurable) },
      { "can be checkpointed", YesNo(aKind.mCheckpointable) },
      { "may be preempted for guarantees", YesNo(aKind.mPreemptible) },
      { "priority", PriorityText(aKind.mPriority) },
      { "answer expected within", DurationText(aKind.mTarget) },
      { "rejected when it would take longer than",
        aKind.mDeadline == base::Duration::zero()
          ? "never"
          : DurationText(aKind.mDeadline) },
      { "usual run time", DurationText(aKind.mDeclaredRunTime) },
      { "tasks", fmt::to_string(aKind.mTasks) },
      { "accelerators per task", fmt::to_string(aKind.mAcceleratorsPerTask) },
      { "adjacent accelerators", YesNo(aKind.mAdjacent) },
      { "share of answers in time", fmt::format("{}", aKind.mObjective) } },
  };
}

Entry Describe(const Guarantee& aGuarantee)
{
  return {
    fmt::format("guarantee of blocks of {} for client account {}",
                aGuarantee.mShape,
                aGuarantee.mAccount.Value()),
    { { "blocks", fmt::to_string(aGuarantee.mCount) } },
  };
}

Entry Describe(const DataCentreGuarantee& aAssignment)
{
  return {
    fmt::format("reservation of blocks of {} for client account {} in data "
                "centre {}",
                aAssignment.mGuarantee.mShape,
                aAssignment.mGuarantee.mAccount.Value(),
                aAssignment.mDataCentre.Value()),
    { { "blocks", fmt::to_string(aAssignment.mGuarantee.mCount) } },
  };
}

template <class T>
std::vector<Entry> DescribeAll(const std::vector<T>& aEntries)
{
  std::vector<Entry> described;
  described.reserve(aEntries.size());
  for (const auto& entry : aEntries) {
    described.push_back(Describe(entry));
  }
  return described;
}

const Entry* Find(const std::vector<Entry>& aEntries, const std::string& aName)
{
  for (const auto& entry : aEntries) {
    if (entry.mName == aName) {
      return &entry;
    }
  }
  return nullptr;
}

std::string ChangeSentence(const Entry& aEntry,
                           const Property& aOld,
                           const Property& aNew)
{
  if (aNew.first == "key") {
    return fmt::format("{}: the key was {}.",
                       aEntry.mName,
                       aNew.second.empty()   ? "removed"
                       : aOld.second.empty() ? "added"
                                             : "replaced");
  }
  return fmt::format("{}: {} is now {} (was {}).",
                     aEntry.mName,
                     aNew.first,
                     aNew.second,
                     aOld.second);
}

// Appends a sentence to aLines for each property that differs. Requires that
// both entries describe values of the same type.
void CompareEntries(const Entry& aOld,
                    const Entry& aNew,
                    std::vector<std::string>& aLines)
{
  for (std::size_t i = 0; i < aNew.mProperties.size(); ++i) {
    if (aOld.mProperties[i] != aNew.mProperties[i]) {
      aLines.push_back(
        ChangeSentence(aNew, aOld.mProperties[i], aNew.mProperties[i]));
    }
  }
}

template <class T>
void CompareLists(const std::vector<T>& aOld,
                  const std::vector<T>& aNew,
                  std::vector<std::string>& aLines)
{
  const auto before = DescribeAll(aOld);
  const auto after = DescribeAll(aNew);
  for (const auto& entry : before) {
    if (Find(after, entry.mName) == nullptr) {
      aLines.push_back(entry.mName + " was removed.");
    }
  }
  for (const auto& entry : after) {
    const Entry* old = Find(before, entry.mName);
    if (old == nullptr) {
      aLines.push_back(entry.mName + " is new.");
    } else {
      CompareEntries(*old, entry, aLines);
    }
  }
}

} // namespace

std::vector<std::string> Difference(const Configuration& aOld,
                                    const Configuration& aNew)
{
  std::vector<std::string> lines;
  if (aOld.mDeployment != aNew.mDeployment) {
    lines.push_back(fmt::format("The installation is now called \"{}\" (was "
                                "\"{}\").",
                                aNew.mDeployment,
                                aOld.mDeployment));
  }
  CompareLists(aOld.mDataCentres, aNew.mDataCentres, lines);
  CompareLists(aOld.mAccounts, aNew.mAccounts, lines);
  CompareLists(aOld.mGuarantees, aNew.mGuarantees, lines);
  CompareLists(aOld.mKinds, aNew.mKinds, lines);
  CompareLists(aOld.mAssignments, aNew.mAssignments, lines);
  return lines;
}

} // namespace flamingoloom::config
