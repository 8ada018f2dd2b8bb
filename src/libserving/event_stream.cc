#include "dogwoodlatch/serving/event_stream.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace dogwoodlatch::serving {
namespace {

constexpr std::string_view kIdField = "id:";

}  // namespace

// An event ends with an empty line; lines end with LF or CRLF. Each byte is
// looked at once, as an event may come in many small pieces.
std::string EventStreamSplitter::Feed(std::string_view bytes) {
  size_t searched = partial_.size();
  partial_.append(bytes);
  const std::string_view text = partial_;
  size_t complete_size = 0;
  for (size_t end = text.find('\n', searched); end != std::string_view::npos;
       end = text.find('\n', searched)) {
    searched = end + 1;
    const std::string_view line = text.substr(line_, end - line_);
    line_ = searched;
    if (!line.empty() && line != "\r") continue;
    Scan(text.substr(complete_size, searched - complete_size));
    complete_size = searched;
  }
  std::string events = partial_.substr(0, complete_size);
  partial_.erase(0, complete_size);
  line_ -= complete_size;
  return events;
}

void EventStreamSplitter::Scan(std::string_view event) {
  ++events_;
  bool has_id = false;
  size_t line = 0;
  while (line < event.size()) {
    const size_t end = std::min(event.find('\n', line), event.size());
    std::string_view text = event.substr(line, end - line);
    line = end + 1;
    if (!text.starts_with(kIdField)) continue;
    text.remove_prefix(kIdField.size());
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    uint64_t id = 0;
    const auto parsed =
        std::from_chars(text.data(), text.data() + text.size(), id);
    if (parsed.ec != std::errc{}) continue;
    if (last_id_ && id != *last_id_ + 1) in_sequence_ = false;
    last_id_ = id;
    has_id = true;
  }
  if (std::exchange(is_continuing_, false) && !has_id) in_sequence_ = false;
}

}  // namespace dogwoodlatch::serving
