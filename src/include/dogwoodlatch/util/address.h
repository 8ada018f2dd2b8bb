/// Parsing of network addresses in settings.
#pragma once

#include <string>
#include <string_view>

namespace dogwoodlatch {

struct Address {
  std::string host;
  int port = 0;
};

/// Splits "ip:port"; the port is 0 when the text contains none.
Address ParseAddress(std::string_view text);

}  // namespace dogwoodlatch
