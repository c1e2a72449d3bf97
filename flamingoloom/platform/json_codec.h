// JSON representations of the port types, as sections 9.2 and 9.3 of
// docs/design.md define them. Used through the conversions of nlohmann::json:
//
//   std::string text = nlohmann::json(transaction).dump();
//   base::Expected<TaskStatus> status =
//     Decode<TaskStatus>(text, "start task", "server-7");
//
// The from_json functions throw nlohmann::json::exception when a document does
// not have the defined form; Decode converts the exception to an Error.
// Thread-safe.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "flamingoloom/platform/ports.h"

namespace flamingoloom::platform {

// Convert between enumerators and their stable names, such as "live", "running"
// and "checkpoint". TaskActionFromName throws nlohmann::json::exception when
// the name is unknown.
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

// Returns the error document {"error":{...}} for aError.
std::string EncodeError(const base::Error& aError);

// Serialises aValue; returns eInvalid when it contains a string that is not
// valid UTF-8.
base::Expected<std::string> EncodeJson(const nlohmann::json& aValue,
                                       const std::string& aStep,
                                       const std::string& aPeer);

// Parses aText as JSON and converts it to T; returns eBadAnswer when either
// fails.
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
