#include "flamingoloom/config/settings.h"

namespace flamingoloom::config {
namespace {

constexpr std::string_view kSchema = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "flamingoloomd settings",
  "type": "object",
  "description": "an object",
  "required": ["instance", "listen", "platform"],
  "additionalProperties": {"not": {}},
  "definitions": {
    "id": {
      "type": "string",
      "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$",
      "description": "a name of 1 to 63 letters, digits, '.', '_' or '-'"
    },
    "address": {
      "type": "string",
      "description": "an IP address and a port, such as \"192.0.2.1:8080\""
    }
  },
  "properties": {
    "instance": {
      "type": "object",
      "description": "an object with id, dataCentre and region",
      "required": ["id", "dataCentre", "region"],
      "additionalProperties": {"not": {}},
      "properties": {
        "id": {"$ref": "#/definitions/id"},
        "dataCentre": {"$ref": "#/definitions/id"},
        "region": {"$ref": "#/definitions/id"}
      }
    },
    "listen": {
      "type": "object",
      "description": "an object with httpAddress and peerAddress",
      "required": ["httpAddress", "peerAddress"],
      "additionalProperties": {"not": {}},
      "properties": {
        "httpAddress": {"$ref": "#/definitions/address"},
        "peerAddress": {"$ref": "#/definitions/address"}
      }
    },
    "platform": {
      "type": "object",
      "description": "an object with address",
      "required": ["address"],
      "additionalProperties": {"not": {}},
      "properties": {
        "address": {"$ref": "#/definitions/address"}
      }
    },
    "logs": {
      "type": "object",
      "description": "an object with format and level",
      "additionalProperties": {"not": {}},
      "properties": {
        "format": {
          "enum": ["keyValue", "json"],
          "description": "\"keyValue\" or \"json\""
        },
        "level": {
          "enum": ["debug", "info", "warning", "error"],
          "description": "\"debug\", \"info\", \"warning\" or \"error\""
        }
      }
    },
    "limits": {
      "type": "object",
      "description": "an object",
      "additionalProperties": {"not": {}},
      "properties": {
        "maxBodyBytes": {
          "type": "integer", "minimum": 1024, "maximum": 1073741824,
          "description": "a whole number of bytes from 1024 to 1073741824"
        },
        "maxHeaderBytes": {
          "type": "integer", "minimum": 1024, "maximum": 1048576,
          "description": "a whole number of bytes from 1024 to 1048576"
        },
        "maxRequestMemoryBytes": {
          "type": "integer", "minimum": 1048576, "maximum": 1099511627776,
          "description": "a whole number of bytes from 1048576 to 1099511627776"
        },
        "maxConnections": {
          "type": "integer", "minimum": 1, "maximum": 65536,
          "description": "a whole number from 1 to 65536"
        },
        "httpThreads": {
          "type": "integer", "minimum": 1, "maximum": 1024,
          "description": "a whole number from 1 to 1024"
        }
      }
    },
    "keys": {
      "type": "object",
      "description": "an object",
      "additionalProperties": {"not": {}},
      "properties": {
        "operatorKeySha256": {
          "type": "string", "pattern": "^[0-9a-f]{64}$",
          "description": "64 lower-case hexadecimal digits"
        },
        "operatorKeySha256Variable": {
          "type": "string", "pattern": "^[A-Za-z_][A-Za-z0-9_]*$",
          "description": "the name of an environment variable"
        }
      }
    },
    "ownership": {
      "type": "object",
      "description": "an object",
      "additionalProperties": {"not": {}},
      "properties": {
        "leaseMs": {
          "type": "integer", "minimum": 500, "maximum": 60000,
          "description": "a whole number of milliseconds from 500 to 60000"
        },
        "renewMs": {
          "type": "integer", "minimum": 50, "maximum": 30000,
          "description": "a whole number of milliseconds from 50 to 30000"
        },
        "storeDownPolicy": {
          "enum": ["stop", "promises"],
          "description": "\"stop\" or \"promises\""
        }
      }
    }
  }
})json";

} // namespace

std::string_view SettingsSchema()
{
  return kSchema;
}

} // namespace flamingoloom::config
