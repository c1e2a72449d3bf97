// Policies that select one of several suitable blocks.
//
// A fit policy ranks blocks; the block with the lowest rank is selected. The
// scheduler uses BestFit; RandomFit is the baseline of the benchmark:
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

// Prefers the block whose enclosing blocks have the fewest free accelerators.
// The enclosing blocks are compared from the smallest to the largest.
class BestFit
{
public:
  std::uint64_t Rank(const BlockTree& aTree, const Block& aBlock) const
  {
    return aTree.FreeInEnclosingBlocks(aBlock);
  }
};

// Selects each suitable block with the same probability.
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

// Keeps the block of the lowest rank among those offered; of equal ranks, the
// first one offered.
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

// Finds blocks one after the other while the caller allocates them. A rank
// depends only on the tree of kMaxShape leaves that contains the block, so only
// the tree that changed is ranked again. aOfferTree(tree, lowest) must offer to
// lowest all suitable blocks of the tree with that number.
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

  // Ranks the tree of aBlock again. The caller calls this after each change
  // inside of aBlock.
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

// Returns a BlockFinder for the free blocks of aLevel. The tree and the policy
// must outlive the finder.
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

// The free block of aLevel with the lowest rank, if there is one.
template <FitPolicy Fit>
std::optional<Block> FindFree(const BlockTree& aTree, int aLevel, Fit& aFit)
{
  return MakeFreeBlockFinder(aTree, aLevel, aFit).Find();
}

} // namespace flamingoloom::placement
