#include "flamingoloom/control/answer_check.h"

#include "flamingoloom/base/digest.h"

namespace flamingoloom::control {

bool IsValidAnswer(const platform::TaskStatus& aStatus,
                   const base::AttemptId& aAttempt,
                   const base::RequestId& aRequest)
{
  return aStatus.mAttempt == aAttempt && aStatus.mRequest == aRequest &&
         aStatus.mAnswerBytes == aStatus.mAnswer.size() &&
         aStatus.mAnswerSha256 == base::Sha256Hex(aStatus.mAnswer);
}

} // namespace flamingoloom::control
