#include "testing/scenario/script.h"

#include <algorithm>
#include <map>
#include <sstream>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

namespace flamingoloom::testing::scenario {

namespace {

// CLI11 grammar of the language. Parsing a line fills mAction and mScript.
class Grammar
{
public:
  explicit Grammar(Script& aScript)
    : mScript(aScript)
  {
    mApp.require_subcommand(1);
    CLI::App* sweep = mApp.add_subcommand("sweep", "one run for each value");
    sweep->add_option("from", mScript.mSweepFrom)->required();
    sweep->add_option("to", mScript.mSweepTo)->required();
    mAt = mApp.add_subcommand("at", "an action at a time such as 1500ms");
    mAt->require_subcommand(1);
    AddTime(*mAt, "time", mAction.mAt)->required();

    CLI::App* kill = AddVerb("kill", "an instance crashes", 1);
    kill->add_option(
      "--at-message",
      mAction.mCount,
      "it crashes in place of sending its n-th message from now");
    AddVerb("start", "a new instance starts", 1);
    CLI::App* freeze = AddVerb("freeze", "an instance is paused", 1);
    freeze->add_flag("--before-start",
                     mAction.mFlag,
                     "just before it sends the next start of a task");
    AddVerb("thaw", "a paused instance continues", 1);
    AddVerb("cut", "a network partition between two sides", 2);
    AddVerb(
      "heal", "ends a network partition; without names, ends all faults", 0);
    AddProbability(*AddVerb("store", "up, down, slow or loses-answers", 1));
    AddOperatorOptions(*AddVerb(
      "take-out", "an operator takes a data centre out of service", 1));
    AddOperatorOptions(
      *AddVerb("bring-back", "an operator returns it to service", 1));
    CLI::App* submit =
      AddVerb("submit", "a caller sends a request of a kind", 1);
    submit->add_option("--account", mAction.mAccount);
    submit->add_option("--key", mAction.mKey)->required();
    submit->add_option("--payload", mAction.mPayload);
    submit->add_option("--at", mAction.mInstance);
    submit->add_option("--again-at", mAction.mRepeatedAt);
    AddTime(*submit, "--wait", mAction.mWait);
    AddTime(*submit, "--starts-within", mStartsWithin);
    CLI::App* cancel = AddVerb("cancel", "a caller cancels account/key", 1);
    cancel->add_option("--at", mAction.mInstance);
    AddVerb("stop", "an instance stops as planned", 1);
    CLI::App* leave = AddVerb("leave-server", "a backend server drains", 1);
    leave->add_flag("--accepts", mAction.mFlag, "it still accepts new tasks");
    AddVerb("kill-server", "a backend server crashes", 1);
    AddVerb("start-server", "a new backend server starts", 1);
    AddVerb("break-server", "a backend server fails every task", 1);
    AddVerb("repair-server", "a backend server works again", 1);
    AddProbability(
      *AddVerb("mix-answers", "a server sends wrong or truncated answers", 1));
    CLI::App* config =
      AddVerb("put-config", "an operator puts a new configuration", 0);
    config->add_option("--at", mAction.mInstance);
    AddVerb("expect",
            "request account/key state..., out data-centre, in data-centre, "
            "or config",
            1)
      ->get_option("names")
      ->expected(1, 10);
    AddVerb("end", "the run ends", 0);
  }

  void Parse(const std::string& aLine)
  {
    mAction = {};
    mStartsWithin = base::Duration(-1);
    std::istringstream stream(aLine);
    std::vector<std::string> words{ std::istream_iterator<std::string>(stream),
                                    {} };
    std::ranges::reverse(words);
    mApp.parse(words);
    if (mAt->parsed()) {
      mAction.mVerb = mAt->get_subcommands().front()->get_name();
      if (mStartsWithin >= base::Duration::zero()) {
        mAction.mStartsWithin = mStartsWithin;
      }
      mScript.mActions.push_back(mAction);
    }
  }

  std::string Help() { return mApp.help("", CLI::AppFormatMode::All); }

private:
  CLI::App* AddVerb(const char* aName, const char* aText, int aNames)
  {
    CLI::App* verb = mAt->add_subcommand(aName, aText);
    CLI::Option* names = verb->add_option("names", mAction.mNames);
    aNames > 0 ? names->required()->expected(aNames) : names->expected(0, 2);
    return verb;
  }

  static CLI::Option* AddTime(CLI::App& aApp,
                              const char* aName,
                              base::Duration& aTime)
  {
    return aApp
      .add_option_function<double>(
        aName,
        [&aTime](double aMicroseconds) {
          aTime = base::Duration(static_cast<std::int64_t>(aMicroseconds));
        })
      ->transform(CLI::AsNumberWithUnit(
        std::map<std::string, double>{
          { "us", 1 }, { "ms", 1e3 }, { "s", 1e6 } },
        CLI::AsNumberWithUnit::UNIT_REQUIRED));
  }

  void AddProbability(CLI::App& aVerb)
  {
    aVerb.add_option("--probability", mAction.mProbability)
      ->check(CLI::Range(0.0, 1.0));
  }

  void AddOperatorOptions(CLI::App& aVerb)
  {
    aVerb.add_option("--operator", mAction.mOperator);
    aVerb.add_option("--at", mAction.mInstance);
  }

  Script& mScript;
  Action mAction;
  base::Duration mStartsWithin{};
  CLI::App mApp{ "scenario language", "" };
  CLI::App* mAt = nullptr;
};

} // namespace

base::Expected<Script> ParseScript(std::string_view aText, int aSweep)
{
  Script script;
  Grammar grammar(script);
  std::istringstream lines{ std::string(aText) };
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    line = line.substr(0, line.find('#'));
    if (line.find_first_not_of(" \t\r") == std::string::npos) {
      continue;
    }
    if (std::size_t position = line.find("%n"); position != std::string::npos) {
      line.replace(position, 2, std::to_string(aSweep));
    }
    try {
      grammar.Parse(line);
    } catch (const CLI::Error& error) {
      return base::MakeError(
        base::ErrorCode::eInvalid,
        "parse scenario",
        "",
        fmt::format("line {}: {}: {}", number, line, error.what()));
    }
  }
  std::ranges::stable_sort(script.mActions, {}, &Action::mAt);
  return script;
}

std::string DescribeVerbs()
{
  Script script;
  return Grammar(script).Help();
}

} // namespace flamingoloom::testing::scenario
