#include "flamingoloom/config/configuration_schema.h"

namespace flamingoloom::config::internal {
namespace {

constexpr std::string_view kSchema = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "flamingoloom configuration",
  "type": "object",
  "description": "an object",
  "required": ["version", "deployment", "dataCentres", "accounts", "kinds",
               "guarantees", "assignments"],
  "additionalProperties": {"not": {}},
  "definitions": {
    "id": {
      "type": "string",
      "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$",
      "description": "a name of 1 to 63 letters, digits, '.', '_' or '-'"
    },
    "flag": {"type": "boolean", "description": "true or false"},
    "positive": {
      "type": "integer", "minimum": 1, "maximum": 1000000,
      "description": "a whole number from 1 to 1000000"
    },
    "size": {
      "type": "integer", "minimum": 0, "maximum": 1000,
      "description": "a whole number from 0 to 1000"
    },
    "durationUs": {
      "type": "integer", "minimum": 0, "maximum": 31536000000000,
      "description": "a whole number of microseconds, at most one year"
    },
    "shape": {
      "enum": [1, 2, 4, 8, 16, 32, 64, 128],
      "description": "a power of two from 1 to 128"
    },
    "dataCentre": {
      "type": "object",
      "description": "an object that describes a data centre",
      "required": ["id", "region", "racks", "serversPerRack",
                   "acceleratorsPerServer"],
      "additionalProperties": {"not": {}},
      "properties": {
        "id": {"$ref": "#/definitions/id"},
        "region": {"$ref": "#/definitions/id"},
        "racks": {"$ref": "#/definitions/size"},
        "serversPerRack": {"$ref": "#/definitions/size"},
        "acceleratorsPerServer": {"$ref": "#/definitions/size"}
      }
    },
    "account": {
      "type": "object",
      "description": "an object that describes a client account",
      "required": ["id", "weight", "quotaAccelerators", "keySha256"],
      "additionalProperties": {"not": {}},
      "properties": {
        "id": {"$ref": "#/definitions/id"},
        "weight": {"$ref": "#/definitions/positive"},
        "quotaAccelerators": {
          "type": ["integer", "null"], "minimum": 0, "maximum": 1000000,
          "description": "a whole number from 0 to 1000000, or null for none"
        },
        "keySha256": {
          "type": "string", "pattern": "^([0-9a-f]{64})?$",
          "description": "64 lower-case hexadecimal digits, or empty"
        }
      }
    },
    "kind": {
      "type": "object",
      "description": "an object that describes a kind of job",
      "required": ["id", "idempotent", "durable", "checkpointable",
                   "preemptible", "priority", "targetUs", "deadlineUs",
                   "declaredRunTimeUs", "tasks", "acceleratorsPerTask",
                   "adjacent", "objective"],
      "additionalProperties": {"not": {}},
      "properties": {
        "id": {"$ref": "#/definitions/id"},
        "idempotent": {"$ref": "#/definitions/flag"},
        "durable": {"$ref": "#/definitions/flag"},
        "checkpointable": {"$ref": "#/definitions/flag"},
        "preemptible": {"$ref": "#/definitions/flag"},
        "priority": {
          "enum": ["overnight", "normal", "urgent"],
          "description": "\"overnight\", \"normal\" or \"urgent\""
        },
        "targetUs": {"$ref": "#/definitions/durationUs"},
        "deadlineUs": {"$ref": "#/definitions/durationUs"},
        "declaredRunTimeUs": {"$ref": "#/definitions/durationUs"},
        "tasks": {
          "type": "integer", "minimum": 1, "maximum": 1000,
          "description": "a whole number from 1 to 1000"
        },
        "acceleratorsPerTask": {"$ref": "#/definitions/size"},
        "adjacent": {"$ref": "#/definitions/flag"},
        "objective": {
          "type": "number", "minimum": 0, "maximum": 1,
          "description": "a share from 0 to 1"
        }
      }
    },
    "guarantee": {
      "type": "object",
      "description": "an object that describes a guarantee",
      "required": ["account", "shapeAccelerators", "count"],
      "additionalProperties": {"not": {}},
      "properties": {
        "account": {"$ref": "#/definitions/id"},
        "shapeAccelerators": {"$ref": "#/definitions/shape"},
        "count": {"$ref": "#/definitions/positive"}
      }
    },
    "assignment": {
      "type": "object",
      "description": "an object that assigns a guarantee to a data centre",
      "required": ["dataCentre", "account", "shapeAccelerators", "count"],
      "additionalProperties": {"not": {}},
      "properties": {
        "dataCentre": {"$ref": "#/definitions/id"},
        "account": {"$ref": "#/definitions/id"},
        "shapeAccelerators": {"$ref": "#/definitions/shape"},
        "count": {"$ref": "#/definitions/positive"}
      }
    }
  },
  "properties": {
    "version": {
      "type": "integer", "minimum": 0,
      "description": "a whole number from 0 to 9223372036854775807"
    },
    "deployment": {"type": "string", "description": "a text"},
    "dataCentres": {
      "type": "array", "description": "a list of data centres",
      "items": {"$ref": "#/definitions/dataCentre"}
    },
    "accounts": {
      "type": "array", "description": "a list of client accounts",
      "items": {"$ref": "#/definitions/account"}
    },
    "kinds": {
      "type": "array", "description": "a list of job kinds",
      "items": {"$ref": "#/definitions/kind"}
    },
    "guarantees": {
      "type": "array", "description": "a list of guarantees",
      "items": {"$ref": "#/definitions/guarantee"}
    },
    "assignments": {
      "type": "array", "description": "a list of assignments",
      "items": {"$ref": "#/definitions/assignment"}
    }
  }
})json";

} // namespace

std::string_view ConfigurationSchema()
{
  return kSchema;
}

} // namespace flamingoloom::config::internal
