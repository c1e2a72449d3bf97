#include "flamingoloom/placement/block_tree.h"

#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "flamingoloom/placement/fit_policy.h"

namespace flamingoloom::placement {

namespace {

const Layout kLayout({ base::DataCentreId("a"), 3, 3, 8 });

// The maximal free blocks, counted by scanning all leaves.
LevelCounts CountByScanning(const std::vector<bool>& aFree)
{
  LevelCounts counts{};
  const int size = static_cast<int>(aFree.size());
  int position = 0;
  while (position < size) {
    int level = kLevels - 1;
    const auto fits = [&](int aLevel) {
      if (position % ShapeAt(aLevel) != 0) {
        return false;
      }
      for (int i = 0; i < ShapeAt(aLevel); ++i) {
        if (!aFree[position + i]) {
          return false;
        }
      }
      return true;
    };
    while (level >= 0 && !fits(level)) {
      --level;
    }
    if (level >= 0) {
      ++counts[level];
      position += ShapeAt(level);
    } else {
      ++position;
    }
  }
  return counts;
}

} // namespace

// Guards against counts of free blocks that differ from the leaves. This can
// happen where leaves are both allocated and disabled, so that freeing one of
// the two must not make them free.
TEST_CASE("the counts of free blocks match the leaves after any change")
{
  const bool passed = rc::check(
    [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& aSteps) {
      BlockTree tree(kLayout);
      std::vector<bool> allocated(kLayout.Positions(), false);
      std::vector<bool> disabled(kLayout.Positions(), false);
      for (const auto& [action, raw] : aSteps) {
        const int position = raw % kLayout.Positions();
        if (action % 2 == 0 && kLayout.HasAccelerator(position)) {
          disabled[position] = !disabled[position];
          disabled[position] ? tree.Disable(position) : tree.Enable(position);
        } else {
          const Block block = Block{ position, 0 }.Enclosing(action % kLevels);
          if (tree.IsFree(block)) {
            tree.Allocate(block);
            std::fill_n(
              allocated.begin() + block.mPosition, block.Size(), true);
          } else if (allocated[position]) {
            tree.Release({ position, 0 });
            allocated[position] = false;
          }
        }
        std::vector<bool> free(kLayout.Positions());
        for (int i = 0; i < kLayout.Positions(); ++i) {
          free[i] = kLayout.HasAccelerator(i) && !allocated[i] && !disabled[i];
        }
        RC_ASSERT(tree.FreeBlocks() == CountByScanning(free));
      }
    });
  CHECK(passed);
}

// Guards against a best-fit rank that is computed from wrong numbers of free
// accelerators, so that a block in a less full parent is selected.
TEST_CASE("the best-fit rank counts the free accelerators of all parents")
{
  const bool passed = rc::check([](const std::vector<std::uint8_t>& aUsed) {
    BlockTree tree(kLayout);
    for (const int raw : aUsed) {
      tree.Allocate({ raw % kLayout.Positions(), 0 });
    }
    for (int level = 0; level < kLevels; ++level) {
      for (int i = 0; i < kLayout.Positions(); i += ShapeAt(level)) {
        const Block block{ i, level };
        std::uint64_t expected = 0;
        for (int enclosing = level + 1; enclosing < kLevels; ++enclosing) {
          expected =
            expected << 8 | tree.FreeWithin(block.Enclosing(enclosing));
        }
        RC_ASSERT(tree.FreeInEnclosingBlocks(block) == expected);
      }
    }
  });
  CHECK(passed);
}

// Guards against small work that splits a large free block although a fuller
// block has enough free accelerators.
TEST_CASE("best fit selects the block in the fullest parent")
{
  BlockTree tree(Layout({ base::DataCentreId("a"), 4, 8, 8 }));
  tree.Allocate({ 128, 0 });
  tree.Allocate({ 64, 4 });
  BestFit fit;
  CHECK(FindFree(tree, 0, fit) == Block{ 129, 0 });
  CHECK(FindFree(tree, 4, fit) == Block{ 80, 4 });
  CHECK(FindFree(tree, 6, fit) == Block{ 0, 6 });
  CHECK(!FindFree(tree, 7, fit));
}

// Guards against a random policy that offers allocated blocks or cannot fill
// the data centre.
TEST_CASE("random fit selects only free blocks until none is left")
{
  BlockTree tree(Layout({ base::DataCentreId("a"), 2, 8, 8 }));
  RandomFit fit(7);
  for (int i = 0; i < 16; ++i) {
    const auto block = FindFree(tree, 3, fit);
    REQUIRE(block);
    CHECK(tree.IsFree(*block));
    tree.Allocate(*block);
  }
  CHECK(tree.FreeAccelerators() == 0);
}

} // namespace flamingoloom::placement
