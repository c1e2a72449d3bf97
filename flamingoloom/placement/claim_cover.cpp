#include "flamingoloom/placement/claim_cover.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace flamingoloom::placement {

namespace {

using Index = AllocationTable::Index;

// A block that may be claimed for work of the account that is beyond its
// guarantee.
struct Candidate
{
  Block mBlock;
  int mAccount = 0;
  // Accelerators of the block that this work holds.
  int mUsed = 0;

  friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

// The result of applying candidates in one order.
struct Cover
{
  CapacityState mCapacity;
  std::vector<Candidate> mApplied;
};

// Maximum number of variants to evaluate for each order: all candidates, then
// all but one. The first variant succeeds unless nearly all capacity is
// guaranteed.
constexpr std::size_t kMaxVariantsPerOrder = 64;

// Orders candidates by falling share of the block that is in use, then by
// falling size.
bool HasHigherUse(const Candidate& aLeft, const Candidate& aRight)
{
  const int left = aLeft.mUsed * aRight.mBlock.Size();
  const int right = aRight.mUsed * aLeft.mBlock.Size();
  if (left != right) {
    return left > right;
  }
  return std::pair(-aLeft.mBlock.mLevel, aLeft.mBlock.mPosition) <
         std::pair(-aRight.mBlock.mLevel, aRight.mBlock.mPosition);
}

bool IsLarger(const Candidate& aLeft, const Candidate& aRight)
{
  return aLeft.mBlock.mLevel != aRight.mBlock.mLevel
           ? aLeft.mBlock.mLevel > aRight.mBlock.mLevel
           : HasHigherUse(aLeft, aRight);
}

// The blocks inside of aEnclosing that work of the account holds beyond its
// guarantee.
std::vector<std::pair<Index, Block>> HeldWithin(const AllocationTable& aTable,
                                                const Block& aEnclosing,
                                                int aAccount)
{
  std::set<std::pair<Index, Block>> found;
  for (int i = aEnclosing.mPosition; i < aEnclosing.End(); ++i) {
    const Index index = aTable.OwnerOf(i);
    if (index == AllocationTable::kNone ||
        aTable.At(index).mAccount != aAccount) {
      continue;
    }
    for (const HeldBlock& held : aTable.At(index).mHeld) {
      if (held.mHold == Hold::eBeyondGuarantee &&
          aEnclosing.Contains(held.mBlock)) {
        found.emplace(index, held.mBlock);
      }
    }
  }
  return { found.begin(), found.end() };
}

// Whether all of aEnclosing except for aHeld is reclaimable and unclaimed.
bool IsRestUnclaimed(const CapacityState& aCapacity,
                     const Block& aEnclosing,
                     const std::vector<std::pair<Index, Block>>& aHeld)
{
  int expected = aEnclosing.Size();
  for (const auto& [index, block] : aHeld) {
    expected -= block.Size();
  }
  return aCapacity.Unclaimed().FreeWithin(aEnclosing) == expected;
}

std::vector<Candidate> FindCandidates(const AllocationTable& aTable,
                                      const CapacityState& aCapacity)
{
  std::set<Candidate> candidates;
  for (const auto& [request, index] : aTable.IndexByRequest()) {
    const AllocationTable::Entry& entry = aTable.At(index);
    for (const HeldBlock& held : entry.mHeld) {
      const bool beyond = held.mHold == Hold::eBeyondGuarantee;
      for (int level = held.mBlock.mLevel; beyond && level < kLevels; ++level) {
        if (aCapacity.Outstanding(entry.mAccount)[level] == 0) {
          continue;
        }
        const Block enclosing = held.mBlock.Enclosing(level);
        int used = 0;
        for (const auto& [owner, block] :
             HeldWithin(aTable, enclosing, entry.mAccount)) {
          used += block.Size();
        }
        candidates.insert({ enclosing, entry.mAccount, used });
      }
    }
  }
  return { candidates.begin(), candidates.end() };
}

int MissingAccelerators(const CapacityState& aCapacity)
{
  const Deficit deficit = aCapacity.CurrentDeficit();
  return Accelerators(deficit.mWithServersInService) +
         Accelerators(deficit.mWithAllServers);
}

bool OverlapsClaim(const CapacityState& aCapacity, const Block& aBlock)
{
  return std::ranges::any_of(aCapacity.Claims(), [&](const Claim& aClaim) {
    return aClaim.mBlock.Overlaps(aBlock);
  });
}

void ApplyCandidate(const Candidate& aCandidate,
                    const AllocationTable& aTable,
                    Cover& aCover)
{
  const auto& [enclosing, account, used] = aCandidate;
  const auto held = HeldWithin(aTable, enclosing, account);
  if (aCover.mCapacity.Outstanding(account)[enclosing.mLevel] == 0 ||
      OverlapsClaim(aCover.mCapacity, enclosing) ||
      !IsRestUnclaimed(aCover.mCapacity, enclosing, held)) {
    return;
  }
  std::vector<Block> blocks;
  blocks.reserve(held.size());
  for (const auto& [index, block] : held) {
    blocks.push_back(block);
  }
  CapacityState updated = aCover.mCapacity;
  updated.AddClaimForHeldBlocks(account, enclosing, blocks);
  // The total is compared because a claim may move the deficit to another
  // shape, which a later claim covers.
  if (MissingAccelerators(updated) <= MissingAccelerators(aCover.mCapacity)) {
    aCover.mCapacity = std::move(updated);
    aCover.mApplied.push_back(aCandidate);
  }
}

// Applies the candidates in their order, except for the one at the index
// aExcluded.
Cover ApplyInOrder(const std::vector<Candidate>& aCandidates,
                   std::size_t aExcluded,
                   const AllocationTable& aTable,
                   const CapacityState& aCapacity)
{
  Cover cover{ aCapacity, {} };
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (i != aExcluded) {
      ApplyCandidate(aCandidates[i], aTable, cover);
    }
  }
  return cover;
}

Cover FindCover(const AllocationTable& aTable, const CapacityState& aCapacity)
{
  std::vector<Candidate> candidates = FindCandidates(aTable, aCapacity);
  std::ranges::sort(candidates, HasHigherUse);
  const std::size_t all = candidates.size();
  Cover best = ApplyInOrder(candidates, all, aTable, aCapacity);
  for (const auto order : { HasHigherUse, IsLarger }) {
    std::ranges::sort(candidates, order);
    const std::size_t variants = std::min(all + 1, kMaxVariantsPerOrder);
    for (std::size_t i = 0;
         i < variants && MissingAccelerators(best.mCapacity) > 0;
         ++i) {
      const std::size_t excluded = i == 0 ? all : i - 1;
      Cover cover = ApplyInOrder(candidates, excluded, aTable, aCapacity);
      if (MissingAccelerators(cover.mCapacity) <
          MissingAccelerators(best.mCapacity)) {
        best = std::move(cover);
      }
    }
  }
  return best;
}

} // namespace

void CoverWorkWithClaims(AllocationTable& aTable, CapacityState& aCapacity)
{
  Cover cover = FindCover(aTable, aCapacity);
  aCapacity = std::move(cover.mCapacity);
  for (const Candidate& applied : cover.mApplied) {
    for (const auto& [index, block] :
         HeldWithin(aTable, applied.mBlock, applied.mAccount)) {
      aTable.SetHold(index, block, Hold::eWithinGuarantee);
    }
  }
}

} // namespace flamingoloom::placement
