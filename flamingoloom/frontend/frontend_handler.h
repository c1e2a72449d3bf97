// The callbacks through which an HttpFrontend calls its instance.
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
  // A process that calls the API for a client account.
  eCaller,
  // A person who operates the deployment.
  eOperator,
};

// A version of the configuration. mJson is the text of one JSON object; it is
// empty when no configuration is stored.
struct ConfigDocument
{
  std::uint64_t mVersion = 0;
  std::string mJson;

  friend bool operator==(const ConfigDocument&,
                         const ConfigDocument&) = default;
};

// All functions must be set. The front end calls them concurrently from many
// threads; they must not throw. The handler may call a callback from any
// thread; only the first call of each callback has an effect. The front end has
// checked the format of all arguments.
struct FrontendHandler
{
  template <class T>
  using Done = platform::Done<T>;

  // Checks whether the key authenticates the role and, for a caller, the
  // account. The account is empty for an operator; the key is empty when none
  // was sent. Called for each request. Must not block.
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
  // Stores a JSON object if the stored version equals aExpectedVersion, and
  // returns the new version.
  std::function<void(std::uint64_t aExpectedVersion,
                     std::string aJson,
                     Done<std::uint64_t>)>
    mPutConfig;

  // Returns the JSON document for a topic: "instances", "servers", "jobs",
  // "capacity", "burn" or "config/history".
  std::function<void(std::string aTopic, Done<std::string>)> mView;

  // Returns the metrics in the Prometheus text format. Must not block.
  std::function<std::string()> mMetrics;
  // Returns an error when the instance is not ready for requests. Must not
  // block.
  std::function<base::Expected<platform::Nothing>()> mReady;
};

} // namespace flamingoloom::frontend
