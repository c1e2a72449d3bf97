// Authenticates callers and operators by their API keys. Keys are compared by
// their SHA-256 digests, so that neither the settings nor the configuration
// contains a key. Thread-safe.
#pragma once

#include <string>

#include "flamingoloom/base/error.h"
#include "flamingoloom/config/configuration.h"
#include "flamingoloom/frontend/frontend_handler.h"

namespace flamingoloom::daemon {

// Returns eDenied when the key is missing or wrong. Access is granted without a
// check when no digest is set for the role or for the client account, or when
// the account is unknown. aConfiguration may be null while no configuration is
// stored.
base::Expected<platform::Nothing> CheckAccess(
  frontend::Role aRole,
  const base::AccountId& aAccount,
  const std::string& aKey,
  const std::string& aOperatorKeySha256,
  const config::Configuration* aConfiguration);

} // namespace flamingoloom::daemon
