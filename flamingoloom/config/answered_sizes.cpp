#include "flamingoloom/config/answered_sizes.h"

#include <algorithm>
#include <limits>

#include "flamingoloom/placement/layout.h"
#include "flamingoloom/placement/shape.h"

namespace flamingoloom::config::internal {
namespace {

placement::DataCentreCapacity Capacity(const DataCentreAnswers& aCentre)
{
  return { aCentre.mName,
           aCentre.mRacks,
           aCentre.mServersPerRack,
           aCentre.mAcceleratorsPerServer };
}

// The largest of what aMeasure finds in the data centres.
template <class Measure>
int Largest(const Answers& aAnswers, Measure aMeasure)
{
  int largest = 0;
  for (const auto& centre : aAnswers.mDataCentres) {
    largest = std::max(largest, aMeasure(centre));
  }
  return largest;
}

} // namespace

int LargestServer(const Answers& aAnswers)
{
  return Largest(aAnswers, [](const DataCentreAnswers& aCentre) {
    return aCentre.mAcceleratorsPerServer;
  });
}

int LargestBlock(const Answers& aAnswers)
{
  return Largest(aAnswers, [](const DataCentreAnswers& aCentre) {
    auto blocks = placement::Layout(Capacity(aCentre)).Blocks();
    int level = placement::kLevels - 1;
    while (level > 0 && blocks[level] == 0) {
      --level;
    }
    return placement::ShapeAt(level);
  });
}

int MostTasks(const Answers& aAnswers, int aPerTask)
{
  return Largest(aAnswers, [&](const DataCentreAnswers& aCentre) {
    return aCentre.mRacks * aCentre.mServersPerRack *
           (aCentre.mAcceleratorsPerServer / aPerTask);
  });
}

int LargestHolding(const Answers& aAnswers)
{
  int largest = 0;
  for (const auto& account : aAnswers.mAccounts) {
    if (!account.mLimitAccelerators) {
      return std::numeric_limits<int>::max();
    }
    int holding = *account.mLimitAccelerators;
    for (const auto& guarantee : aAnswers.mGuarantees) {
      if (guarantee.mAccount == account.mName) {
        holding +=
          guarantee.mBlocks * placement::ShapeOf(guarantee.mAccelerators);
      }
    }
    largest = std::max(largest, holding);
  }
  return largest;
}

} // namespace flamingoloom::config::internal
