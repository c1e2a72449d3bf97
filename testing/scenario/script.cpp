#include "testing/scenario/script.h"

#include <algorithm>
#include <map>
#include <sstream>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

namespace flamingoloom::testing::scenario {

namespace {

// The grammar, which writes what it reads into mAction and mScript.
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

    CLI::App* kill = Verb("kill", "an instance dies", 1);
    kill->add_option("--at-message",
                     mAction.mCount,
                     "it dies instead of sending its n-th message from now");
    Verb("start", "a new instance starts", 1);
    CLI::App* freeze = Verb("freeze", "an instance is paused", 1);
    freeze->add_flag("--before-start",
                     mAction.mFlag,
                     "when it is about to send the start of a task");
    Verb("thaw", "a paused instance continues", 1);
    Verb("cut", "two sides cannot reach each other", 2);
    Verb("heal", "ends a cut; without names ends all faults", 0);
    Probability(*Verb("store", "up, down, slow or loses-answers", 1));
    Operators(*Verb("take-out", "operators take out a data centre", 1));
    Operators(*Verb("bring-back", "operators bring it back", 1));
    CLI::App* submit = Verb("submit", "a caller sends a request of a kind", 1);
    submit->add_option("--account", mAction.mAccount);
    submit->add_option("--key", mAction.mKey)->required();
    submit->add_option("--payload", mAction.mPayload);
    submit->add_option("--at", mAction.mInstance);
    submit->add_option("--again-at", mAction.mRepeatedAt);
    AddTime(*submit, "--wait", mAction.mWait);
    AddTime(*submit, "--starts-within", mStartsWithin);
    CLI::App* cancel = Verb("cancel", "a caller cancels account/key", 1);
    cancel->add_option("--at", mAction.mInstance);
    Verb("stop", "an instance leaves as planned", 1);
    CLI::App* leave = Verb("leave-server", "a backend server leaves", 1);
    leave->add_flag(
      "--accepts", mAction.mFlag, "it does not refuse new work itself");
    Verb("kill-server", "a backend server dies", 1);
    Verb("start-server", "a new backend server starts", 1);
    Verb("break-server", "a backend server fails every task", 1);
    Verb("repair-server", "it does not any more", 1);
    Probability(*Verb("mix-answers", "a server's answers are mixed up", 1));
    CLI::App* config = Verb("put-config", "a new configuration", 0);
    config->add_option("--at", mAction.mInstance);
    Verb("expect",
         "request account/key state..., out data-centre, in data-centre, "
         "or config",
         1)
      ->get_option("names")
      ->expected(1, 10);
    Verb("end", "the run ends", 0);
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
  CLI::App* Verb(const char* aName, const char* aText, int aNames)
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

  void Probability(CLI::App& aVerb)
  {
    aVerb.add_option("--probability", mAction.mProbability)
      ->check(CLI::Range(0.0, 1.0));
  }

  void Operators(CLI::App& aVerb)
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
    if (std::size_t place = line.find("%n"); place != std::string::npos) {
      line.replace(place, 2, std::to_string(aSweep));
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
