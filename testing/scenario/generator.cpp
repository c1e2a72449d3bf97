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

// Milliseconds of the run. The quiet time exceeds the checker's bound of 30 s
// for accepted requests.
constexpr int kFaultsFrom = 4000;
constexpr int kHealAt = 28000;
constexpr int kEndAt = 60000;
constexpr int kMinInstances = 3;
constexpr int kMaxLostServers = 3;

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
    int faults = Below(9) + 2;
    for (int i = 0; i < faults; ++i) {
      int at = kFaultsFrom + Below(kHealAt - kFaultsFrom - 4000);
      int kind = Below(kFaultKinds);
      AddFault(kind, at);
      // Faults come in pairs or hit a second time.
      if (Below(3) == 0) {
        AddFault(kind, at + Below(300));
      }
    }
    AddLoad();
    for (int i = Below(3); i >= 0; --i) {
      Add(3000 + Below(kHealAt),
          "put-config --at " + Pick(StandardInstances()));
    }
    LetLeavingServersAccept();
    Add(kHealAt, "heal");
    for (const std::string& dataCentre : mTakenOut) {
      Add(kHealAt + 500, "bring-back " + dataCentre);
    }
    Add(kEndAt - 1, "expect config");
    Add(kEndAt, "end");
    std::ranges::stable_sort(mLines, {}, &Line::first);
    std::string text;
    for (const auto& [at, action] : mLines) {
      text += fmt::format("at {}ms {}\n", at, action);
    }
    return text;
  }

