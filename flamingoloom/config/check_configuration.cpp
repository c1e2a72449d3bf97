#include "flamingoloom/config/check_configuration.h"

#include <set>

#include <fmt/format.h>

namespace flamingoloom::config {
namespace {

class ConfigurationChecker
{
public:
  ConfigurationChecker(const Configuration& aConfiguration,
                       const DocumentSource& aSource)
    : mConfiguration(aConfiguration)
    , mSource(aSource)
  {
  }

  Problems Run()
  {
    CheckUniqueIds("/dataCentres", mConfiguration.mDataCentres);
    CheckUniqueIds("/accounts", mConfiguration.mAccounts);
    CheckUniqueIds("/kinds", mConfiguration.mKinds);
    CheckKinds();
    CheckGuarantees();
    CheckAssignments();
    return std::move(mProblems);
  }

private:
  void AddProblem(std::string aField, std::string aMessage)
  {
    mProblems.push_back(base::Error{ base::ErrorCode::eInvalid,
                                     mSource.mStep,
                                     mSource.mName,
                                     std::move(aMessage),
                                     std::move(aField) });
  }

  template <class Entry>
  void CheckUniqueIds(const char* aList, const std::vector<Entry>& aEntries)
  {
    std::set<std::string> seen;
    for (std::size_t i = 0; i < aEntries.size(); ++i) {
      const auto& id = aEntries[i].mId.Value();
      if (!seen.insert(id).second) {
        AddProblem(fmt::format("{}/{}/id", aList, i),
                   fmt::format("\"{}\" is already used in this list", id));
      }
    }
  }

  void CheckKinds()
  {
    for (std::size_t i = 0; i < mConfiguration.mKinds.size(); ++i) {
      const auto& kind = mConfiguration.mKinds[i];
      if (kind.mPreemptible && !kind.mIdempotent) {
        AddProblem(
          fmt::format("/kinds/{}/preemptible", i),
          "must be false for a kind that is not idempotent: a preempted "
          "job would have to run again");
      }
      if (kind.mAdjacent && kind.mAcceleratorsPerTask == 0) {
        AddProblem(fmt::format("/kinds/{}/adjacent", i),
                   "must be false for a kind without accelerators");
      }
    }
  }

  void CheckAccount(const std::string& aEntry, const base::AccountId& aAccount)
  {
    if (mConfiguration.Account(aAccount) == nullptr) {
      AddProblem(aEntry + "/account",
                 fmt::format("client account \"{}\" is not in /accounts",
                             aAccount.Value()));
    }
  }

  void CheckGuarantees()
  {
    for (std::size_t i = 0; i < mConfiguration.mGuarantees.size(); ++i) {
      CheckAccount(fmt::format("/guarantees/{}", i),
                   mConfiguration.mGuarantees[i].mAccount);
    }
  }

  void CheckAssignments()
  {
    for (std::size_t i = 0; i < mConfiguration.mAssignments.size(); ++i) {
      const auto& assignment = mConfiguration.mAssignments[i];
      auto entry = fmt::format("/assignments/{}", i);
      CheckAccount(entry, assignment.mGuarantee.mAccount);
      if (mConfiguration.FindDataCentre(assignment.mDataCentre) == nullptr) {
        AddProblem(entry + "/dataCentre",
                   fmt::format("data centre \"{}\" is not in /dataCentres",
                               assignment.mDataCentre.Value()));
      }
    }
  }

  const Configuration& mConfiguration;
  const DocumentSource& mSource;
  Problems mProblems;
};

} // namespace

Problems CheckConfiguration(const Configuration& aConfiguration,
                            const DocumentSource& aSource)
{
  return ConfigurationChecker(aConfiguration, aSource).Run();
}

} // namespace flamingoloom::config
