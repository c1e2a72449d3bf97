#include "flamingoloom/control/api.h"

namespace flamingoloom::control {

std::string_view RequestStateName(RequestState aState)
{
  switch (aState) {
    case RequestState::ePending:
      return "pending";
    case RequestState::eFinished:
      return "finished";
    case RequestState::eFailed:
      return "failed";
    case RequestState::eCancelled:
      return "cancelled";
    case RequestState::eRefused:
      return "refused";
    case RequestState::eUnknown:
      break;
  }
  return "unknown";
}

std::string_view RanName(Ran aRan)
{
  switch (aRan) {
    case Ran::eNo:
      return "no";
    case Ran::eYes:
      return "yes";
    case Ran::eUnknown:
      break;
  }
  return "unknown";
}

} // namespace flamingoloom::control
