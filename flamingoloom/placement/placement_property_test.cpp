// Checks the placement with random arrivals, overruns, cancellations, drains
// and losses of servers.
//
// After each step an exhaustive packer, which does not use the library's
// counts, searches for a packing of all guarantees at once.
#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "flamingoloom/placement/backfill.h"

namespace flamingoloom::placement {

namespace {

using base::AccountId;
using base::RequestId;
using std::chrono::seconds;

constexpr int kServers = 8;
constexpr int kPerServer = 4;
constexpr int kLeaves = kServers * kPerServer;
const DataCentreCapacity kCapacity{ base::DataCentreId("a"), 2, 4, kPerServer };
constexpr std::size_t kMaxWaiting = 8;
constexpr std::array<const char*, 3> kAccounts{ "x", "y", "z" };

struct Leaf
{
  bool mOutOfService = false;
  bool mNonPreemptible = false;
  AccountId mAccount;
};

// Returns whether the block from aFirst on could be given to the client
// account: all of it is free, preemptible or held by non-preemptible work of
// the account, and it is in service unless the account already uses a part of
// it.
bool CanProvide(const std::vector<Leaf>& aLeaves,
                int aFirst,
                const Demand& aGuarantee)
{
  bool outOfService = false;
  bool used = false;
  for (int i = aFirst; i < aFirst + aGuarantee.mShape; ++i) {
    if (aLeaves[i].mNonPreemptible &&
        aLeaves[i].mAccount != aGuarantee.mAccount) {
      return false;
    }
    used = used || aLeaves[i].mNonPreemptible;
    outOfService = outOfService || aLeaves[i].mOutOfService;
  }
  return used || !outOfService;
}

// Tries all disjoint positions of the guarantees from the index aNext on. Each
// guarantee is one block.
bool CanPackAll(const std::vector<Leaf>& aLeaves,
                const std::vector<Demand>& aGuarantees,
                std::vector<bool>& aOccupied,
                std::size_t aNext)
{
  if (aNext == aGuarantees.size()) {
    return true;
  }
  const Demand& guarantee = aGuarantees[aNext];
  for (int first = 0; first < kLeaves; first += guarantee.mShape) {
    const auto begin = aOccupied.begin() + first;
    const auto end = begin + guarantee.mShape;
    if (std::find(begin, end, true) != end ||
        !CanProvide(aLeaves, first, guarantee)) {
      continue;
    }
    std::fill(begin, end, true);
    if (CanPackAll(aLeaves, aGuarantees, aOccupied, aNext + 1)) {
      return true;
    }
    std::fill(begin, end, false);
  }
  return false;
}

enum class Checks
{
  eAll,
  // Only the checks of the packer, and none that relies on what the library
  // reports about guarantees.
  ePackerOnly,
};

using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t, std::uint8_t>;

template <class P, Checks kChecks>
class Model
{
public:
  explicit Model(const std::vector<Demand>& aGuarantees)
    : mPlacement(kCapacity)
    , mGuarantees(aGuarantees)
    , mOutOfService(kServers, false)
  {
    mPlacement.SetGuarantees(mGuarantees);
  }

  void Run(const Step& aStep)
  {
    const auto [action, first, second, third] = aStep;
    mNow += seconds(third % 20);
    const int server = first % kServers;
    const int draw = action % 24;
    if (draw == 0) {
      mPlacement.DrainServer(server);
      mOutOfService[server] = true;
    } else if (draw == 1) {
      CheckLoseServer(server);
    } else if (draw < 6) {
      mPlacement.ReturnServer(server);
      mOutOfService[server] = false;
    } else if (draw < 11) {
      // Work can end before or after its declared end; this also covers
      // cancellation.
      FinishAny(first);
    } else if (draw < 12) {
      CancelWaiting(first);
    } else {
      AddWaitingJob(first, second, third);
    }
    PlaceWaiting();
    CheckLeaves();
    CheckGuarantees();
  }

private:
  void AddWaitingJob(int aAccountChoice, int aSize, int aKind)
  {
    if (mWaiting.size() >= kMaxWaiting) {
      return;
    }
    const AccountId account(kAccounts.at(aAccountChoice % 3));
    Job job{ { account, std::to_string(++mLastKey) },
             { aKind % 2 == 0, aKind % 4 < 2, aKind % 8 < 6 },
             1 + aSize % 7,
             1 + aSize / 7 % 4,
             aSize % 2 == 0,
             seconds(10 + aSize) };
    mWaiting.push_back(job);
  }

  void FinishAny(int aChoice)
  {
    const auto all = mPlacement.Allocations();
    if (all.empty()) {
      return;
    }
    const RequestId request = all[aChoice % all.size()].mRequest;
    RC_ASSERT(mPlacement.Finish(request));
    mRunning.erase(request);
  }

