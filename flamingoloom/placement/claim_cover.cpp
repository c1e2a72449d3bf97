#include "flamingoloom/placement/claim_cover.h"

#include <algorithm>
#include <set>
#include <tuple>
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
  // Blocks that this work holds inside of the block.
  int mParts = 0;

  friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

// The result of applying candidates in one order.
struct Cover
{
  CapacityState mCapacity;
  std::vector<Candidate> mApplied;
};

// Maximum number of attempts to apply a candidate, in one search: the larger of
// a fixed number and a number for each candidate. The first order succeeds
// unless nearly all capacity is guaranteed.
constexpr std::size_t kMaxAttempts = 16384;
constexpr std::size_t kMaxAttemptsPerCandidate = 128;

// Orders candidates by falling share of the block that is in use, then by the
// number of parts, because a block with one part is more likely to have been
// claimed than one that only encloses several claims, then by falling size.
bool HasHigherUse(const Candidate& aLeft, const Candidate& aRight)
{
  const int left = aLeft.mUsed * aRight.mBlock.Size();
  const int right = aRight.mUsed * aLeft.mBlock.Size();
  if (left != right) {
    return left > right;
  }
  return std::tuple(
           aLeft.mParts, -aLeft.mBlock.mLevel, aLeft.mBlock.mPosition) <
         std::tuple(
           aRight.mParts, -aRight.mBlock.mLevel, aRight.mBlock.mPosition);
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
        const auto parts = HeldWithin(aTable, enclosing, entry.mAccount);
        int used = 0;
        for (const auto& [owner, block] : parts) {
          used += block.Size();
        }
        candidates.insert(
          { enclosing, entry.mAccount, used, static_cast<int>(parts.size()) });
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

// Claims the block of the candidate if possible. Returns whether it did.
bool ApplyCandidate(const Candidate& aCandidate,
                    const AllocationTable& aTable,
                    Cover& aCover)
{
  const Block& enclosing = aCandidate.mBlock;
  const int account = aCandidate.mAccount;
  const auto held = HeldWithin(aTable, enclosing, account);
  if (aCover.mCapacity.Outstanding(account)[enclosing.mLevel] == 0 ||
      OverlapsClaim(aCover.mCapacity, enclosing) ||
      !IsRestUnclaimed(aCover.mCapacity, enclosing, held)) {
    return false;
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
  if (MissingAccelerators(updated) > MissingAccelerators(aCover.mCapacity)) {
    return false;
  }
  aCover.mCapacity = std::move(updated);
  aCover.mApplied.push_back(aCandidate);
  return true;
}

// Searches for the cover with the fewest missing accelerators: applies the
// candidates in each order, then again without each applied candidate, without
// each two of them, and so on, until nothing is missing, all combinations were
// tried or the attempts are used up.
class CoverSearch
{
public:
  CoverSearch(const AllocationTable& aTable, const CapacityState& aCapacity)
    : mTable(aTable)
    , mCandidates(FindCandidates(aTable, aCapacity))
    , mAttemptsLeft(
        std::max(kMaxAttempts, kMaxAttemptsPerCandidate * mCandidates.size()))
    , mBest{ aCapacity, {} }
  {
  }

  Cover Run()
  {
    const Cover empty = mBest;
    std::ranges::sort(mCandidates, HasHigherUse);
    for (const Candidate& candidate : mCandidates) {
      ApplyCandidate(candidate, mTable, mBest);
    }
    mIsComplete = false;
    for (int omitted = 0; !IsDone(); ++omitted) {
      mIsComplete = true;
      for (const auto order : { HasHigherUse, IsLarger }) {
        std::ranges::sort(mCandidates, order);
        Visit(0, empty, omitted);
      }
    }
    return std::move(mBest);
  }

private:
  bool IsDone() const
  {
    return mIsComplete || mAttemptsLeft == 0 ||
           MissingAccelerators(mBest.mCapacity) == 0;
  }

  // Applies the candidates from aNext on, except for aOmitted of those that can
  // be applied.
  void Visit(std::size_t aNext, Cover aCover, int aOmitted)
  {
    for (std::size_t i = aNext; i < mCandidates.size(); ++i) {
      if (mAttemptsLeft == 0) {
        return;
      }
      --mAttemptsLeft;
      if (aOmitted == 0) {
        ApplyCandidate(mCandidates[i], mTable, aCover);
        continue;
      }
      Cover without = aCover;
      if (ApplyCandidate(mCandidates[i], mTable, aCover)) {
        Visit(i + 1, std::move(without), aOmitted - 1);
        if (MissingAccelerators(mBest.mCapacity) == 0) {
          return;
        }
      }
    }
    if (aOmitted > 0) {
      return;
    }
    mIsComplete = false;
    if (MissingAccelerators(aCover.mCapacity) <
        MissingAccelerators(mBest.mCapacity)) {
      mBest = std::move(aCover);
    }
  }

  const AllocationTable& mTable;
  std::vector<Candidate> mCandidates;
  std::size_t mAttemptsLeft;
  Cover mBest;
  // No combination with the last number of omitted candidates exists.
  bool mIsComplete = false;
};

} // namespace

void CoverWorkWithClaims(AllocationTable& aTable, CapacityState& aCapacity)
{
  Cover cover = CoverSearch(aTable, aCapacity).Run();
  aCapacity = std::move(cover.mCapacity);
  for (const Candidate& applied : cover.mApplied) {
    for (const auto& [index, block] :
         HeldWithin(aTable, applied.mBlock, applied.mAccount)) {
      aTable.SetHold(index, block, Hold::eWithinGuarantee);
    }
  }
}

} // namespace flamingoloom::placement
