/// Header fields of an HTTP message.
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

/// Compares ASCII text.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/// The value of the first field of that name; empty when there is none.
std::string_view FindHeader(const HeaderList& headers, std::string_view name);

/// The fields that travel beyond one connection: without those that frame the
/// message, describe the connection or are named by `Connection`.
HeaderList EndToEndHeaders(const HeaderList& headers);

/// Appends "name: value" lines.
void AppendHeaders(const HeaderList& headers, std::string& text);

}  // namespace dogwoodlatch::dataplane
