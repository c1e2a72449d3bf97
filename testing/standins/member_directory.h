// The platform's member list without HTTP. It lists the members as they were
// announced at an earlier time, like a replica that lags behind. Not
// thread-safe. The times passed in must not decrease.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "flamingoloom/platform/ports.h"

namespace flamingoloom::standins {

class MemberDirectory
{
public:
  // Time after its last announcement at which a member leaves the list.
  static constexpr base::Duration kExpiry = std::chrono::seconds(5);
  // Maximum lag of List; older announcements are discarded.
  static constexpr base::Duration kMaxLag = std::chrono::seconds(60);

  // Records that aMember was announced at aNow.
  void Announce(base::Time aNow, const platform::Member& aMember);
  // Returns the members as of aLag before aNow. The lag is limited to kMaxLag.
  platform::MemberList List(base::Time aNow, base::Duration aLag) const;

private:
  // A sequence of equal announcements of one member, with less than kExpiry
  // between consecutive ones.
  struct Span
  {
    platform::Member mMember;
    base::Time mFirst;
    base::Time mLast;
  };

  std::map<std::string, std::vector<Span>> mSpans;
};

} // namespace flamingoloom::standins
