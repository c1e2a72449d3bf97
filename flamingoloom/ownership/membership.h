// Which instances and backend servers there are, from the platform's lagging
// list and from what peers have announced since.
//
// Not thread-safe.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/ownership/lease.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::ownership {

class Membership
{
public:
  // Takes a newly arrived list. A member that has announced that it is
  // leaving stays leaving, whatever the list says, until it is listed no more.
  void Update(const platform::MemberList& aList);

  // Notes that a member is leaving, ahead of the list. Returns whether that
  // is news.
  bool MarkDraining(const std::string& aMember);

  bool HasList() const { return mHasList; }

  // Null when the member is not listed. Valid until the next Update.
  const platform::Member* Find(const std::string& aMember) const;

  // Servers of a data centre that may get new work, in order of their ids.
  std::vector<platform::Member> UsableServers(
    const base::DataCentreId& aDataCentre) const;
  // All listed servers of a data centre, leaving ones too.
  std::vector<platform::Member> ListedServers(
    const base::DataCentreId& aDataCentre) const;
  std::vector<platform::Member> Servers() const;

  // Listed instances, in order of their ids.
  std::vector<platform::Member> Instances() const;

  // How soon aSelf may take over a data centre: instances of the same data
  // centre go first, then those of the same region, then by a hash that
  // spreads data centres over instances.
  TakeoverRank TakeoverRankOf(const base::InstanceId& aSelf,
                              const base::DataCentreId& aDataCentre,
                              const base::RegionId& aRegion) const;

private:
  // In order of their ids.
  template <class Predicate>
  std::vector<platform::Member> Select(Predicate aPredicate) const;

  bool mHasList = false;
  std::map<std::string, platform::Member> mMembers;
  std::map<std::string, bool> mLeaving;
};

} // namespace flamingoloom::ownership
