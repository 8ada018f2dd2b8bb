/// Splits a text/event-stream body into complete events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dogwoodlatch::serving {

/// Takes body bytes and returns only complete events, so that a stream that
/// breaks inside an event can be resumed at another target.
class EventStreamSplitter {
 public:
  /// Appends `bytes`; returns the bytes of all events that are now complete.
  std::string Feed(std::string_view bytes);

  /// The last numeric event id, if there was any.
  std::optional<uint64_t> last_id() const { return last_id_; }

  /// The number of complete events so far.
  uint64_t events() const { return events_; }

  /// True while the last event is incomplete.
  bool has_partial() const { return !partial_.empty(); }

  /// Size of the incomplete event, in bytes.
  size_t partial_size() const { return partial_.size(); }

  /// True if the last event is longer than any event may be.
  bool is_too_long() const { return partial_.size() > kMaxEventBytes; }

  /// False once an id was not its predecessor plus one.
  bool in_sequence() const { return in_sequence_; }

  /// Discards the incomplete event. The sequence of ids continues, with the
  /// next event of another run.
  void DropPartial() {
    partial_ = {};
    line_ = 0;
    is_continuing_ = last_id_.has_value();
  }

  /// True until the first event of a run that continues another one.
  bool is_continuing() const { return is_continuing_; }

  static constexpr size_t kMaxEventBytes = 256UL * 1024;

 private:
  void Scan(std::string_view event);

  std::string partial_;
  size_t line_ = 0;  ///< start of the last line in `partial_`
  std::optional<uint64_t> last_id_;
  uint64_t events_ = 0;
  bool in_sequence_ = true;
  bool is_continuing_ = false;  ///< the next event must have an id
};

}  // namespace dogwoodlatch::serving
