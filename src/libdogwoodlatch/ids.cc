#include "dogwoodlatch/ids.h"

#include <array>
#include <cstdint>

namespace dogwoodlatch {

std::string MakeRandomHex(std::mt19937_64& random) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const uint64_t word : {random(), random()}) {
    for (int shift = 60; shift >= 0; shift -= 4) {
      text += kDigits[(word >> shift) & 0xf];
    }
  }
  return text;
}

std::mt19937_64 MakeSeededRandom() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  return std::mt19937_64(seed);
}

}  // namespace dogwoodlatch
