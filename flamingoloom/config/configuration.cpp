#include "flamingoloom/config/configuration.h"

#include <algorithm>

namespace flamingoloom::config {
namespace {

template <class Entry, class Id>
const Entry* FindById(const std::vector<Entry>& aEntries, const Id& aId)
{
  auto found =
    std::find_if(aEntries.begin(), aEntries.end(), [&](const Entry& aEntry) {
      return aEntry.mId == aId;
    });
  return found == aEntries.end() ? nullptr : &*found;
}

} // namespace

const JobKind* Configuration::Kind(const base::KindId& aId) const
{
  return FindById(mKinds, aId);
}

const ClientAccount* Configuration::Account(const base::AccountId& aId) const
{
  return FindById(mAccounts, aId);
}

const DataCentre* Configuration::FindDataCentre(
  const base::DataCentreId& aId) const
{
  return FindById(mDataCentres, aId);
}

} // namespace flamingoloom::config
