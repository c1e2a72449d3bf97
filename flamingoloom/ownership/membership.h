// The known instances and backend servers, from the platform's member list,
// which lags behind, and from what peers have announced since.
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
  // Applies a newly received list. A member that was announced as draining
  // stays draining, whatever its listed state, until it is no longer listed.
  void Update(const platform::MemberList& aList);

  // Records that a member is draining before the list shows it. Returns false
  // when that was already known.
  bool MarkDraining(const std::string& aMember);

  bool HasList() const { return mHasList; }

  // Returns the member, or null when it is not listed. The pointer is valid
  // until the next Update.
  const platform::Member* Find(const std::string& aMember) const;

  // Returns the servers of a data centre that may get new work, ordered by id.
  std::vector<platform::Member> UsableServers(
    const base::DataCentreId& aDataCentre) const;
  // Returns all listed servers of a data centre, including draining ones,
  // ordered by id.
  std::vector<platform::Member> ListedServers(
    const base::DataCentreId& aDataCentre) const;
  // Returns the listed servers of all data centres, ordered by id.
  std::vector<platform::Member> Servers() const;

  // Returns the listed instances, ordered by id.
  std::vector<platform::Member> Instances() const;

  // Returns the rank of aSelf for a takeover of a data centre: instances in the
  // data centre go first, then those in its region aRegion, then the others.
  // Among equals a hash decides, which spreads data centres over instances. An
  // instance that is draining or not listed is not eligible.
  TakeoverRank TakeoverRankOf(const base::InstanceId& aSelf,
                              const base::DataCentreId& aDataCentre,
                              const base::RegionId& aRegion) const;

private:
  // Returns the members that aPredicate accepts, ordered by id.
  template <class Predicate>
  std::vector<platform::Member> Select(Predicate aPredicate) const;

  bool mHasList = false;
  std::map<std::string, platform::Member> mMembers;
  std::map<std::string, bool> mDraining;
};

} // namespace flamingoloom::ownership
