// Declaration of a subcommand: its options, its help and its handler.
//
// Subcommands are declared as data, so that only command_line.cpp depends on
// the parser library CLI11.
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
  // A whole number that is not negative.
  eNumber,
  // A number with a unit, such as "10 s".
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
  // Value of an option that is not given; empty for no default.
  std::string mDefault;
};

// The values of a subcommand's options, by the name in OptionSpec. The parser
// has checked that each value has the form that the option's type requires.
class Arguments
{
public:
  void Set(const std::string& aName, std::string aValue)
  {
    mValues[aName] = std::move(aValue);
  }

  bool Has(const std::string& aName) const { return mValues.contains(aName); }

  // Returns an empty string when the option was not given and has no default.
  std::string Text(const std::string& aName) const;
  // Returns nullopt when the option was not given and has no default.
  std::optional<std::uint64_t> Number(const std::string& aName) const;
  // Returns zero when the option was not given and has no default.
  base::Duration Duration(const std::string& aName) const;

private:
  std::map<std::string, std::string> mValues;
};

struct Context
{
  Console& mConsole;
  // Null when the subcommand has mNeedsServer == false.
  ApiClient* mClient = nullptr;
  config::Environment mEnvironment;
  // Whether to print JSON instead of text.
  bool mIsJson = false;
};

struct Command
{
  // Words that select the subcommand, such as {"config", "show"}.
  std::vector<std::string> mPath;
  std::string mSummary;
  // A complete command line, for the help.
  std::string mExample;
  std::vector<OptionSpec> mOptions;
  // Whether the subcommand calls an instance.
  bool mNeedsServer = true;
  std::function<base::Expected<ExitCode>(Context&, const Arguments&)> mRun;
};

using Commands = std::vector<Command>;

} // namespace flamingoloom::cli
