#include "testing/scenario/deployment.h"

#include <array>
#include <map>

#include <fmt/format.h>

namespace flamingoloom::testing::scenario {

using namespace std::chrono_literals;
using base::AccountId;
using base::DataCentreId;
using base::KindId;

config::Configuration StandardConfiguration()
{
  config::Configuration result;
  result.mDeployment = "scenario";
  for (const char* name : { "a", "b", "c" }) {
    config::DataCentre dataCentre;
    dataCentre.mId = DataCentreId(name);
    dataCentre.mRegion =
      base::RegionId(dataCentre.mId.Value() == "c" ? "south" : "north");
    dataCentre.mRacks = 1;
    dataCentre.mServersPerRack = 4;
    result.mDataCentres.push_back(dataCentre);
  }
  for (const char* name : { "paper", "lustre" }) {
    config::ClientAccount account;
    account.mId = AccountId(name);
    result.mAccounts.push_back(account);
  }
  config::JobKind quote;
  quote.mId = KindId("quote");
  quote.mIdempotent = true;
  quote.mDurable = false;
  quote.mTarget = 500ms;
  quote.mDeadline = 500ms;
  quote.mDeclaredRunTime = 30ms;
  config::JobKind render;
  render.mId = KindId("render");
  render.mIdempotent = true;
  render.mCheckpointable = true;
  render.mPreemptible = true;
  render.mTarget = 10s;
  render.mDeclaredRunTime = 1500ms;
  render.mTasks = 2;
  // A task takes all accelerators of a server, so that the two tasks of a gang
  // are on two servers and the gang can lose one of them.
  render.mAcceleratorsPerTask = 8;
  render.mAdjacent = true;
  config::JobKind invoice;
  invoice.mId = KindId("invoice");
  invoice.mTarget = 10s;
  invoice.mDeclaredRunTime = 400ms;
  config::JobKind booking;
  booking.mId = KindId("booking");
  booking.mPriority = config::Priority::eUrgent;
  booking.mTarget = 2s;
  booking.mDeclaredRunTime = 80ms;
  config::JobKind match;
  match.mId = KindId("match");
  match.mIdempotent = true;
  match.mPreemptible = true;
  match.mPriority = config::Priority::eOvernight;
  match.mTarget = 60s;
  match.mDeclaredRunTime = 2s;
  match.mAcceleratorsPerTask = 8;
  result.mKinds = { quote, render, invoice, booking, match };
  config::Guarantee paper{ AccountId("paper"), 8, 1 };
  config::Guarantee lustre{ AccountId("lustre"), 8, 1 };
  result.mGuarantees = { paper, lustre };
  result.mAssignments = { { DataCentreId("a"), paper },
                          { DataCentreId("b"), paper },
                          { DataCentreId("b"), lustre },
                          { DataCentreId("c"), lustre } };
  return result;
}

fakes::RunTime StandardRunTime(std::uint64_t aSeed)
{
  std::map<KindId, base::Duration> declared;
  for (const config::JobKind& kind : StandardConfiguration().mKinds) {
    declared[kind.mId] = kind.mDeclaredRunTime;
  }
  return [aSeed, declared](const platform::TaskStart& aStart) {
    if (aStart.mPayload == "long") {
      return base::Duration(60s);
    }
    constexpr std::array kFactors{ 0.1, 0.8, 1.0, 1.0, 1.2, 5.0 };
    std::uint64_t hash = fakes::HashOf(
      aStart.mRequest.mAccount.Value() + "/" + aStart.mRequest.mKey, aSeed);
    auto known = declared.find(aStart.mKind);
    base::Duration time = known == declared.end() ? 100ms : known->second;
    return std::chrono::duration_cast<base::Duration>(
      time * kFactors[hash % kFactors.size()]);
  };
}

std::vector<std::string> StandardInstances()
{
  return { "a1", "a2", "b1", "b2", "c1", "c2" };
}

std::vector<std::string> StandardServers()
{
  std::vector<std::string> names;
  for (const char* dataCentre : { "a", "b", "c" }) {
    for (int i = 1; i <= 4; ++i) {
      names.push_back(fmt::format("{}-s{}", dataCentre, i));
    }
  }
  return names;
}

} // namespace flamingoloom::testing::scenario
