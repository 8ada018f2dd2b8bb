/// HTTP header fields and their comparison, lookup and forwarding.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace dogwoodlatch::dataplane {

struct Header {
  std::string name;
  std::string value;

  bool operator==(const Header&) const = default;
};

using HeaderList = std::vector<Header>;

/// Compares ASCII text without regard to case.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/// Returns the value of the first field called `name`, or an empty view if
/// there is none. Names are compared without regard to case.
std::string_view FindHeader(const HeaderList& headers, std::string_view name);

/// Returns the end-to-end fields: all but hop-by-hop fields, those that frame
/// the message, and those listed in `Connection`.
HeaderList EndToEndHeaders(const HeaderList& headers);

/// Appends one "name: value\r\n" line per field to `text`.
void AppendHeaders(const HeaderList& headers, std::string& text);

}  // namespace dogwoodlatch::dataplane
