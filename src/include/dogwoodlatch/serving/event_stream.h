/// Cuts a text/event-stream body into whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dogwoodlatch::serving {

/// Feeds on body bytes and hands out the part that consists of whole events,
/// so that a stream that breaks inside an event can go on at another target.
class EventStreamSplitter {
 public:
  /// Takes more bytes; returns the bytes of all events that are whole now.
  std::string Feed(std::string_view bytes);

  /// The id of the last whole event, if it had a numeric one.
  std::optional<uint64_t> last_id() const { return last_id_; }

  /// The number of whole events so far.
  uint64_t events() const { return events_; }

  /// True while the last event is incomplete.
  bool has_partial() const { return !partial_.empty(); }

  /// False once ids did not rise by one from event to event.
  bool in_sequence() const { return in_sequence_; }

  /// Forgets the incomplete event; the ids go on.
  void DropPartial() { partial_.clear(); }

 private:
  void Scan(std::string_view event);

  std::string partial_;
  std::optional<uint64_t> last_id_;
  uint64_t events_ = 0;
  bool in_sequence_ = true;
};

}  // namespace dogwoodlatch::serving