  void CancelWaiting(int aChoice)
  {
    if (!mWaiting.empty()) {
      mWaiting.erase(mWaiting.begin() + aChoice % mWaiting.size());
    }
  }

  void CheckLoseServer(int aServer)
  {
    std::vector<RequestId> expected;
    for (const Allocation& allocation : mPlacement.Allocations()) {
      for (const Range& range : allocation.mBlocks) {
        if (range.mFirst < (aServer + 1) * kPerServer &&
            range.mFirst + range.mCount > aServer * kPerServer) {
          expected.push_back(allocation.mRequest);
          break;
        }
      }
    }
    std::vector<RequestId> stopped;
    for (const Preemption& gang : mPlacement.LoseServer(aServer)) {
      stopped.push_back(gang.mRequest);
      mRunning.erase(gang.mRequest);
    }
    std::ranges::sort(stopped);
    RC_ASSERT(stopped == expected);
    mOutOfService[aServer] = true;
  }

  void PlaceWaiting()
  {
    const LevelCounts before = mPlacement.DeficitNow();
    const auto queue = DecideQueue(mPlacement, mWaiting, mNow, 8);
    std::vector<Job> waiting;
    for (std::size_t i = 0; i < mWaiting.size(); ++i) {
      const Decision& decision = queue.mDecisions[i];
      if (const auto* placed = std::get_if<Placed>(&decision)) {
        Start(mWaiting[i], *placed);
      } else if (std::holds_alternative<MustWait>(decision)) {
        waiting.push_back(mWaiting[i]);
      }
    }
    mWaiting = waiting;
    const LevelCounts after = mPlacement.DeficitNow();
    for (int level = 0; level < kLevels; ++level) {
      RC_ASSERT(kChecks == Checks::ePackerOnly ||
                after[level] <= before[level]);
    }
  }

  void Start(const Job& aJob, const Placed& aPlaced)
  {
    for (const Preemption& victim : aPlaced.mPreempted) {
      const auto running = mRunning.find(victim.mRequest);
      if (running != mRunning.end()) {
        RC_ASSERT(running->second.mProperties.mPreemptible);
        RC_ASSERT(running->second.mProperties.mIdempotent);
        RC_ASSERT(!mWithinGuarantee.contains(victim.mRequest));
        mRunning.erase(running);
      }
    }
    for (const Range& range : aPlaced.mBlocks) {
      for (int i = range.mFirst; i < range.mFirst + range.mCount; ++i) {
        RC_ASSERT(!mOutOfService[i / kPerServer]);
      }
    }
    mRunning[aJob.mRequest] = aJob;
  }

  // Asserts that no accelerator has two owners and that each running gang is
  // complete.
  void CheckLeaves()
  {
    mLeaves.assign(kLeaves, {});
    std::vector<bool> owned(kLeaves, false);
    std::size_t complete = 0;
    mWithinGuarantee.clear();
    for (const Allocation& allocation : mPlacement.Allocations()) {
      const auto running = mRunning.find(allocation.mRequest);
      RC_ASSERT(allocation.mStopping == (running == mRunning.end()));
      if (allocation.mWithinGuarantee) {
        mWithinGuarantee.insert(allocation.mRequest);
      }
      if (!allocation.mStopping) {
        CheckComplete(allocation, running->second);
        ++complete;
      }
      for (const Range& range : allocation.mBlocks) {
        RC_ASSERT(range.mFirst % range.mCount == 0);
        for (int i = range.mFirst; i < range.mFirst + range.mCount; ++i) {
          RC_ASSERT(!owned[i]);
          owned[i] = true;
          mLeaves[i].mAccount = allocation.mRequest.mAccount;
          mLeaves[i].mNonPreemptible =
            !allocation.mStopping && (allocation.mWithinGuarantee ||
                                      !(allocation.mProperties.mPreemptible &&
                                        allocation.mProperties.mIdempotent));
        }
      }
    }
    RC_ASSERT(complete == mRunning.size());
    for (int i = 0; i < kLeaves; ++i) {
      mLeaves[i].mOutOfService = mOutOfService[i / kPerServer];
    }
  }

  static void CheckComplete(const Allocation& aAllocation, const Job& aJob)
  {
    const int needed = aJob.mAdjacent ? 1 : aJob.mTasks;
    RC_ASSERT(static_cast<int>(aAllocation.mBlocks.size()) == needed);
    const int size = aJob.mAdjacent ? aJob.mTasks * aJob.mAcceleratorsPerTask
                                    : aJob.mAcceleratorsPerTask;
    for (const Range& range : aAllocation.mBlocks) {
      RC_ASSERT(range.mCount >= size);
    }
  }

