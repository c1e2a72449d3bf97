// What a subcommand of the program is: its options, its help and what it does.
//
// Each group of subcommands describes itself as data, so that only the command
// line reader depends on CLI11.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/cli/api_client.h"
#include "flamingoloom/cli/console.h"
#include "flamingoloom/cli/exit_code.h"
#include "flamingoloom/config/settings.h"

namespace flamingoloom::cli {

enum class OptionType
{
  eText,
  // A whole number, 0 or more.
  eNumber,
  // Such as "10 s".
  eDuration,
  eFlag,
};

struct OptionSpec
{
  // "--account", or "account" for a positional argument.
  std::string mName;
  OptionType mType = OptionType::eText;
  std::string mHelp;
  bool mIsRequired = false;
  // Value when the option is left out; empty for none.
  std::string mDefault;
};

// The values of a subcommand's options, by name. They have the form that the
// option's type requires.
class Arguments
{
public:
  void Set(const std::string& aName, std::string aValue)
  {
    mValues[aName] = std::move(aValue);
  }

  bool Has(const std::string& aName) const { return mValues.contains(aName); }

  // Empty when the option was left out.
  std::string Text(const std::string& aName) const;
  std::optional<std::uint64_t> Number(const std::string& aName) const;
  // Zero when the option was left out.
  base::Duration Duration(const std::string& aName) const;

private:
  std::map<std::string, std::string> mValues;
};

struct Context
{
  Console& mConsole;
  // Null for subcommands that need no instance.
  ApiClient* mClient = nullptr;
  config::Environment mEnvironment;
  // Print JSON for programs instead of text for people.
  bool mIsJson = false;
};

struct Command
{
  // Such as {"config", "show"}.
  std::vector<std::string> mPath;
  std::string mSummary;
  // A command line as it would be typed.
  std::string mExample;
  std::vector<OptionSpec> mOptions;
  bool mNeedsServer = true;
  std::function<base::Expected<ExitCode>(Context&, const Arguments&)> mRun;
};

using Commands = std::vector<Command>;

} // namespace flamingoloom::cli
