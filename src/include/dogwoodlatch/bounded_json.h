/// Reading of JSON in bounded memory. Decoded, a document may take some thirty
/// times the memory of its text.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dogwoodlatch {

/// What a parser meets in a document, in order. Each function returns false to
/// end the parsing.
class JsonEvents : public nlohmann::json_sax<nlohmann::json> {
 public:
  /// Text, a number, true, false or null.
  virtual bool OnScalar(nlohmann::json value) = 0;
  /// The beginning of an array or object, as an empty one.
  virtual bool OnOpen(nlohmann::json container) = 0;
  virtual bool OnKey(std::string& key) = 0;
  virtual bool OnClose() = 0;

  bool null() final { return OnScalar(nullptr); }
  bool boolean(bool value) final { return OnScalar(value); }
  bool number_integer(int64_t value) final { return OnScalar(value); }
  bool number_unsigned(uint64_t value) final { return OnScalar(value); }
  bool number_float(double value, const std::string& /*text*/) final {
    return OnScalar(value);
  }
  bool string(std::string& value) final { return OnScalar(std::move(value)); }
  bool binary(nlohmann::json::binary_t& value) final {
    return OnScalar(nlohmann::json::binary(std::move(value)));
  }
  bool start_object(size_t /*size*/) final {
    return OnOpen(nlohmann::json::object());
  }
  bool start_array(size_t /*size*/) final {
    return OnOpen(nlohmann::json::array());
  }
  bool key(std::string& value) final { return OnKey(value); }
  bool end_object() final { return OnClose(); }
  bool end_array() final { return OnClose(); }
  bool parse_error(size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::json::exception& /*fault*/) final {
    return false;
  }
};

/// Builds a value from its parts. A value that exceeds the limit is dropped as
/// soon as that shows.
class JsonBuilder {
 public:
  explicit JsonBuilder(size_t max_bytes) : max_bytes_(max_bytes) {}

  void AddScalar(nlohmann::json value);
  void Open(nlohmann::json container);
  void SetKey(std::string key) { key_ = std::move(key); }
  void Close();

  bool is_too_large() const { return bytes_ > max_bytes_; }

  /// Upper bound of the memory that the value occupies.
  size_t bytes() const { return bytes_; }

  nlohmann::json Take() { return std::move(root_); }

 private:
  /// Adds a value that occupies `bytes` outside of its place. Returns null if
  /// the value as a whole has become too large.
  nlohmann::json* Add(nlohmann::json value, size_t bytes);

  size_t max_bytes_;
  size_t bytes_ = 0;
  nlohmann::json root_;
  std::vector<nlohmann::json*> open_;
  std::string key_;
};

/// Parses a document as ParseJson does. Returns a discarded value also if it
/// would occupy more than `max_bytes`.
nlohmann::json ParseJsonWithin(std::string_view text, size_t max_bytes);

}  // namespace dogwoodlatch
