#include "testing/bench/load.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <limits>
#include <map>
#include <random>
#include <sstream>

#include <fmt/format.h>

#include "flamingoloom/config/answers.h"
#include "flamingoloom/config/generate.h"
#include "flamingoloom/placement/guarantee_plan.h"
#include "testing/fakes/history.h"

namespace flamingoloom::testing::bench {

using namespace std::chrono_literals;

namespace {

// Kinds that run for minutes or longer are shortened so that the longest one
// runs for kLongestRunTime.
constexpr base::Duration kLongRunTime = 60s;
constexpr base::Duration kLongestRunTime = 10s;

constexpr double kBurstFactor = 3;
constexpr base::Duration kBurstLength = 2s;
constexpr base::Duration kBurstPeriod = 20s;

// Applied to the configuration, because the questionnaire refuses overnight
// kinds that must be answered within minutes.
void ShortenRunTimes(config::Configuration& aConfiguration)
{
  base::Duration longest{};
  for (const config::JobKind& kind : aConfiguration.mKinds) {
    longest = std::max(longest, kind.mDeclaredRunTime);
  }
  auto divisor = std::max<base::Duration::rep>(longest / kLongestRunTime, 1);
  for (config::JobKind& kind : aConfiguration.mKinds) {
    if (kind.mDeclaredRunTime >= kLongRunTime) {
      kind.mDeclaredRunTime /= divisor;
      kind.mTarget /= divisor;
    }
  }
}

// The answers have one size of gang; the load needs several.
void AddGangs(config::Answers& aAnswers, const std::string& aKind)
{
  auto original = std::ranges::find(
    aAnswers.mKinds, base::KindId(aKind), &config::KindAnswers::mName);
  if (original == aAnswers.mKinds.end()) {
    return;
  }
  config::KindAnswers kind = *original;
  for (int tasks : { 1, 2, 4, 8 }) {
    if (tasks != original->mTasks) {
      kind.mName = base::KindId(fmt::format("{}-{}", aKind, tasks));
      kind.mTasks = tasks;
      aAnswers.mKinds.push_back(kind);
      original = std::ranges::find(
        aAnswers.mKinds, base::KindId(aKind), &config::KindAnswers::mName);
    }
  }
}

std::vector<Stream> StreamsOf(const std::string& aName)
{
  auto stream = [](const char* aKind, double aPerSecond) {
    return Stream{ base::KindId(aKind), aPerSecond };
  };
  // Accelerators in use on average: about 230 of 384, which is 90% of what
  // remains when one data centre is out.
  if (aName == "kavango") {
    return { stream("survey", 20),
             stream("booking", 20),
             stream("drop-matching", 0.10),
             stream("drop-matching-4", 0.08),
             stream("drop-matching-2", 0.20),
             stream("drop-matching-1", 0.15) };
  }
  return { stream("quote", 400),           stream("invoice-batch", 4),
           stream("proof-render", 0.25),   stream("proof-render-8", 0.06),
           stream("proof-render-2", 0.30), stream("proof-render-1", 0.35) };
}

// Each account as often as its weight says; accounts whose quota and guarantees
// are smaller than the kind send no requests of it.
std::vector<base::AccountId> AccountsFor(
  const config::Configuration& aConfiguration,
  const base::KindId& aKind)
{
  std::vector<base::AccountId> accounts;
  for (const config::ClientAccount& account : aConfiguration.mAccounts) {
    int most = account.mQuota.value_or(std::numeric_limits<int>::max() / 2);
    for (const config::Guarantee& guarantee : aConfiguration.mGuarantees) {
      if (guarantee.mAccount == account.mId) {
        most += guarantee.mShape * guarantee.mCount;
      }
    }
    if (aConfiguration.Kind(aKind)->Accelerators() <= most) {
      accounts.insert(accounts.end(), account.mWeight, account.mId);
    }
  }
  return accounts;
}

bool IsBurst(base::Time aTime)
{
  return aTime.time_since_epoch() % kBurstPeriod >= kBurstPeriod - kBurstLength;
}

} // namespace

base::Expected<Deployment> MakeDeployment(const std::string& aName,
                                          const std::string& aFolder)
{
  std::string file = aFolder + "/" + aName + ".answers.json";
  std::ostringstream text;
  text << std::ifstream(file).rdbuf();
  auto answers = config::AnswersFromText(text.str(), file);
  if (!answers) {
    return tl::unexpected(config::Combine(answers.error()));
  }
  char name = 'a';
  for (config::DataCentreAnswers& centre : answers->mDataCentres) {
    centre.mName = base::DataCentreId(std::string(1, name++));
  }
  AddGangs(*answers, aName == "kavango" ? "drop-matching" : "proof-render");
  auto configuration =
    config::Generate(*answers, file, [](auto aCentres, auto aDemands) {
      return placement::PlanGuarantees(aCentres, aDemands);
    });
  if (!configuration) {
    return tl::unexpected(config::Combine(configuration.error()));
  }
  ShortenRunTimes(*configuration);
  return Deployment{ aName,
                     *configuration,
                     aName == "kavango" ? base::Duration(3ms)
                                        : base::Duration(1ms),
                     StreamsOf(aName) };
}

std::vector<Arrival> MakeArrivals(const Deployment& aDeployment,
                                  base::Time aFrom,
                                  base::Time aTo,
                                  std::uint64_t aSeed)
{
  double burstShare = std::chrono::duration<double>(kBurstLength) /
                      std::chrono::duration<double>(kBurstPeriod);
  std::vector<Arrival> arrivals;
  std::mt19937_64 random(aSeed);
  auto uniform = [&random] {
    constexpr int kBits = 53;
    return std::ldexp(static_cast<double>((random() >> (64 - kBits)) + 1),
                      -kBits);
  };
  for (const Stream& stream : aDeployment.mStreams) {
    double normal = stream.mPerSecond / (1 + burstShare * (kBurstFactor - 1));
    double highest = normal * kBurstFactor;
    std::vector<base::AccountId> accounts =
      AccountsFor(aDeployment.mConfiguration, stream.mKind);
    int number = 0;
    base::Time time = aFrom;
    while (true) {
      time += std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(-std::log(uniform()) / highest));
      if (time >= aTo) {
        break;
      }
      // Thinning gives the lower rate outside of bursts.
      if (!IsBurst(time) && uniform() > 1 / kBurstFactor) {
        continue;
      }
      arrivals.push_back(
        { time,
          accounts[random() % accounts.size()],
          stream.mKind,
          fmt::format("{}-{}", stream.mKind.Value(), ++number) });
    }
  }
  std::ranges::stable_sort(arrivals, {}, &Arrival::mTime);
  return arrivals;
}

