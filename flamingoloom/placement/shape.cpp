#include "flamingoloom/placement/shape.h"

#include <algorithm>
#include <bit>

namespace flamingoloom::placement {

int ShapeOf(int aAccelerators)
{
  if (aAccelerators < 1 || aAccelerators > kMaxShape) {
    return 0;
  }
  return static_cast<int>(std::bit_ceil(static_cast<unsigned>(aAccelerators)));
}

int LevelOf(int aShape)
{
  return std::countr_zero(static_cast<unsigned>(aShape));
}

int Accelerators(const LevelCounts& aBlocks)
{
  int sum = 0;
  for (int level = 0; level < kLevels; ++level) {
    sum += aBlocks[level] * ShapeAt(level);
  }
  return sum;
}

LevelCounts Shortfall(const LevelCounts& aFree, const LevelCounts& aWanted)
{
  LevelCounts missing{};
  int available = 0;
  for (int level = kLevels - 1; level >= 0; --level) {
    available = 2 * available + aFree[level];
    missing[level] = std::max(0, aWanted[level] - available);
    available -= aWanted[level] - missing[level];
  }
  return missing;
}

bool Packs(const LevelCounts& aFree, const LevelCounts& aWanted)
{
  return Shortfall(aFree, aWanted) == LevelCounts{};
}

int BlocksAt(const LevelCounts& aFree, int aLevel)
{
  int blocks = 0;
  for (int level = kLevels - 1; level >= aLevel; --level) {
    blocks = 2 * blocks + aFree[level];
  }
  return blocks;
}

namespace {

// Splits the smallest larger block so that a block of aLevel exists.
// Precondition: there is a larger block.
void SplitInto(LevelCounts& aFree, int aLevel)
{
  int larger = aLevel + 1;
  while (aFree[larger] == 0) {
    ++larger;
  }
  for (; larger > aLevel; --larger) {
    --aFree[larger];
    aFree[larger - 1] += 2;
  }
}

} // namespace

void Remove(LevelCounts& aFree, int aLevel, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    if (aFree[aLevel] == 0) {
      SplitInto(aFree, aLevel);
    }
    --aFree[aLevel];
  }
}

} // namespace flamingoloom::placement
