#include "flamingoloom/placement/claim_cover.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace flamingoloom::placement {

namespace {

using Slot = AllocationTable::Slot;

struct Candidate
{
  Block mBlock;
  int mAccount = 0;
  int mUsed = 0;

  friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

// The result of one try.
struct Cover
{
  CapacityState mCapacity;
  std::vector<Candidate> mTaken;
};

// Tries of each order that leave out one candidate. The first try succeeds
// unless nearly all capacity is guaranteed.
constexpr std::size_t kMostTries = 64;

// The part of a candidate that is in use, then its size; the larger first.
bool UsedComesFirst(const Candidate& aLeft, const Candidate& aRight)
{
  const int left = aLeft.mUsed * aRight.mBlock.Size();
  const int right = aRight.mUsed * aLeft.mBlock.Size();
  if (left != right) {
    return left > right;
  }
  return std::pair(-aLeft.mBlock.mLevel, aLeft.mBlock.mPosition) <
         std::pair(-aRight.mBlock.mLevel, aRight.mBlock.mPosition);
}

bool LargestComesFirst(const Candidate& aLeft, const Candidate& aRight)
{
  return aLeft.mBlock.mLevel != aRight.mBlock.mLevel
           ? aLeft.mBlock.mLevel > aRight.mBlock.mLevel
           : UsedComesFirst(aLeft, aRight);
}

// The blocks beyond guarantees of the account inside of aAround.
std::vector<std::pair<Slot, Block>> HeldWithin(const AllocationTable& aTable,
                                               const Block& aAround,
                                               int aAccount)
{
  std::set<std::pair<Slot, Block>> found;
  for (int i = aAround.mPosition; i < aAround.End(); ++i) {
    const Slot slot = aTable.OwnerOf(i);
    if (slot == AllocationTable::kNone ||
        aTable.At(slot).mAccount != aAccount) {
      continue;
    }
    for (const HeldBlock& held : aTable.At(slot).mHeld) {
      if (held.mHold == Hold::eBeyondGuarantee &&
          aAround.Contains(held.mBlock)) {
        found.emplace(slot, held.mBlock);
      }
    }
  }
  return { found.begin(), found.end() };
}

// Whether the rest of aAround is reclaimable and not claimed.
bool IsRestUnclaimed(const CapacityState& aCapacity,
                     const Block& aAround,
                     const std::vector<std::pair<Slot, Block>>& aHeld)
{
  int expected = aAround.Size();
  for (const auto& [slot, block] : aHeld) {
    expected -= block.Size();
  }
  return aCapacity.Unclaimed().FreeWithin(aAround) == expected;
}

std::vector<Candidate> FindCandidates(const AllocationTable& aTable,
                                      const CapacityState& aCapacity)
{
  std::set<Candidate> candidates;
  for (const auto& [request, slot] : aTable.Slots()) {
    const AllocationTable::Entry& entry = aTable.At(slot);
    for (const HeldBlock& held : entry.mHeld) {
      const bool beyond = held.mHold == Hold::eBeyondGuarantee;
      for (int level = held.mBlock.mLevel; beyond && level < kLevels; ++level) {
        if (aCapacity.Outstanding(entry.mAccount)[level] == 0) {
          continue;
        }
        const Block around = held.mBlock.Enclosing(level);
        int used = 0;
        for (const auto& [owner, block] :
             HeldWithin(aTable, around, entry.mAccount)) {
          used += block.Size();
        }
        candidates.insert({ around, entry.mAccount, used });
      }
    }
  }
  return { candidates.begin(), candidates.end() };
}

int MissingAccelerators(const CapacityState& aCapacity)
{
  const Deficit deficit = aCapacity.CurrentDeficit();
  return Accelerators(deficit.mNow) + Accelerators(deficit.mWithAllServers);
}

bool OverlapsClaim(const CapacityState& aCapacity, const Block& aBlock)
{
  return std::ranges::any_of(aCapacity.Claims(), [&](const Claim& aClaim) {
    return aClaim.mBlock.Overlaps(aBlock);
  });
}

void TryCandidate(const Candidate& aCandidate,
                  const AllocationTable& aTable,
                  Cover& aCover)
{
  const auto& [around, account, used] = aCandidate;
  const auto held = HeldWithin(aTable, around, account);
  if (aCover.mCapacity.Outstanding(account)[around.mLevel] == 0 ||
      OverlapsClaim(aCover.mCapacity, around) ||
      !IsRestUnclaimed(aCover.mCapacity, around, held)) {
    return;
  }
  std::vector<Block> blocks;
  blocks.reserve(held.size());
  for (const auto& [slot, block] : held) {
    blocks.push_back(block);
  }
  CapacityState draft = aCover.mCapacity;
  draft.CoverByClaim(account, around, blocks);
  // The sum is compared because a claim may move the deficit to another shape
  // that a later claim covers.
  if (MissingAccelerators(draft) <= MissingAccelerators(aCover.mCapacity)) {
    aCover.mCapacity = std::move(draft);
    aCover.mTaken.push_back(aCandidate);
  }
}

// Takes the candidates in their order, except for the one at aLeftOut.
Cover TryInOrder(const std::vector<Candidate>& aCandidates,
                 std::size_t aLeftOut,
                 const AllocationTable& aTable,
                 const CapacityState& aCapacity)
{
  Cover cover{ aCapacity, {} };
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (i != aLeftOut) {
      TryCandidate(aCandidates[i], aTable, cover);
    }
  }
  return cover;
}

Cover FindCover(const AllocationTable& aTable, const CapacityState& aCapacity)
{
  std::vector<Candidate> candidates = FindCandidates(aTable, aCapacity);
  std::ranges::sort(candidates, UsedComesFirst);
  const std::size_t all = candidates.size();
  Cover best = TryInOrder(candidates, all, aTable, aCapacity);
  for (const auto order : { UsedComesFirst, LargestComesFirst }) {
    std::ranges::sort(candidates, order);
    const std::size_t tries = std::min(all + 1, kMostTries);
    for (std::size_t i = 0;
         i < tries && MissingAccelerators(best.mCapacity) > 0;
         ++i) {
      const std::size_t leftOut = i == 0 ? all : i - 1;
      Cover cover = TryInOrder(candidates, leftOut, aTable, aCapacity);
      if (MissingAccelerators(cover.mCapacity) <
          MissingAccelerators(best.mCapacity)) {
        best = std::move(cover);
      }
    }
  }
  return best;
}

} // namespace

void CoverHeldWork(AllocationTable& aTable, CapacityState& aCapacity)
{
  Cover cover = FindCover(aTable, aCapacity);
  aCapacity = std::move(cover.mCapacity);
  for (const Candidate& taken : cover.mTaken) {
    for (const auto& [slot, block] :
         HeldWithin(aTable, taken.mBlock, taken.mAccount)) {
      aTable.SetHold(slot, block, Hold::eWithinGuarantee);
    }
  }
}

} // namespace flamingoloom::placement
