// Runs over every key of the team schema: a fault in a key must be reported
// under the key's path.

#include "dogwoodlatch/schema.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "dogwoodlatch/settings.h"

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;

bool HasKey(std::string_view path) {
  return std::ranges::any_of(
      TeamSchema(), [path](const KeySpec& spec) { return spec.path == path; });
}

// Whether `spec` is directly below `parent`.
bool IsChildOf(const KeySpec& spec, const std::string& parent) {
  if (spec.path.ends_with("[]")) return spec.path == parent + "[]";
  const size_t dot = spec.path.rfind('.');
  const std::string_view above =
      dot == std::string_view::npos ? "" : spec.path.substr(0, dot);
  return above == parent;
}

std::string ExampleName(const KeySpec& spec) {
  const std::string_view step = spec.path.substr(spec.path.rfind('.') + 1);
  return step == "*" ? "name" : std::string(step);
}

Json ValidValue(const KeySpec& spec);

Json ValidObject(const std::string& path) {
  Json object = Json::object();
  for (const KeySpec& spec : TeamSchema()) {
    if (IsChildOf(spec, path) && !spec.path.ends_with("[]")) {
      object[ExampleName(spec)] = ValidValue(spec);
    }
  }
  return object;
}

// A value of the key's type within its bounds, with all keys below it set.
Json ValidValue(const KeySpec& spec) {
  const std::string path(spec.path);
  switch (spec.type) {
    case ValueType::kString:
      return std::string(static_cast<size_t>(std::max(spec.minimum, 1.0)), 'a');
    case ValueType::kInteger:
      return static_cast<int64_t>(spec.minimum);
    case ValueType::kNumber:
      return spec.minimum;
    case ValueType::kBoolean:
      return true;
    case ValueType::kObject:
      return ValidObject(path);
    case ValueType::kArray:
      break;
  }
  Json array = Json::array();
  for (const KeySpec& element : TeamSchema()) {
    if (element.path == path + "[]") array.push_back(ValidValue(element));
  }
  return array;
}

// The value of a key within ValidObject("").
Json& FindValue(Json& document, std::string_view path) {
  Json* place = &document;
  while (!path.empty()) {
    const size_t end = std::min(path.find('.'), path.size());
    std::string_view step = path.substr(0, end);
    path.remove_prefix(std::min(end + 1, path.size()));
    const bool is_element = step.ends_with("[]");
    if (is_element) step.remove_suffix(2);
    place = &(*place)[step == "*" ? "name" : std::string(step)];
    if (is_element) place = &(*place)[0];
  }
  return *place;
}

// The path under which a fault of the key is reported.
std::string PathInFault(std::string_view path) {
  std::string text(path);
  for (size_t at = text.find('*'); at != std::string::npos;
       at = text.find('*')) {
    text.replace(at, 1, "name");
  }
  for (size_t at = text.find("[]"); at != std::string::npos;
       at = text.find("[]")) {
    text.replace(at, 2, "[0]");
  }
  return text;
}

bool HasFault(const Json& document, ErrorCode code, const std::string& path) {
  const std::vector<Error> faults = FindTeamFaults(document, "settings/a");
  return std::ranges::any_of(faults, [&](const Error& fault) {
    return fault.code == code && fault.where == "settings/a: " + path;
  });
}

Json TooLarge(const KeySpec& spec, const Json& valid) {
  const auto above = static_cast<size_t>(spec.maximum) + 1;
  if (valid.is_string()) return std::string(above, 'a');
  if (valid.is_number_integer()) return static_cast<int64_t>(above);
  if (valid.is_number()) return spec.maximum + 1;
  return std::vector<Json>(above, valid.empty() ? Json() : valid.front());
}

}  // namespace

TEST_CASE("every key accepts a value within its bounds") {
  CHECK(FindTeamFaults(ValidObject(""), "settings/a").empty());
}

TEST_CASE("a value of the wrong type is reported under its path") {
  for (const KeySpec& spec : TeamSchema()) {
    INFO(spec.path);
    Json document = ValidObject("");
    Json& value = FindValue(document, spec.path);
    value = value.is_string() ? Json(1) : Json("text");
    CHECK(HasFault(document, ErrorCode::kWrongType, PathInFault(spec.path)));
  }
}

TEST_CASE("a value above its bound is reported under its path") {
  for (const KeySpec& spec : TeamSchema()) {
    if (spec.type == ValueType::kObject || spec.type == ValueType::kBoolean) {
      continue;
    }
    INFO(spec.path);
    Json document = ValidObject("");
    Json& value = FindValue(document, spec.path);
    value = TooLarge(spec, value);
    CHECK(HasFault(document, ErrorCode::kOutOfBounds, PathInFault(spec.path)));
  }
}

TEST_CASE("an unknown key is reported under its path") {
  CHECK(HasFault({{"no_such_key", 1}}, ErrorCode::kUnknownKey, "no_such_key"));
  for (const KeySpec& spec : TeamSchema()) {
    const std::string path(spec.path);
    if (spec.type != ValueType::kObject || HasKey(path + ".*")) continue;
    INFO(path);
    Json document = ValidObject("");
    FindValue(document, path)["no_such_key"] = 1;
    CHECK(HasFault(document, ErrorCode::kUnknownKey,
                   PathInFault(path) + ".no_such_key"));
  }
}

TEST_CASE("a missing required key is reported under its path") {
  for (const KeySpec& spec : TeamSchema()) {
    const std::string path(spec.path);
    const size_t dot = path.rfind('.');
    if (!spec.default_value.empty() || path.ends_with("*") ||
        path.ends_with("[]") || dot == std::string::npos) {
      continue;
    }
    INFO(path);
    Json document = ValidObject("");
    FindValue(document, path.substr(0, dot)).erase(path.substr(dot + 1));
    CHECK(HasFault(document, ErrorCode::kMissingKey, PathInFault(path)));
  }
}

}  // namespace dogwoodlatch
