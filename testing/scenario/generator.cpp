#include "testing/scenario/generator.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "testing/fakes/virtual_clock.h"
#include "testing/scenario/deployment.h"

namespace flamingoloom::testing::scenario {

namespace {

// The time from kHealMs to kEndMs exceeds the 30 s within which the checker
// requires accepted requests to complete.
constexpr int kFirstFaultMs = 4000;
constexpr int kHealMs = 28000;
constexpr int kEndMs = 60000;
constexpr int kMinRemainingInstances = 3;
constexpr int kMaxRemovedServers = 3;

class Generator
{
public:
  explicit Generator(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mInstances(StandardInstances())
    , mServers(StandardServers())
  {
  }

  std::string Generate()
  {
    int faults = RandomBelow(9) + 2;
    for (int i = 0; i < faults; ++i) {
      int timeMs = kFirstFaultMs + RandomBelow(kHealMs - kFirstFaultMs - 4000);
      int kind = RandomBelow(kFaultKinds);
      AddFault(kind, timeMs);
      // Some faults get a second fault of the same kind shortly after.
      if (RandomBelow(3) == 0) {
        AddFault(kind, timeMs + RandomBelow(300));
      }
    }
    AddLoad();
    for (int i = RandomBelow(3); i >= 0; --i) {
      const std::string instance = PickRandom(StandardInstances());
      Add(3000 + RandomBelow(kHealMs), "put-config --at " + instance);
    }
    LetDrainingServersAccept();
    Add(kHealMs, "heal");
    for (const std::string& dataCentre : mTakenOut) {
      Add(kHealMs + 500, "bring-back " + dataCentre);
    }
    Add(kEndMs - 1, "expect config");
    Add(kEndMs, "end");
    std::ranges::stable_sort(mLines, {}, &Line::first);
    std::string text;
    for (const auto& [timeMs, action] : mLines) {
      text += fmt::format("at {}ms {}\n", timeMs, action);
    }
    return text;
  }

private:
  using Line = std::pair<int, std::string>;
  static constexpr int kFaultKinds = 12;

  int RandomBelow(int aLimit)
  {
    return static_cast<int>(mRandom.Random() %
                            static_cast<std::uint64_t>(aLimit));
  }
  std::string PickRandom(const std::vector<std::string>& aNames)
  {
    return aNames[static_cast<std::size_t>(
      RandomBelow(static_cast<int>(aNames.size())))];
  }
  void Add(int aTimeMs, std::string aAction)
  {
    mLines.emplace_back(aTimeMs, std::move(aAction));
  }
  // Adds the start of a fault and its end, if that is before kHealMs.
  void AddTimedFault(int aTimeMs,
                     const std::string& aFrom,
                     const std::string& aTo)
  {
    Add(aTimeMs, aFrom);
    int end = aTimeMs + 200 + RandomBelow(12000);
    if (end < kHealMs) {
      Add(end, aTo);
    }
  }

  void AddFault(int aKind, int aTimeMs)
  {
    const std::string& instance = PickRandom(mInstances);
    const std::string& server = PickRandom(mServers);
    switch (aKind) {
      case 0:
      case 1:
        RemoveInstance(aTimeMs);
        break;
      case 2: {
        bool beforeStart = RandomBelow(2) == 0;
        AddTimedFault(aTimeMs,
                      fmt::format("freeze {}{}",
                                  instance,
                                  beforeStart ? " --before-start" : ""),
                      "thaw " + instance);
        break;
      }
      case 3:
        AddPartition(aTimeMs, instance, PickRandom(mInstances));
        break;
      case 4:
        AddPartition(aTimeMs, instance, server);
        break;
      case 5:
        AddPartition(aTimeMs, instance, "store");
        break;
      case 6:
        AddPartition(aTimeMs, "north", "south");
        break;
      case 7:
        AddTimedFault(aTimeMs,
                      PickRandom({ "store down",
                                   "store slow",
                                   "store loses-answers --probability 0.3" }),
                      "store up");
        break;
      case 8:
        AddTimedFault(
          aTimeMs, "break-server " + server, "repair-server " + server);
        break;
      case 9:
        AddTimedFault(aTimeMs,
                      fmt::format("mix-answers {} --probability 0.5", server),
                      fmt::format("mix-answers {} --probability 0", server));
        break;
      case 10:
        RemoveServer(aTimeMs, server);
        break;
      default:
        TakeOut(aTimeMs);
        break;
    }
  }

  void AddPartition(int aTimeMs,
                    const std::string& aLeft,
                    const std::string& aRight)
  {
    if (aLeft != aRight) {
      AddTimedFault(aTimeMs,
                    fmt::format("cut {} {}", aLeft, aRight),
                    fmt::format("heal {} {}", aLeft, aRight));
    }
  }

  // Crashes or stops an instance; in three of four cases a new one starts.
  void RemoveInstance(int aTimeMs)
  {
    if (mRemovedInstances.size() + kMinRemainingInstances >=
        mInstances.size()) {
      return;
    }
    std::string instance = PickRandom(mInstances);
    if (!mRemovedInstances.insert(instance).second) {
      return;
    }
    switch (RandomBelow(3)) {
      case 0:
        Add(aTimeMs, "kill " + instance);
        break;
      case 1:
        Add(aTimeMs,
            fmt::format(
              "kill {} --at-message {}", instance, 1 + RandomBelow(60)));
        break;
      default:
        Add(aTimeMs, "stop " + instance);
        break;
    }
    if (RandomBelow(4) != 0) {
      Add(aTimeMs + RandomBelow(4000),
          fmt::format("start {}{}", instance[0], ++mLastInstanceNumber));
    }
  }

  void RemoveServer(int aTimeMs, const std::string& aServer)
  {
    if (static_cast<int>(mRemovedServers.size()) < kMaxRemovedServers &&
        mRemovedServers.insert(aServer).second) {
      Add(aTimeMs,
          (RandomBelow(2) == 0 ? "kill-server " : "leave-server ") + aServer);
    }
  }

  void TakeOut(int aTimeMs)
  {
    std::string dataCentre = PickRandom({ "a", "b", "c" });
    if (!mTakenOut.insert(dataCentre).second) {
      return;
    }
    Add(aTimeMs,
        fmt::format("take-out {} --operator o1 --at {}",
                    dataCentre,
                    PickRandom(mInstances)));
    if (RandomBelow(3) == 0) {
      // A second operator requests the same or the opposite change at almost
      // the same time.
      const std::string instance = PickRandom(mInstances);
      const std::string action = PickRandom({ "take-out", "bring-back" });
      Add(aTimeMs + RandomBelow(3),
          fmt::format(
            "{} {} --operator o2 --at {}", action, dataCentre, instance));
    }
    if (RandomBelow(2) == 0) {
      Add(aTimeMs + 3000 + RandomBelow(8000), "bring-back " + dataCentre);
    }
  }

  // The rejections of a draining server hide an instance that still sends tasks
  // to it. If the schedule has no fault that can keep an instance from learning
  // about the drain, the server accepts tasks, so that P7 detects such an
  // instance.
  void LetDrainingServersAccept()
  {
    auto delaysDrainNotice = [](const Line& aLine) {
      return aLine.second.starts_with("cut") ||
             aLine.second.starts_with("freeze") ||
             aLine.second.starts_with("store");
    };
    if (std::ranges::none_of(mLines, delaysDrainNotice)) {
      for (auto& [timeMs, action] : mLines) {
        if (action.starts_with("leave-server")) {
          action += " --accepts";
        }
      }
    }
  }

  void AddLoad()
  {
    int requests = 40 + RandomBelow(60);
    // A third of the schedules have a burst of requests with many
    // cancellations.
    int burstMs = RandomBelow(3) == 0 ? kFirstFaultMs + RandomBelow(20000) : 0;
    for (int i = 0; i < requests; ++i) {
      bool burst = burstMs > 0 && i % 3 == 0;
      int timeMs = burst ? burstMs : 2500 + RandomBelow(kHealMs);
      std::string account = PickRandom({ "paper", "lustre" });
      std::string kind = PickRandom({ "quote",
                                      "quote",
                                      "render",
                                      "invoice",
                                      "invoice",
                                      "booking",
                                      "booking",
                                      "match" });
      const std::string instance = PickRandom(mInstances);
      const std::string payload =
        RandomBelow(40) == 0 ? "impossible" : std::to_string(i);
      std::string line =
        fmt::format("submit {} --account {} --key k{} --payload p{} --at {}",
                    kind,
                    account,
                    i,
                    payload,
                    instance);
      if (kind != "quote" && RandomBelow(4) == 0) {
        line += " --again-at " + PickRandom(mInstances);
      }
      Add(timeMs, line);
      if (kind != "quote" && RandomBelow(burst ? 4 : 12) == 0) {
        Add(burst ? timeMs + 300 : timeMs + RandomBelow(3000),
            fmt::format("cancel {}/k{}", account, i));
      }
    }
  }

  fakes::VirtualClock mRandom;
  std::vector<std::string> mInstances;
  std::vector<std::string> mServers;
  std::set<std::string> mRemovedInstances;
  std::set<std::string> mRemovedServers;
  std::set<std::string> mTakenOut;
  int mLastInstanceNumber = 2;
  std::vector<Line> mLines;
};

} // namespace

std::string GenerateScript(std::uint64_t aSeed)
{
  return Generator(aSeed).Generate();
}

} // namespace flamingoloom::testing::scenario