private:
  using Line = std::pair<int, std::string>;
  static constexpr int kFaultKinds = 12;

  int Below(int aLimit)
  {
    return static_cast<int>(mRandom.Random() %
                            static_cast<std::uint64_t>(aLimit));
  }
  std::string Pick(const std::vector<std::string>& aNames)
  {
    return aNames[static_cast<std::size_t>(
      Below(static_cast<int>(aNames.size())))];
  }
  void Add(int aAt, std::string aAction)
  {
    mLines.emplace_back(aAt, std::move(aAction));
  }
  // The start and, half of the time, an end before everything is healed.
  void AddSpan(int aAt, const std::string& aFrom, const std::string& aTo)
  {
    Add(aAt, aFrom);
    int end = aAt + 200 + Below(12000);
    if (end < kHealAt) {
      Add(end, aTo);
    }
  }

  void AddFault(int aKind, int aAt)
  {
    const std::string& instance = Pick(mInstances);
    const std::string& server = Pick(mServers);
    switch (aKind) {
      case 0:
      case 1:
        LoseInstance(aAt);
        break;
      case 2: {
        bool beforeStart = Below(2) == 0;
        AddSpan(aAt,
                fmt::format("freeze {}{}",
                            instance,
                            beforeStart ? " --before-start" : ""),
                "thaw " + instance);
        break;
      }
      case 3:
        AddCut(aAt, instance, Pick(mInstances));
        break;
      case 4:
        AddCut(aAt, instance, server);
        break;
      case 5:
        AddCut(aAt, instance, "store");
        break;
      case 6:
        AddCut(aAt, "north", "south");
        break;
      case 7:
        AddSpan(aAt,
                Pick({ "store down",
                       "store slow",
                       "store loses-answers --probability 0.3" }),
                "store up");
        break;
      case 8:
        AddSpan(aAt, "break-server " + server, "repair-server " + server);
        break;
      case 9:
        AddSpan(aAt,
                fmt::format("mix-answers {} --probability 0.5", server),
                fmt::format("mix-answers {} --probability 0", server));
        break;
      case 10:
        LoseServer(aAt, server);
        break;
      default:
        TakeOut(aAt);
        break;
    }
  }

  void AddCut(int aAt, const std::string& aLeft, const std::string& aRight)
  {
    if (aLeft != aRight) {
      AddSpan(aAt,
              fmt::format("cut {} {}", aLeft, aRight),
              fmt::format("heal {} {}", aLeft, aRight));
    }
  }

  // An instance dies or leaves, and often a new one replaces it.
  void LoseInstance(int aAt)
  {
    if (mLostInstances.size() + kMinInstances >= mInstances.size()) {
      return;
    }
    std::string instance = Pick(mInstances);
    if (!mLostInstances.insert(instance).second) {
      return;
    }
    switch (Below(3)) {
      case 0:
        Add(aAt, "kill " + instance);
        break;
      case 1:
        Add(aAt,
            fmt::format("kill {} --at-message {}", instance, 1 + Below(60)));
        break;
      default:
        Add(aAt, "stop " + instance);
        break;
    }
    if (Below(4) != 0) {
      Add(aAt + Below(4000),
          fmt::format("start {}{}", instance[0], ++mLastInstance));
    }
  }

  void LoseServer(int aAt, const std::string& aServer)
  {
    if (static_cast<int>(mLostServers.size()) < kMaxLostServers &&
        mLostServers.insert(aServer).second) {
      Add(aAt, (Below(2) == 0 ? "kill-server " : "leave-server ") + aServer);
    }
  }

  void TakeOut(int aAt)
  {
    std::string dataCentre = Pick({ "a", "b", "c" });
    if (!mTakenOut.insert(dataCentre).second) {
      return;
    }
    Add(aAt,
        fmt::format(
          "take-out {} --operator o1 --at {}", dataCentre, Pick(mInstances)));
    if (Below(3) == 0) {
      // A second operator, who may want the opposite, races the first.
      Add(aAt + Below(3),
          fmt::format("{} {} --operator o2 --at {}",
                      Pick({ "take-out", "bring-back" }),
                      dataCentre,
                      Pick(mInstances)));
    }
    if (Below(2) == 0) {
      Add(aAt + 3000 + Below(8000), "bring-back " + dataCentre);
    }
  }

  // A leaving server refuses work, which hides an instance that still sends
  // some. It accepts work when no fault keeps an instance from knowing better.
  void LetLeavingServersAccept()
  {
    auto hides = [](const Line& aLine) {
      return aLine.second.starts_with("cut") ||
             aLine.second.starts_with("freeze") ||
             aLine.second.starts_with("store");
    };
    if (std::ranges::none_of(mLines, hides)) {
      for (auto& [at, action] : mLines) {
        if (action.starts_with("leave-server")) {
          action += " --accepts";
        }
      }
    }
  }

  void AddLoad()
  {
    int requests = 40 + Below(60);
    // A third of the schedules has a burst and a wave of cancellations.
    int burstAt = Below(3) == 0 ? kFaultsFrom + Below(20000) : 0;
    for (int i = 0; i < requests; ++i) {
      bool burst = burstAt > 0 && i % 3 == 0;
      int at = burst ? burstAt : 2500 + Below(kHealAt);
      std::string account = Pick({ "paper", "lustre" });
      std::string kind = Pick({ "quote",
                                "quote",
                                "render",
                                "invoice",
                                "invoice",
                                "booking",
                                "booking",
                                "match" });
      std::string line =
        fmt::format("submit {} --account {} --key k{} --payload p{} --at {}",
                    kind,
                    account,
                    i,
                    Below(40) == 0 ? "impossible" : std::to_string(i),
                    Pick(mInstances));
      if (kind != "quote" && Below(4) == 0) {
        line += " --again-at " + Pick(mInstances);
      }
      Add(at, line);
      if (kind != "quote" && Below(burst ? 4 : 12) == 0) {
        Add(burst ? at + 300 : at + Below(3000),
            fmt::format("cancel {}/k{}", account, i));
      }
    }
  }

  fakes::VirtualClock mRandom;
  std::vector<std::string> mInstances;
  std::vector<std::string> mServers;
  std::set<std::string> mLostInstances;
  std::set<std::string> mLostServers;
  std::set<std::string> mTakenOut;
  int mLastInstance = 2;
  std::vector<Line> mLines;
};

} // namespace

std::string GenerateScript(std::uint64_t aSeed)
{
  return Generator(aSeed).Generate();
}

} // namespace flamingoloom::testing::scenario
