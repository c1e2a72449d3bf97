#include "flamingoloom/ownership/membership.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace flamingoloom::ownership {

using platform::Member;
using platform::MemberKind;
using platform::MemberState;

void Membership::Update(const platform::MemberList& aList)
{
  mHasList = true;
  std::map<std::string, bool> stillDraining;
  mMembers.clear();
  for (Member member : aList.mMembers) {
    if (mDraining.contains(member.mId)) {
      member.mState = MemberState::eDraining;
    }
    if (member.mState == MemberState::eDraining) {
      stillDraining[member.mId] = true;
    }
    mMembers[member.mId] = std::move(member);
  }
  mDraining = std::move(stillDraining);
}

bool Membership::MarkDraining(const std::string& aMember)
{
  bool isNew = mDraining.emplace(aMember, true).second;
  if (auto found = mMembers.find(aMember); found != mMembers.end()) {
    found->second.mState = MemberState::eDraining;
  }
  return isNew;
}

const Member* Membership::Find(const std::string& aMember) const
{
  auto found = mMembers.find(aMember);
  return found == mMembers.end() ? nullptr : &found->second;
}

template <class Predicate>
std::vector<Member> Membership::Select(Predicate aPredicate) const
{
  std::vector<Member> selected;
  for (const auto& [id, member] : mMembers) {
    if (aPredicate(member)) {
      selected.push_back(member);
    }
  }
  return selected;
}

std::vector<Member> Membership::Servers() const
{
  return Select(
    [](const Member& aMember) { return aMember.mKind == MemberKind::eServer; });
}

std::vector<Member> Membership::ListedServers(
  const base::DataCentreId& aDataCentre) const
{
  return Select([&](const Member& aMember) {
    return aMember.mKind == MemberKind::eServer &&
           aMember.mDataCentre == aDataCentre;
  });
}

std::vector<Member> Membership::UsableServers(
  const base::DataCentreId& aDataCentre) const
{
  return Select([&](const Member& aMember) {
    return aMember.mKind == MemberKind::eServer &&
           aMember.mDataCentre == aDataCentre &&
           aMember.mState != MemberState::eDraining;
  });
}

std::vector<Member> Membership::Instances() const
{
  return Select([](const Member& aMember) {
    return aMember.mKind == MemberKind::eInstance;
  });
}

TakeoverRank Membership::TakeoverRankOf(const base::InstanceId& aSelf,
                                        const base::DataCentreId& aDataCentre,
                                        const base::RegionId& aRegion) const
{
  auto order = [&](const Member& aMember) {
    std::size_t tieBreaker =
      std::hash<std::string>()(aMember.mId + "@" + aDataCentre.Value());
    return std::tuple(aMember.mDataCentre != aDataCentre,
                      aMember.mRegion != aRegion,
                      tieBreaker);
  };
  const Member* self = Find(aSelf.Value());
  if (self == nullptr || self->mState == MemberState::eDraining) {
    return TakeoverRank{};
  }
  std::vector<Member> instances = Instances();
  auto preceding = std::count_if(
    instances.begin(), instances.end(), [&](const Member& aMember) {
      return aMember.mState == MemberState::eLive &&
             order(aMember) < order(*self);
    });
  return TakeoverRank{ true, static_cast<int>(preceding) };
}

} // namespace flamingoloom::ownership
