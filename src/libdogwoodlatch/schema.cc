#include "dogwoodlatch/schema.h"

#include <algorithm>
#include <array>
#include <optional>
#include <sstream>

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;

std::string_view TypeName(ValueType type) {
  static constexpr std::array<std::string_view, 6> kNames = {
      "string", "integer", "number", "boolean", "object", "array"};
  return kNames.at(static_cast<size_t>(type));
}

bool HasType(const Json& value, ValueType type) {
  switch (type) {
    case ValueType::kString:
      return value.is_string();
    case ValueType::kInteger:
      return value.is_number_integer();
    case ValueType::kNumber:
      return value.is_number();
    case ValueType::kBoolean:
      return value.is_boolean();
    case ValueType::kObject:
      return value.is_object();
    case ValueType::kArray:
      return value.is_array();
  }
  return false;
}

// The quantity that a key's bounds limit: a number's value, or the length of a
// string or array.
std::optional<double> BoundedQuantity(const Json& value) {
  if (value.is_number()) return value.get<double>();
  if (value.is_string()) {
    return static_cast<double>(value.get_ref<const std::string&>().size());
  }
  if (value.is_array()) return static_cast<double>(value.size());
  return std::nullopt;
}

std::string JoinPath(std::string_view prefix, std::string_view step) {
  if (prefix.empty()) return std::string(step);
  if (step == "[]") return std::string(prefix) + "[]";
  return std::string(prefix) + "." + std::string(step);
}

const KeySpec* FindSpec(std::span<const KeySpec> schema,
                        std::string_view path) {
  const auto found = std::ranges::find(schema, path, &KeySpec::path);
  return found == schema.end() ? nullptr : &*found;
}

// The specs directly below `prefix`.
std::vector<const KeySpec*> ChildrenOf(std::span<const KeySpec> schema,
                                       std::string_view prefix) {
  std::vector<const KeySpec*> children;
  for (const KeySpec& spec : schema) {
    const size_t dot = spec.path.rfind('.');
    const std::string_view parent = dot == std::string_view::npos
                                        ? std::string_view()
                                        : spec.path.substr(0, dot);
    if (parent == prefix && !spec.path.ends_with("[]")) {
      children.push_back(&spec);
    }
  }
  return children;
}

std::string_view LastStep(std::string_view path) {
  return path.substr(path.rfind('.') + 1);
}

class FaultFinder {
 public:
  FaultFinder(std::span<const KeySpec> schema, std::string_view where)
      : schema_(schema), where_(where) {}

  void CheckObject(const Json& object, const std::string& pattern,
                   const std::string& path) {
    for (const auto& [name, value] : object.items()) {
      CheckMember(name, value, pattern, path);
    }
    for (const KeySpec* child : ChildrenOf(schema_, pattern)) {
      const std::string_view name = LastStep(child->path);
      if (name == "*" || !child->default_value.empty() ||
          object.contains(name)) {
        continue;
      }
      Report(ErrorCode::kMissingKey, JoinPath(path, name), "required");
    }
  }

  std::vector<Error> Take() { return std::move(faults_); }

 private:
  void CheckMember(const std::string& name, const Json& value,
                   const std::string& pattern, const std::string& path) {
    const std::string here = JoinPath(path, name);
    std::string child_pattern = JoinPath(pattern, name);
    const KeySpec* spec = FindSpec(schema_, child_pattern);
    if (spec == nullptr) {
      child_pattern = JoinPath(pattern, "*");
      spec = FindSpec(schema_, child_pattern);
    }
    if (spec == nullptr) {
      return Report(ErrorCode::kUnknownKey, here, "no such key");
    }
    CheckValue(*spec, value, child_pattern, here);
  }

