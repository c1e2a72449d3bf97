// Decides whether a change is allowed, given the deficit of the guarantees that
// it leaves.
//
// The check is a policy of BasicPlacement so that a test can switch it off and
// show that guarantees are lost without it.
#pragma once

#include <concepts>

#include "flamingoloom/placement/capacity_state.h"

namespace flamingoloom::placement {

template <class T>
concept GuaranteeCheck = requires(const Deficit& aDeficit)
{
  {
    T::AllowsWithinGuarantee(aDeficit, aDeficit)
    } -> std::same_as<bool>;
  {
    T::AllowsBeyondGuarantee(aDeficit)
    } -> std::same_as<bool>;
};

struct EnforceGuarantees
{
  // Placing work within a guarantee must not raise the deficit of any shape.
  static bool AllowsWithinGuarantee(const Deficit& aBefore,
                                    const Deficit& aAfter)
  {
    return NoLevelIncreases(aBefore.mWithServersInService,
                            aAfter.mWithServersInService) &&
           NoLevelIncreases(aBefore.mWithAllServers, aAfter.mWithAllServers);
  }
  // Placing non-preemptible work beyond the guarantees must leave no deficit.
  static bool AllowsBeyondGuarantee(const Deficit& aAfter)
  {
    return aAfter.IsZero();
  }

private:
  static bool NoLevelIncreases(const LevelCounts& aBefore,
                               const LevelCounts& aAfter)
  {
    for (int level = 0; level < kLevels; ++level) {
      if (aAfter[level] > aBefore[level]) {
        return false;
      }
    }
    return true;
  }
};

// For tests and measurements only.
struct IgnoreGuarantees
{
  static bool AllowsWithinGuarantee(const Deficit&, const Deficit&)
  {
    return true;
  }
  static bool AllowsBeyondGuarantee(const Deficit&) { return true; }
};

} // namespace flamingoloom::placement
