#include "flamingoloom/placement/layout.h"

#include <bit>

namespace flamingoloom::placement {

namespace {

int RoundUpToPowerOfTwo(int aValue)
{
  return static_cast<int>(std::bit_ceil(static_cast<unsigned>(aValue)));
}

// Adds the maximal aligned blocks within the aLength positions from aFirst on.
void AddBlocks(LevelCounts& aBlocks, int aFirst, int aLength)
{
  const int end = aFirst + aLength;
  while (aFirst < end) {
    int level = kLevels - 1;
    while (aFirst % ShapeAt(level) != 0 || aFirst + ShapeAt(level) > end) {
      --level;
    }
    ++aBlocks[level];
    aFirst += ShapeAt(level);
  }
}

} // namespace

Layout::Layout(const DataCentreCapacity& aCapacity)
  : mServers(aCapacity.mRacks * aCapacity.mServersPerRack)
  , mServersPerRack(aCapacity.mServersPerRack)
  , mPerServer(aCapacity.mAcceleratorsPerServer)
  , mServerStride(RoundUpToPowerOfTwo(mPerServer))
  , mRackStride(RoundUpToPowerOfTwo(mServersPerRack) * mServerStride)
{
  const int used = aCapacity.mRacks * mRackStride;
  mPositions = (used + kMaxShape - 1) / kMaxShape * kMaxShape;
}

int Layout::FirstPositionOfServer(int aServer) const
{
  return aServer / mServersPerRack * mRackStride +
         aServer % mServersPerRack * mServerStride;
}

int Layout::PositionOf(int aIndex) const
{
  return FirstPositionOfServer(aIndex / mPerServer) + aIndex % mPerServer;
}

int Layout::IndexOf(int aPosition) const
{
  const int rack = aPosition / mRackStride;
  const int server = aPosition % mRackStride / mServerStride;
  const int accelerator = aPosition % mServerStride;
  return (rack * mServersPerRack + server) * mPerServer + accelerator;
}

bool Layout::HasAccelerator(int aPosition) const
{
  const int rack = aPosition / mRackStride;
  const int server = aPosition % mRackStride / mServerStride;
  return rack < mServers / mServersPerRack && server < mServersPerRack &&
         aPosition % mServerStride < mPerServer;
}

LevelCounts Layout::Blocks() const
{
  LevelCounts blocks{};
  int first = 0;
  int length = 0;
  for (int server = 0; server < mServers; ++server) {
    const int position = FirstPositionOfServer(server);
    if (position != first + length) {
      AddBlocks(blocks, first, length);
      first = position;
      length = 0;
    }
    length += mPerServer;
  }
  AddBlocks(blocks, first, length);
  return blocks;
}

} // namespace flamingoloom::placement
