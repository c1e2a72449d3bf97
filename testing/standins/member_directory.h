// The platform's member list without HTTP. It shows the announcements as they
// were some time ago. Not thread-safe; times must not decrease.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "flamingoloom/platform/ports.h"

namespace flamingoloom::standins {

class MemberDirectory
{
public:
  // A member disappears this long after its last announcement.
  static constexpr base::Duration kExpiry = std::chrono::seconds(5);
  // Announcements are kept for lags of up to this length.
  static constexpr base::Duration kMaxLag = std::chrono::seconds(60);

  void Announce(base::Time aNow, const platform::Member& aMember);
  platform::MemberList List(base::Time aNow, base::Duration aLag) const;

private:
  // Equal announcements in a row, none of them later than kExpiry after the
  // one before.
  struct Span
  {
    platform::Member mMember;
    base::Time mFirst;
    base::Time mLast;
  };

  std::map<std::string, std::vector<Span>> mSpans;
};

} // namespace flamingoloom::standins
