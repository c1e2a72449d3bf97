#include "testing/standins/member_directory.h"

#include <algorithm>

namespace flamingoloom::standins {

void MemberDirectory::Announce(base::Time aNow, const platform::Member& aMember)
{
  std::vector<Span>& spans = mSpans[aMember.mId];
  std::erase_if(spans, [&](const Span& aSpan) {
    return aSpan.mLast + kExpiry + kMaxLag < aNow;
  });
  if (!spans.empty() && spans.back().mMember == aMember &&
      aNow < spans.back().mLast + kExpiry) {
    spans.back().mLast = aNow;
  } else {
    spans.push_back({ aMember, aNow, aNow });
  }
}

platform::MemberList MemberDirectory::List(base::Time aNow,
                                           base::Duration aLag) const
{
  platform::MemberList list;
  list.mAge = std::min(aLag, kMaxLag);
  const base::Time shownTime = aNow - list.mAge;
  for (const auto& [id, spans] : mSpans) {
    auto latest =
      std::find_if(spans.rbegin(), spans.rend(), [&](const Span& aSpan) {
        return aSpan.mFirst <= shownTime;
      });
    if (latest != spans.rend() && shownTime < latest->mLast + kExpiry) {
      list.mMembers.push_back(latest->mMember);
    }
  }
  return list;
}

} // namespace flamingoloom::standins
