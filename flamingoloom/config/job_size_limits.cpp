#include "flamingoloom/config/job_size_limits.h"

#include <algorithm>
#include <limits>

#include "flamingoloom/placement/layout.h"
#include "flamingoloom/placement/shape.h"

namespace flamingoloom::config::internal {
namespace {

placement::DataCentreCapacity CapacityOf(const DataCentreAnswers& aDataCentre)
{
  return { aDataCentre.mName,
           aDataCentre.mRacks,
           aDataCentre.mServersPerRack,
           aDataCentre.mAcceleratorsPerServer };
}

// Returns the maximum of aMeasure over all data centres; 0 if there are none.
template <class Measure>
int MaxOverDataCentres(const Answers& aAnswers, Measure aMeasure)
{
  int largest = 0;
  for (const auto& dataCentre : aAnswers.mDataCentres) {
    largest = std::max(largest, aMeasure(dataCentre));
  }
  return largest;
}

} // namespace

int MaxAcceleratorsPerServer(const Answers& aAnswers)
{
  return MaxOverDataCentres(aAnswers, [](const DataCentreAnswers& aDataCentre) {
    return aDataCentre.mAcceleratorsPerServer;
  });
}

int MaxBlockSize(const Answers& aAnswers)
{
  return MaxOverDataCentres(aAnswers, [](const DataCentreAnswers& aDataCentre) {
    auto blocks = placement::Layout(CapacityOf(aDataCentre)).Blocks();
    int level = placement::kLevels - 1;
    while (level > 0 && blocks[level] == 0) {
      --level;
    }
    return placement::ShapeAt(level);
  });
}

int MaxConcurrentTasks(const Answers& aAnswers, int aPerTask)
{
  return MaxOverDataCentres(
    aAnswers, [&](const DataCentreAnswers& aDataCentre) {
      return aDataCentre.mRacks * aDataCentre.mServersPerRack *
             (aDataCentre.mAcceleratorsPerServer / aPerTask);
    });
}

int MaxAcceleratorsPerAccount(const Answers& aAnswers)
{
  int largest = 0;
  for (const auto& account : aAnswers.mAccounts) {
    if (!account.mLimitAccelerators) {
      return std::numeric_limits<int>::max();
    }
    int limit = *account.mLimitAccelerators;
    for (const auto& guarantee : aAnswers.mGuarantees) {
      if (guarantee.mAccount == account.mName) {
        limit +=
          guarantee.mBlocks * placement::ShapeOf(guarantee.mAccelerators);
      }
    }
    largest = std::max(largest, limit);
  }
  return largest;
}

} // namespace flamingoloom::config::internal
