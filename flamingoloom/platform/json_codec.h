// JSON forms of the port types, as sections 9.2 and 9.3 of docs/design.md
// define them. Used through nlohmann::json's conversions:
//
//   std::string text = nlohmann::json(transaction).dump();
//   base::Expected<TaskStatus> status =
//     Decode<TaskStatus>(text, "start task", "server-7");
//
// The from_json functions throw nlohmann::json::exception on a document of
// another form; Decode turns that into an Error. Thread-safe.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "flamingoloom/platform/ports.h"

namespace flamingoloom::platform {

// Stable names such as "live", "running" and "checkpoint". The functions that
// read a name throw nlohmann::json::exception when it is unknown.
std::string_view MemberKindName(MemberKind aKind);
std::string_view MemberStateName(MemberState aState);
std::string_view TaskStateName(TaskState aState);
std::string_view TaskActionName(TaskAction aAction);
TaskAction TaskActionFromName(std::string_view aName);

void to_json(nlohmann::json& aJson, const Row& aRow);
void from_json(const nlohmann::json& aJson, Row& aRow);
void to_json(nlohmann::json& aJson, const Transaction& aTransaction);
void from_json(const nlohmann::json& aJson, Transaction& aTransaction);
void to_json(nlohmann::json& aJson, const TransactionResult& aResult);
void from_json(const nlohmann::json& aJson, TransactionResult& aResult);
void to_json(nlohmann::json& aJson, const Member& aMember);
void from_json(const nlohmann::json& aJson, Member& aMember);
void to_json(nlohmann::json& aJson, const MemberList& aList);
void from_json(const nlohmann::json& aJson, MemberList& aList);
// "request" holds the idempotency key and "account" the client account.
void to_json(nlohmann::json& aJson, const TaskStart& aStart);
void from_json(const nlohmann::json& aJson, TaskStart& aStart);
void to_json(nlohmann::json& aJson, const TaskStatus& aStatus);
void from_json(const nlohmann::json& aJson, TaskStatus& aStatus);

// The body {"error":{...}} for aError.
std::string EncodeError(const base::Error& aError);

// aValue as text; eInvalid when it holds text that is not UTF-8.
base::Expected<std::string> EncodeJson(const nlohmann::json& aValue,
                                       const std::string& aStep,
                                       const std::string& aPeer);

// Reads a T, or answers eBadAnswer.
template <class T>
base::Expected<T> Decode(std::string_view aText,
                         const std::string& aStep,
                         const std::string& aPeer)
{
  try {
    return nlohmann::json::parse(aText).get<T>();
  } catch (const nlohmann::json::exception& error) {
    return base::MakeError(
      base::ErrorCode::eBadAnswer, aStep, aPeer, error.what());
  }
}

} // namespace flamingoloom::platform
