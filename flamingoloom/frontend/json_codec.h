// JSON documents of the HTTP interface, for the front end and for clients such
// as the command line tool.
//
// Encode functions fail only for text that is no valid UTF-8. Decode functions
// reject unknown fields, except for documents that an instance answers:
// clients must accept fields that a newer instance adds. Thread-safe.
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

// Body of POST /v1/requests. The idempotency key is not part of it.
struct WaitLimits
{
  // For a body without "waitMs".
  base::Duration mDefault{};
  base::Duration mMax{};
};

base::Expected<std::string> EncodeSubmission(
  const control::CallerRequest& aRequest);
base::Expected<control::CallerRequest> DecodeSubmission(
  std::string_view aText,
  const WaitLimits& aLimits);

// Answer to the requests of callers. Encoding adds the length, and the digest
// where it is missing. Both directions check them: a digest or a length that
// does not belong to the answer is eBadAnswer.
base::Expected<std::string> EncodeAnswer(const control::CallerAnswer& aAnswer);
base::Expected<control::CallerAnswer> DecodeAnswer(std::string_view aText);

// --- Operators -----------------------------------------------------------

// Body of POST /v1/datacentres/<dc>. The data centre is not part of it.
base::Expected<std::string> EncodeDataCentreChange(
  const control::DataCentreChange& aChange);
base::Expected<control::DataCentreChange> DecodeDataCentreChange(
  std::string_view aText);

// Answer to a change.
base::Expected<std::string> EncodeDataCentre(
  const control::DataCentreView& aView);
base::Expected<control::DataCentreView> DecodeDataCentre(
  std::string_view aText);

// Answer of GET /v1/datacentres.
base::Expected<std::string> EncodeDataCentres(
  const std::vector<control::DataCentreView>& aViews);
base::Expected<std::vector<control::DataCentreView>> DecodeDataCentres(
  std::string_view aText);

// Body of PUT /v1/config; mVersion is the version that is expected to be
// stored.
base::Expected<std::string> EncodeConfigChange(const ConfigDocument& aChange);
base::Expected<ConfigDocument> DecodeConfigChange(std::string_view aText);

// Answer of GET /v1/config.
base::Expected<std::string> EncodeConfig(const ConfigDocument& aDocument);
base::Expected<ConfigDocument> DecodeConfig(std::string_view aText);

// Answer of PUT /v1/config.
std::string EncodeConfigVersion(std::uint64_t aVersion);
base::Expected<std::uint64_t> DecodeConfigVersion(std::string_view aText);

// --- Errors --------------------------------------------------------------

// Invalid UTF-8 in an error is replaced.
std::string EncodeError(const base::Error& aError);
base::Expected<base::Error> DecodeError(std::string_view aText);

} // namespace flamingoloom::frontend
