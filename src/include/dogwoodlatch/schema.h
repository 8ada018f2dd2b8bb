/// Validation of settings. One table per kind of file gives every key's type,
/// unit, bounds, default and description; the validator and the printed
/// reference both use it.
#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodlatch/error.h"

namespace dogwoodlatch {

enum class ValueType { kString, kInteger, kNumber, kBoolean, kObject, kArray };

/// Describes one key. `path` joins steps with '.'; '*' stands for any name,
/// "[]" for any element of an array.
struct KeySpec {
  std::string_view path;
  ValueType type;
  std::string_view unit;
  double minimum = 0;  ///< smallest number, or shortest string or array
  double maximum = 0;  ///< largest number, or longest string or array
  std::string_view default_value;  ///< JSON text; empty if the key is required
  std::string_view description;
};

/// Parses JSON with comments; returns kBadJson with the position on a syntax
/// error.
Result<nlohmann::json> ParseJsonWithComments(std::string_view text,
                                             std::string_view where);

/// All faults of `document` against `schema`, in document order; `where` names
/// the file or object.
std::vector<Error> FindFaults(const nlohmann::json& document,
                              std::span<const KeySpec> schema,
                              std::string_view where);

/// Returns `document` with the schema's defaults filled in; `document` must
/// have no faults.
nlohmann::json FillDefaults(const nlohmann::json& document,
                            std::span<const KeySpec> schema);

/// The value of a validated key that holds whole milliseconds.
std::chrono::milliseconds GetMilliseconds(const nlohmann::json& value);

/// The printed reference of `schema` for `settings explain`, one entry per key.
std::string Explain(std::span<const KeySpec> schema);

}  // namespace dogwoodlatch
