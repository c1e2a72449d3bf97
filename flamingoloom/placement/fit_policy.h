// Which of several suitable blocks is taken.
//
// A fit policy ranks blocks; the block with the lowest rank is taken.
// BestFit is what the scheduler uses, RandomFit is the baseline:
//
//   BestFit fit;
//   std::optional<Block> block = FindFree(tree, LevelOf(16), fit);
#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <random>

#include "flamingoloom/placement/block_tree.h"

namespace flamingoloom::placement {

template <class T>
concept FitPolicy = requires(T& aPolicy,
                             const BlockTree& aTree,
                             const Block& aBlock)
{
  {
    aPolicy.Rank(aTree, aBlock)
    } -> std::same_as<std::uint64_t>;
};

// Fills the fullest enclosing block first. The free accelerators of the
// enclosing blocks are compared from the smallest to the largest.
class BestFit
{
public:
  std::uint64_t Rank(const BlockTree& aTree, const Block& aBlock) const
  {
    std::uint64_t rank = 0;
    for (int level = aBlock.mLevel + 1; level < kLevels; ++level) {
      rank = rank << kBitsPerLevel | aTree.FreeWithin(aBlock.Enclosing(level));
    }
    return rank;
  }

private:
  // A block has at most kLargestShape, that is 2^7, free accelerators.
  static constexpr int kBitsPerLevel = 8;
};

// Takes any suitable block with the same probability.
class RandomFit
{
public:
  explicit RandomFit(std::uint64_t aSeed = 1)
    : mRandom(aSeed)
  {
  }

  std::uint64_t Rank(const BlockTree&, const Block&) { return mRandom(); }

private:
  std::mt19937_64 mRandom;
};

// The block of the lowest rank among those offered; the first one of equals.
class LowestRank
{
public:
  void Offer(std::uint64_t aRank, const Block& aBlock)
  {
    if (!mBlock || aRank < mRank) {
      mRank = aRank;
      mBlock = aBlock;
    }
  }
  const std::optional<Block>& Best() const { return mBlock; }

private:
  std::uint64_t mRank = 0;
  std::optional<Block> mBlock;
};

// The free block of aLevel that the policy prefers.
template <FitPolicy Fit>
std::optional<Block> FindFree(const BlockTree& aTree, int aLevel, Fit& aFit)
{
  LowestRank lowest;
  aTree.ForEachFree(aLevel, [&](const Block& aBlock) {
    lowest.Offer(aFit.Rank(aTree, aBlock), aBlock);
  });
  return lowest.Best();
}

} // namespace flamingoloom::placement
