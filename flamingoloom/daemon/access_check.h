// Decides whether a key proves a role. Keys are compared by their SHA-256, so
// that neither settings nor configuration hold a key. Thread-safe.
#pragma once

#include <string>

#include "flamingoloom/base/error.h"
#include "flamingoloom/config/configuration.h"
#include "flamingoloom/frontend/frontend_handler.h"

namespace flamingoloom::daemon {

// eDenied when the key is missing or wrong. An empty digest means that the
// role is not checked. aConfiguration may be null before the first one.
base::Expected<platform::Nothing> CheckAccess(
  frontend::Role aRole,
  const base::AccountId& aAccount,
  const std::string& aKey,
  const std::string& aOperatorKeySha256,
  const config::Configuration* aConfiguration);

} // namespace flamingoloom::daemon
