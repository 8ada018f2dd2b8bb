/// Reading of JSON and CBOR that another process has written.
#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>

namespace dogwoodlatch {

/// Values nested more deeply than this are not read. No message of the
/// platform, of targets or of the programs themselves comes near it.
inline constexpr size_t kMaxNesting = 64;

/// Parses a JSON document. What cannot be represented does not make the rest
/// unreadable: values nested too deeply and numbers beyond the range of a
/// double become null, and bytes of strings that are not UTF-8 become '?'.
/// Returns a discarded value if the document is malformed otherwise.
nlohmann::json ParseJson(std::string_view text);

enum class JsonText {
  kMalformed,  ///< or the events ended the parsing
  kRepaired,   ///< parts could not be represented and were replaced
  kExact
};

/// Passes the parts of a document to `events`, with what cannot be represented
/// replaced as ParseJson does.
JsonText VisitJson(std::string_view text,
                   nlohmann::json_sax<nlohmann::json>& events);

/// Parses a JSON document that is passed on as it was written. Returns a
/// discarded value also if anything in it cannot be represented.
nlohmann::json ParseExactJson(std::string_view text);

/// Parses one CBOR value. Returns a discarded value if it is malformed or
/// nested too deeply.
nlohmann::json ParseCbor(std::span<const uint8_t> bytes);

/// Field readers return false, and leave `value` as it is, when the field is
/// absent or of another type.
bool ReadText(const nlohmann::json& object, const char* key,
              std::string& value);
bool ReadFlag(const nlohmann::json& object, const char* key, bool& value);

/// Reads a number between 0 and `most`, without its fraction.
bool ReadNumberUpTo(const nlohmann::json& object, const char* key,
                    uint64_t most, uint64_t& value);

/// The same, of a type to which the number must fit.
template <std::integral T>
bool ReadNumber(const nlohmann::json& object, const char* key, T& value) {
  uint64_t number = 0;
  if (!ReadNumberUpTo(object, key,
                      static_cast<uint64_t>(std::numeric_limits<T>::max()),
                      number)) {
    return false;
  }
  value = static_cast<T>(number);
  return true;
}

}  // namespace dogwoodlatch
