#include "flamingoloom/config/answers.h"

namespace flamingoloom::config {
namespace {

constexpr std::string_view kSchema = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "answers to the flamingoloom questionnaire",
  "type": "object",
  "description": "an object",
  "required": ["deployment", "dataCentres", "accounts", "guarantees", "kinds"],
  "additionalProperties": {"not": {}},
  "definitions": {
    "id": {
      "type": "string",
      "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$",
      "description": "a name of 1 to 63 letters, digits, '.', '_' or '-'"
    },
    "yesNo": {"type": "boolean", "description": "true or false"},
    "size": {
      "type": "integer", "minimum": 1, "maximum": 1000,
      "description": "a whole number from 1 to 1000"
    },
    "durationMs": {
      "type": "integer", "minimum": 1, "maximum": 31536000000,
      "description": "a whole number of milliseconds, at most one year"
    },
    "dataCentre": {
      "type": "object",
      "description": "an object that describes a data centre",
      "required": ["name", "region", "racks", "serversPerRack",
                   "acceleratorsPerServer"],
      "additionalProperties": {"not": {}},
      "properties": {
        "name": {"$ref": "#/definitions/id"},
        "region": {"$ref": "#/definitions/id"},
        "racks": {"$ref": "#/definitions/size"},
        "serversPerRack": {"$ref": "#/definitions/size"},
        "acceleratorsPerServer": {"$ref": "#/definitions/size"}
      }
    },
    "account": {
      "type": "object",
      "description": "an object that describes a client account",
      "required": ["name", "share"],
      "additionalProperties": {"not": {}},
      "properties": {
        "name": {"$ref": "#/definitions/id"},
        "share": {"$ref": "#/definitions/size"},
        "limitAccelerators": {
          "type": ["integer", "null"], "minimum": 0, "maximum": 1000000,
          "description": "a whole number from 0 to 1000000, or null for none"
        },
        "keySha256": {
          "type": "string", "pattern": "^([0-9a-f]{64})?$",
          "description": "64 lower-case hexadecimal digits, or empty"
        }
      }
    },
    "guarantee": {
      "type": "object",
      "description": "an object that describes a guarantee",
      "required": ["account", "accelerators", "blocks"],
      "additionalProperties": {"not": {}},
      "properties": {
        "account": {"$ref": "#/definitions/id"},
        "accelerators": {
          "type": "integer", "minimum": 1, "maximum": 128,
          "description":
            "a whole number from 1 to 128; guarantee more as several blocks"
        },
        "blocks": {"$ref": "#/definitions/size"}
      }
    },
    "kind": {
      "type": "object",
      "description": "an object that describes a kind of job",
      "required": ["name", "answerWithinMs", "usualRunTimeMs", "mayRunTwice",
                   "mayBeLost", "mayWaitOvernight", "goesFirst", "tasks",
                   "acceleratorsPerTask", "nextToEachOther",
                   "canBeCheckpointed", "mayGiveWay"],
      "additionalProperties": {"not": {}},
      "properties": {
        "name": {"$ref": "#/definitions/id"},
        "answerWithinMs": {"$ref": "#/definitions/durationMs"},
        "lateAnswerIsUseful": {"$ref": "#/definitions/yesNo"},
        "usualRunTimeMs": {"$ref": "#/definitions/durationMs"},
        "mayRunTwice": {"$ref": "#/definitions/yesNo"},
        "mayBeLost": {"$ref": "#/definitions/yesNo"},
        "mayWaitOvernight": {"$ref": "#/definitions/yesNo"},
        "goesFirst": {"$ref": "#/definitions/yesNo"},
        "tasks": {"$ref": "#/definitions/size"},
        "acceleratorsPerTask": {
          "type": "integer", "minimum": 0, "maximum": 1000,
          "description": "a whole number from 0 to 1000"
        },
        "nextToEachOther": {"$ref": "#/definitions/yesNo"},
        "canBeCheckpointed": {"$ref": "#/definitions/yesNo"},
        "mayGiveWay": {"$ref": "#/definitions/yesNo"},
        "inTimePercent": {
          "type": "number", "minimum": 1, "maximum": 99.999,
          "description": "a percentage from 1 to 99.999"
        }
      }
    }
  },
  "properties": {
    "deployment": {
      "type": "string", "minLength": 1, "maxLength": 200,
      "description": "a text of 1 to 200 characters"
    },
    "dataCentres": {
      "type": "array", "minItems": 1,
      "description": "a list of at least one data centre",
      "items": {"$ref": "#/definitions/dataCentre"}
    },
    "accounts": {
      "type": "array", "minItems": 1,
      "description": "a list of at least one client account",
      "items": {"$ref": "#/definitions/account"}
    },
    "guarantees": {
      "type": "array", "description": "a list of guarantees",
      "items": {"$ref": "#/definitions/guarantee"}
    },
    "kinds": {
      "type": "array", "minItems": 1,
      "description": "a list of at least one kind of job",
      "items": {"$ref": "#/definitions/kind"}
    }
  }
})json";

} // namespace

std::string_view AnswersSchema()
{
  return kSchema;
}

} // namespace flamingoloom::config