  void CheckValue(const KeySpec& spec, const Json& value,
                  const std::string& pattern, const std::string& path) {
    if (!HasType(value, spec.type)) {
      return Report(ErrorCode::kWrongType, path,
                    "must be of type " + std::string(TypeName(spec.type)));
    }
    CheckBounds(spec, value, path);
    if (value.is_object()) CheckObject(value, pattern, path);
    if (!value.is_array()) return;
    const KeySpec* element = FindSpec(schema_, pattern + "[]");
    if (element == nullptr) return;
    for (size_t i = 0; i < value.size(); ++i) {
      CheckValue(*element, value[i], pattern + "[]",
                 path + "[" + std::to_string(i) + "]");
    }
  }

  void CheckBounds(const KeySpec& spec, const Json& value,
                   const std::string& path) {
    const std::optional<double> measure = BoundedQuantity(value);
    if (!measure || (*measure >= spec.minimum && *measure <= spec.maximum)) {
      return;
    }
    std::ostringstream detail;
    detail << (value.is_number() ? "must be" : "length must be") << " from "
           << spec.minimum << " to " << spec.maximum;
    if (!spec.unit.empty()) detail << " " << spec.unit;
    Report(ErrorCode::kOutOfBounds, path, detail.str());
  }

  void Report(ErrorCode code, const std::string& path, std::string detail) {
    faults_.push_back({code, where_ + ": " + path, std::move(detail)});
  }

  std::span<const KeySpec> schema_;
  std::string where_;
  std::vector<Error> faults_;
};

void FillObject(Json& object, const std::string& pattern,
                std::span<const KeySpec> schema);

void FillValue(Json& value, const std::string& pattern,
               std::span<const KeySpec> schema) {
  if (value.is_object()) FillObject(value, pattern, schema);
  if (!value.is_array()) return;
  for (Json& element : value) FillValue(element, pattern + "[]", schema);
}

void FillObject(Json& object, const std::string& pattern,
                std::span<const KeySpec> schema) {
  for (const KeySpec* child : ChildrenOf(schema, pattern)) {
    const std::string name(LastStep(child->path));
    if (name == "*" || child->default_value.empty() || object.contains(name)) {
      continue;
    }
    object[name] = Json::parse(child->default_value);
  }
  for (auto& [name, value] : object.items()) {
    const std::string exact = JoinPath(pattern, name);
    FillValue(
        value,
        FindSpec(schema, exact) != nullptr ? exact : JoinPath(pattern, "*"),
        schema);
  }
}

}  // namespace

Result<Json> ParseJsonWithComments(std::string_view text,
                                   std::string_view where) {
  // The JSON library reports the position of a syntax error only by exception.
  try {
    return Json::parse(text, nullptr, true, true);
  } catch (const Json::parse_error& e) {
    return Error{ErrorCode::kBadJson, std::string(where), e.what()};
  }
}

std::vector<Error> FindFaults(const Json& document,
                              std::span<const KeySpec> schema,
                              std::string_view where) {
  if (!document.is_object()) {
    return {{ErrorCode::kWrongType, std::string(where), "must be an object"}};
  }
  FaultFinder finder(schema, where);
  finder.CheckObject(document, "", "");
  return finder.Take();
}

Json FillDefaults(const Json& document, std::span<const KeySpec> schema) {
  Json filled = document;
  FillObject(filled, "", schema);
  return filled;
}

std::chrono::milliseconds GetMilliseconds(const nlohmann::json& value) {
  return std::chrono::milliseconds(value.get<int64_t>());
}

std::string Explain(std::span<const KeySpec> schema) {
  std::ostringstream out;
  for (const KeySpec& spec : schema) {
    out << spec.path << "\n    " << TypeName(spec.type);
    if (!spec.unit.empty()) out << ", " << spec.unit;
    if (spec.maximum > spec.minimum) {
      out << ", from " << spec.minimum << " to " << spec.maximum;
    }
    out << ", "
        << (spec.default_value.empty()
                ? "required"
                : "default " + std::string(spec.default_value));
    out << "\n    " << spec.description << "\n";
  }
  return out.str();
}

}  // namespace dogwoodlatch
