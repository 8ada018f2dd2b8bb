#include "dogwoodlatch/percent_encoding.h"

namespace dogwoodlatch {
namespace {

constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";

// Other characters that a path may hold as they are.
constexpr std::string_view kPathCharacters = "/:@!$&'()*+,;=";

bool Contains(std::string_view characters, char c) {
  return characters.find(c) != std::string_view::npos;
}

std::string Encode(std::string_view text, std::string_view also_kept) {
  static constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(text.size());
  for (const char c : text) {
    if (Contains(kUnreserved, c) || Contains(also_kept, c)) {
      encoded.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded.push_back('%');
    encoded.push_back(kDigits[byte >> 4]);
    encoded.push_back(kDigits[byte & 0xF]);
  }
  return encoded;
}

}  // namespace

std::string PercentEncode(std::string_view text) { return Encode(text, ""); }

std::string PercentEncodePath(std::string_view path) {
  return Encode(path, kPathCharacters);
}

}  // namespace dogwoodlatch
