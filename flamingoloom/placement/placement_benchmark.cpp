// Measures the time and memory of placement in a large deployment, and
// fragmentation and waiting times under load. Prints tables, or one JSON object
// with --json.
#include <algorithm>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "flamingoloom/placement/benchmark_load.h"
#include "flamingoloom/placement/benchmark_speed.h"

namespace flamingoloom::placement {

namespace {

using Row = nlohmann::ordered_json;

constexpr int kFullServers = 1'200;
constexpr int kFullTasks = 28'000;
constexpr int kLoadSeeds = 5;

void AddTimes(Row& aRow, const std::string& aName, const Times& aTimes)
{
  aRow[aName + "MedianUs"] = aTimes.mMedian;
  aRow[aName + "P99Us"] = aTimes.mP99;
  aRow[aName + "MaxUs"] = aTimes.mMax;
}

Row SpeedRow(int aServers, int aDataCentres)
{
  const SpeedResult result = MeasureSpeed(
    { aServers, aDataCentres, kFullTasks * aServers / kFullServers });
  Row row{ { "servers", result.mServers },
           { "dataCentres", aDataCentres },
           { "accelerators", result.mAccelerators },
           { "freeAccelerators", result.mFreeAccelerators },
           { "runningTasks", result.mTasks } };
  AddTimes(row, "adjacent", result.mAdjacent);
  AddTimes(row, "scattered", result.mScattered);
  AddTimes(row, "scatteredFirm", result.mScatteredNonPreemptible);
  AddTimes(row, "preempting", result.mPreempting);
  AddTimes(row, "takeOver", result.mTakeover);
  row["stateBytes"] = result.mStateBytes;
  row["heapBytes"] = result.mHeapBytes;
  return row;
}

std::vector<Row> SpeedRows()
{
  std::vector<Row> rows;
  for (const int servers : { 300, 600, 1'200 }) {
    rows.push_back(SpeedRow(servers, 9));
  }
  // The worst case: one owner has all servers.
  rows.push_back(SpeedRow(kFullServers, 1));
  return rows;
}

Row LoadRow(const std::string& aName, LoadPolicy aPolicy)
{
  LoadResult summary;
  for (int seed = 1; seed <= kLoadSeeds; ++seed) {
    const LoadResult seedResult = RunLoad(aPolicy, seed);
    summary.mFragmentation += seedResult.mFragmentation / kLoadSeeds;
    summary.mFragmentation16 += seedResult.mFragmentation16 / kLoadSeeds;
    summary.mBusyShare += seedResult.mBusyShare / kLoadSeeds;
    summary.mMeanWait += seedResult.mMeanWait / kLoadSeeds;
    summary.mMeanWaitSmall += seedResult.mMeanWaitSmall / kLoadSeeds;
    summary.mMeanWaitLarge += seedResult.mMeanWaitLarge / kLoadSeeds;
    summary.mMeanWait64 += seedResult.mMeanWait64 / kLoadSeeds;
    summary.mMaxWait64 = std::max(summary.mMaxWait64, seedResult.mMaxWait64);
  }
  return { { "policy", aName },
           { "fragmentation", summary.mFragmentation },
           { "fragmentation16", summary.mFragmentation16 },
           { "busyShare", summary.mBusyShare },
           { "meanWaitMin", summary.mMeanWait },
           { "meanWaitBelow16Min", summary.mMeanWaitSmall },
           { "meanWaitFrom16Min", summary.mMeanWaitLarge },
           { "meanWait64Min", summary.mMeanWait64 },
           { "maxWait64Min", summary.mMaxWait64 } };
}

std::vector<Row> LoadRows()
{
  return { LoadRow("baseline", LoadPolicy::eBaseline),
           LoadRow("best fit", LoadPolicy::eBestFit),
           LoadRow("best fit, reservations",
                   LoadPolicy::eBestFitWithReservations) };
}

std::string CellText(const Row& aValue)
{
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  return aValue.is_number_float() ? fmt::format("{:.3f}", aValue.get<double>())
                                  : aValue.dump();
}

// Prints one line for each figure and one column for each row of the
// measurement.
void PrintTable(const char* aTitle, const std::vector<Row>& aRows)
{
  fmt::print("{}\n", aTitle);
  for (const auto& [name, value] : aRows.front().items()) {
    fmt::print("{:<22}", name);
    for (const Row& row : aRows) {
      fmt::print(" {:>22}", CellText(row.at(name)));
    }
    fmt::print("\n");
  }
}

} // namespace

} // namespace flamingoloom::placement

int main(int aArgumentCount, char** aArguments)
{
  using namespace flamingoloom::placement;
  CLI::App app("Measures placement.");
  bool json = false;
  app.add_flag("--json", json, "print one JSON object");
  CLI11_PARSE(app, aArgumentCount, aArguments);
  const auto speed = SpeedRows();
  const auto load = LoadRows();
  if (json) {
    const Row all{ { "placementSpeed", speed }, { "placementLoad", load } };
    fmt::print("{}\n", all.dump());
    return 0;
  }
  PrintTable("Placing a 16-accelerator gang", speed);
  PrintTable("48 servers at 85% load, mean of 5 seeds", load);
  return 0;
}