  void CheckGuarantees()
  {
    const bool allInService = std::ranges::count(mOutOfService, true) == 0;
    const bool deficit = mPlacement.DeficitNow() != LevelCounts{};
    if (allInService || !deficit) {
      RC_ASSERT(FindPacking());
    }
    if (allInService && kChecks == Checks::eAll) {
      RC_ASSERT(!deficit);
      CheckReclaim();
      CheckTakeover();
    }
  }

  bool FindPacking() const
  {
    std::vector<Demand> single;
    for (const Demand& guarantee : mGuarantees) {
      single.insert(single.end(), guarantee.mCount, guarantee);
    }
    std::ranges::sort(single, std::greater(), &Demand::mShape);
    std::vector<bool> occupied(kLeaves, false);
    return CanPackAll(mLeaves, single, occupied, 0);
  }

  // Asserts that a new owner that receives only the running work has no deficit
  // either.
  void CheckTakeover()
  {
    P newOwner(kCapacity);
    newOwner.SetGuarantees(mGuarantees);
    RC_ASSERT(newOwner.Adopt(mPlacement.Allocations()));
    RC_ASSERT(newOwner.FreeBlocks() == mPlacement.FreeBlocks());
    RC_ASSERT(newOwner.DeficitNow() == LevelCounts{});
  }

  // Asserts that a client account without running work can reclaim its whole
  // guarantee.
  void CheckReclaim()
  {
    P copy = mPlacement;
    for (const Demand& guarantee : mGuarantees) {
      const bool idle = std::ranges::none_of(mRunning, [&](const auto& aEntry) {
        return aEntry.first.mAccount == guarantee.mAccount;
      });
      for (int i = 0; idle && i < guarantee.mCount; ++i) {
        const std::string key = fmt::format("reclaim-{}", ++mLastKey);
        const Decision decision = copy.Place({ { guarantee.mAccount, key },
                                               {},
                                               guarantee.mShape,
                                               1,
                                               true,
                                               seconds(1) },
                                             mNow);
        RC_ASSERT(std::holds_alternative<Placed>(decision));
      }
    }
  }

  P mPlacement;
  std::vector<Demand> mGuarantees;
  std::vector<bool> mOutOfService;
  std::vector<Leaf> mLeaves;
  std::vector<Job> mWaiting;
  std::map<RequestId, Job> mRunning;
  std::set<RequestId> mWithinGuarantee;
  base::Time mNow;
  int mLastKey = 0;
};

using RawGuarantee = std::pair<std::uint8_t, std::uint8_t>;

// Returns the guarantees from the list that fit into the data centre together.
std::vector<Demand> FeasibleGuarantees(const std::vector<RawGuarantee>& aRaw)
{
  constexpr std::size_t kMaxGuarantees = 5;
  std::vector<Demand> guarantees;
  for (const auto& [account, shape] : aRaw) {
    std::vector<Demand> more = guarantees;
    more.push_back({ AccountId(kAccounts.at(account % 3)), 2 << shape % 4, 1 });
    if (more.size() <= kMaxGuarantees &&
        PlanGuarantees(std::vector{ kCapacity }, more)) {
      guarantees = more;
    }
  }
  return guarantees;
}

template <class P, Checks kChecks = Checks::eAll>
bool HoldsAfterEveryStep()
{
  // The lists are long from the first test on, because short ones rarely fill
  // the racks.
  constexpr double kScale = 4;
  return rc::check([] {
    const auto guarantees =
      *rc::gen::scale(kScale, rc::gen::arbitrary<std::vector<RawGuarantee>>());
    const auto steps =
      *rc::gen::scale(kScale, rc::gen::arbitrary<std::vector<Step>>());
    Model<P, kChecks> model(FeasibleGuarantees(guarantees));
    for (const Step& step : steps) {
      model.Run(step);
    }
  });
}

} // namespace

// Guards against a guarantee that can no longer be reclaimed after some
// sequence of arrivals, completions and server losses, a gang that runs
// partially, and an accelerator with two owners (P1, P2).
TEST_CASE("guarantees can be packed and gangs are complete after every step")
{
  CHECK(HoldsAfterEveryStep<Placement>());
}

// Guards against the same failures when blocks are selected at random.
TEST_CASE("random fit preserves the guarantees as well")
{
  CHECK(HoldsAfterEveryStep<BasicPlacement<RandomFit>>());
}

// Guards against a property that detects nothing: when the guarantee check is
// switched off, the packer must find a state that breaks a guarantee.
TEST_CASE("the property fails without the guarantee check")
{
  MESSAGE("the property check below is expected to fail");
  using Unchecked = BasicPlacement<BestFit, IgnoreGuarantees>;
  CHECK_FALSE(HoldsAfterEveryStep<Unchecked, Checks::ePackerOnly>());
}

} // namespace flamingoloom::placement
