#include "dogwoodlatch/util/address.h"

#include <charconv>

namespace dogwoodlatch {

Address ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return {std::string(text), 0};
  Address address{std::string(text.substr(0, colon)), 0};
  std::from_chars(text.data() + colon + 1, text.data() + text.size(),
                  address.port);
  return address;
}

}  // namespace dogwoodlatch
