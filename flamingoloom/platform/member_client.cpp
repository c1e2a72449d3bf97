#include "flamingoloom/platform/member_client.h"

namespace flamingoloom::platform {

MemberClient::MemberClient(HttpCaller& aCaller,
                           std::string aAddress,
                           base::Duration aTimeout)
  : mCaller(aCaller)
  , mAddress(std::move(aAddress))
  , mTimeout(aTimeout)
{
}

void MemberClient::ListMembers(Done<MemberList> aDone)
{
  mCaller.Call<MemberList>({ .mAddress = mAddress,
                             .mStep = "list members",
                             .mPeer = "member list",
                             .mMethod = "GET",
                             .mPath = "/members",
                             .mTimeout = mTimeout },
                           DecodeReply<MemberList>,
                           std::move(aDone));
}

void MemberClient::AnnounceMember(const Member& aMember, Done<Nothing> aDone)
{
  mCaller.Call<Nothing>(
    { .mAddress = mAddress,
      .mStep = "announce member",
      .mPeer = "member list",
      .mMethod = "POST",
      .mPath = "/members",
      .mTimeout = mTimeout },
    aMember,
    [](const HttpCall& aCall,
       const HttpReply& aReply) -> base::Expected<Nothing> {
      if (aReply.mStatus < 200 || aReply.mStatus > 299) {
        return tl::unexpected(ErrorFromReply(aCall, aReply));
      }
      return Nothing{};
    },
    std::move(aDone));
}

} // namespace flamingoloom::platform
