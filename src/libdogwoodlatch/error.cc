#include "dogwoodlatch/error.h"

#include <array>

namespace dogwoodlatch {

std::string_view ToString(ErrorCode code) {
  static constexpr std::array<std::string_view, 16> kNames = {
      "bad_json",      "unknown_key", "missing_key", "wrong_type",
      "out_of_bounds", "bad_message", "bad_version", "io",
      "unavailable",   "conflict",    "not_found",   "unknown_outcome",
      "forbidden",     "expired",     "too_long",    "incomplete"};
  return kNames.at(static_cast<size_t>(code));
}

std::string ToString(const Error& error) {
  return error.where + ": " + std::string(ToString(error.code)) + ": " +
         error.detail;
}

}  // namespace dogwoodlatch
