// What an HttpFrontend needs from the instance behind it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/control/api.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::frontend {

enum class Role
{
  // A client account's software.
  eCaller,
  // Staff of the deployment.
  eOperator,
};

// The stored configuration. The text is one JSON object; empty when there is
// no configuration yet.
struct ConfigDocument
{
  std::uint64_t mVersion = 0;
  std::string mJson;

  friend bool operator==(const ConfigDocument&,
                         const ConfigDocument&) = default;
};

// All functions must be set. They are called from many threads at the same
// time and must not throw. A callback may be called from any thread; only its
// first call counts. The front end has checked the form of all values.
struct FrontendHandler
{
  template <class T>
  using Done = platform::Done<T>;

  // Decides whether the key proves the role, and for callers the account; an
  // operator has no account. The key is empty when none was sent. Called on
  // each request, must not block.
  std::function<base::Expected<platform::Nothing>(Role,
                                                  const base::AccountId&,
                                                  const std::string& aKey)>
    mAuthorize;

  std::function<void(control::CallerRequest, control::AnswerDone)> mSubmit;
  std::function<void(base::RequestId, base::Duration, control::AnswerDone)>
    mAwait;
  std::function<void(base::RequestId, control::AnswerDone)> mCancel;

  std::function<void(Done<std::vector<control::DataCentreView>>)> mDataCentres;
  std::function<void(control::DataCentreChange, control::DataCentreDone)>
    mChangeDataCentre;

  std::function<void(Done<ConfigDocument>)> mConfig;
  // Stores a JSON object if the stored version is the expected one; answers
  // the new version.
  std::function<void(std::uint64_t aExpectedVersion,
                     std::string aJson,
                     Done<std::uint64_t>)>
    mPutConfig;

  // One JSON document about "instances", "servers", "jobs", "capacity" or
  // "burn".
  std::function<void(std::string aTopic, Done<std::string>)> mView;

  // Prometheus text format. Must not block.
  std::function<std::string()> mMetrics;
  // An error when the instance should get no requests. Must not block.
  std::function<base::Expected<platform::Nothing>()> mReady;
};

} // namespace flamingoloom::frontend
