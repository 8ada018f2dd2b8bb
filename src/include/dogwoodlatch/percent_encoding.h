/// Percent-encoding of names that become part of a URL (RFC 3986).
#pragma once

#include <string>
#include <string_view>

namespace dogwoodlatch {

/// Encodes a path segment or the value of a query parameter: every byte except
/// unreserved characters.
std::string PercentEncode(std::string_view text);

/// Encodes the segments of a path. Keeps slashes and what else RFC 3986 allows
/// in a path.
std::string PercentEncodePath(std::string_view path);

}  // namespace dogwoodlatch
