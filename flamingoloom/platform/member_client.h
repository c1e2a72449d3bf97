// HTTP client of the platform's member list. Thread-safe.
#pragma once

#include <string>

#include "flamingoloom/platform/http_caller.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::platform {

class MemberClient
{
public:
  // aCaller must outlive the client; aTimeout applies to each call.
  MemberClient(HttpCaller& aCaller,
               std::string aAddress,
               base::Duration aTimeout);

  void ListMembers(Done<MemberList> aDone);
  // Keeps aMember in the list. The caller must repeat the call each second.
  void AnnounceMember(const Member& aMember, Done<Nothing> aDone);

private:
  HttpCaller& mCaller;
  const std::string mAddress;
  const base::Duration mTimeout;
};

} // namespace flamingoloom::platform
