#include "dogwoodlatch/dataplane/headers.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <iterator>

namespace dogwoodlatch::dataplane {
namespace {

constexpr std::array<std::string_view, 12> kHopByHopHeaders = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authorization",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "http2-settings"};

char Lower(char c) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

// Returns whether the comma-separated `list` contains `token`.
bool ListContains(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const size_t end = std::min(list.find(','), list.size());
    std::string_view entry = list.substr(0, end);
    list.remove_prefix(std::min(end + 1, list.size()));
    entry.remove_prefix(std::min(entry.find_first_not_of(" \t"), entry.size()));
    entry = entry.substr(0, entry.find_last_not_of(" \t") + 1);
    if (EqualsIgnoringCase(entry, token)) return true;
  }
  return false;
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, {}, Lower, Lower);
}

std::string_view FindHeader(const HeaderList& headers, std::string_view name) {
  const auto found = std::ranges::find_if(headers, [&](const Header& header) {
    return EqualsIgnoringCase(header.name, name);
  });
  return found == headers.end() ? std::string_view() : found->value;
}

HeaderList EndToEndHeaders(const HeaderList& headers) {
  const std::string_view connection = FindHeader(headers, "connection");
  HeaderList kept;
  kept.reserve(headers.size() + 6);
  std::ranges::copy_if(
      headers, std::back_inserter(kept), [&](const Header& header) {
        const bool is_hop_by_hop =
            std::ranges::any_of(kHopByHopHeaders, [&](std::string_view name) {
              return EqualsIgnoringCase(header.name, name);
            });
        return !is_hop_by_hop && !ListContains(connection, header.name);
      });
  return kept;
}

void AppendHeaders(const HeaderList& headers, std::string& text) {
  for (const Header& header : headers) {
    text.append(header.name).append(": ").append(header.value).append("\r\n");
  }
}

}  // namespace dogwoodlatch::dataplane
