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
#include <utility>
#include <vector>

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
    return aTree.FreeInEnclosingBlocks(aBlock);
  }
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
  bool Accepts(std::uint64_t aRank) const { return !mBlock || aRank < mRank; }
  void Offer(std::uint64_t aRank, const Block& aBlock)
  {
    if (Accepts(aRank)) {
      mRank = aRank;
      mBlock = aBlock;
    }
  }
  const std::optional<Block>& Best() const { return mBlock; }
  std::uint64_t Rank() const { return mRank; }

private:
  std::uint64_t mRank = 0;
  std::optional<Block> mBlock;
};

// Finds blocks one after the other while the caller allocates them. Ranks
// depend only on the tree of kMaxShape leaves around a block, so that only
// the tree that changed is ranked again. aOfferTree(tree, lowest) offers all
// suitable blocks of the tree with that number to lowest.
template <class OfferTree>
class BlockFinder
{
public:
  BlockFinder(int aTrees, OfferTree aOfferTree)
    : mOfferTree(std::move(aOfferTree))
    , mLowest(aTrees)
  {
    for (int tree = 0; tree < aTrees; ++tree) {
      mOfferTree(tree, mLowest[tree]);
    }
  }

  std::optional<Block> Find() const
  {
    LowestRank lowest;
    for (const LowestRank& tree : mLowest) {
      if (tree.Best()) {
        lowest.Offer(tree.Rank(), *tree.Best());
      }
    }
    return lowest.Best();
  }

  // To be called after a change inside of aBlock.
  void Update(const Block& aBlock)
  {
    const int tree = aBlock.mPosition / kMaxShape;
    mLowest[tree] = {};
    mOfferTree(tree, mLowest[tree]);
  }

private:
  OfferTree mOfferTree;
  std::vector<LowestRank> mLowest;
};

// Finds free blocks of aLevel. The tree and the policy must outlive the finder.
template <FitPolicy Fit>
auto MakeFreeBlockFinder(const BlockTree& aTree, int aLevel, Fit& aFit)
{
  return BlockFinder(aTree.TreeCount(),
                     [&aTree, &aFit, aLevel](int aNumber, LowestRank& aLowest) {
                       aTree.ForEachFreeInTree(
                         aNumber, aLevel, [&](const Block& aBlock) {
                           aLowest.Offer(aFit.Rank(aTree, aBlock), aBlock);
                         });
                     });
}

// The free block of aLevel that the policy prefers.
template <FitPolicy Fit>
std::optional<Block> FindFree(const BlockTree& aTree, int aLevel, Fit& aFit)
{
  return MakeFreeBlockFinder(aTree, aLevel, aFit).Find();
}

} // namespace flamingoloom::placement
