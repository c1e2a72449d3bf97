#include "flamingoloom/placement/work.h"

namespace flamingoloom::placement {

std::string_view WaitReasonName(WaitReason aReason)
{
  switch (aReason) {
    case WaitReason::eNoFreeBlock:
      return "no_free_block";
    case WaitReason::eGuarantees:
      return "guarantees";
    case WaitReason::eDeficit:
      return "deficit";
    case WaitReason::eReserved:
      return "reserved";
    case WaitReason::eStillHeld:
      return "still_held";
  }
  return "unknown";
}

std::string_view NeverReasonName(NeverReason aReason)
{
  switch (aReason) {
    case NeverReason::eInvalidSize:
      return "invalid_size";
    case NeverReason::eTooLarge:
      return "too_large";
    case NeverReason::eGuarantees:
      return "guarantees";
  }
  return "unknown";
}

} // namespace flamingoloom::placement