base::Duration TrueRunTime(const config::JobKind& aKind,
                           const base::RequestId& aRequest,
                           std::uint64_t aSeed)
{
  constexpr std::array kFactors{ 0.1, 0.8, 1.0, 1.0, 1.2, 3.0 };
  std::uint64_t hash =
    fakes::HashOf(aRequest.mAccount.Value() + "/" + aRequest.mKey, aSeed);
  return std::chrono::duration_cast<base::Duration>(
    aKind.mDeclaredRunTime * kFactors[hash % kFactors.size()]);
}

fakes::RunTime MakeRunTime(const config::Configuration& aConfiguration,
                           std::uint64_t aSeed)
{
  std::map<base::KindId, config::JobKind> kinds;
  for (const config::JobKind& kind : aConfiguration.mKinds) {
    kinds[kind.mId] = kind;
  }
  return [kinds, aSeed](const platform::TaskStart& aStart) {
    return TrueRunTime(kinds.at(aStart.mKind), aStart.mRequest, aSeed);
  };
}

std::vector<std::string> InstanceNames()
{
  return { "a1", "a2", "b1", "b2", "c1", "c2" };
}

std::vector<std::string> ServerNames(
  const config::Configuration& aConfiguration)
{
  std::vector<std::string> names;
  for (const config::DataCentre& centre : aConfiguration.mDataCentres) {
    for (int i = 1; i <= centre.mRacks * centre.mServersPerRack; ++i) {
      names.push_back(fmt::format("{}-s{:02}", centre.mId.Value(), i));
    }
  }
  return names;
}

} // namespace flamingoloom::testing::bench
