// JSON documents of the HTTP API, for the front end and for clients such as the
// command line tool.
//
// Encode functions fail for text that is not valid UTF-8, and for a
// configuration that is not valid JSON. Decode functions reject unknown fields
// in request bodies, but accept them in response bodies, because a newer
// instance may add fields. Thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/control/api.h"
#include "flamingoloom/frontend/frontend_handler.h"

namespace flamingoloom::frontend {

// --- Callers -------------------------------------------------------------

// The wait of a submission.
struct WaitLimits
{
  // Used for a body without "waitMs".
  base::Duration mDefault{};
  base::Duration mMax{};
};

// Body of POST /v1/requests, without the idempotency key, which is a header.
base::Expected<std::string> EncodeSubmission(
  const control::CallerRequest& aRequest);
base::Expected<control::CallerRequest> DecodeSubmission(
  std::string_view aText,
  const WaitLimits& aLimits);

// Response body for the requests of callers. Encoding adds the length of the
// answer, and its digest when mAnswerSha256 is empty. Both functions return
// eBadAnswer when the digest does not match the answer. Decoding returns
// eInvalid when the length does not match.
base::Expected<std::string> EncodeAnswer(const control::CallerAnswer& aAnswer);
base::Expected<control::CallerAnswer> DecodeAnswer(std::string_view aText);

// --- Operators -----------------------------------------------------------

// Body of POST /v1/datacentres/<dc>, without the data centre, which is in the
// path.
base::Expected<std::string> EncodeDataCentreChange(
  const control::DataCentreChange& aChange);
base::Expected<control::DataCentreChange> DecodeDataCentreChange(
  std::string_view aText);

// Response body of POST /v1/datacentres/<dc>.
base::Expected<std::string> EncodeDataCentre(
  const control::DataCentreView& aView);
base::Expected<control::DataCentreView> DecodeDataCentre(
  std::string_view aText);

// Response body of GET /v1/datacentres.
base::Expected<std::string> EncodeDataCentres(
  const std::vector<control::DataCentreView>& aViews);
base::Expected<std::vector<control::DataCentreView>> DecodeDataCentres(
  std::string_view aText);

// Body of PUT /v1/config; mVersion is the expected stored version.
base::Expected<std::string> EncodeConfigChange(const ConfigDocument& aChange);
base::Expected<ConfigDocument> DecodeConfigChange(std::string_view aText);

// Response body of GET /v1/config.
base::Expected<std::string> EncodeConfig(const ConfigDocument& aDocument);
base::Expected<ConfigDocument> DecodeConfig(std::string_view aText);

// Response body of PUT /v1/config.
std::string EncodeConfigVersion(std::uint64_t aVersion);
base::Expected<std::uint64_t> DecodeConfigVersion(std::string_view aText);

// --- Errors --------------------------------------------------------------

// Body of an error response. Invalid UTF-8 is replaced by U+FFFD.
std::string EncodeError(const base::Error& aError);
base::Expected<base::Error> DecodeError(std::string_view aText);

} // namespace flamingoloom::frontend
