#include "dogwoodlatch/json_reader.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <optional>
#include <string>
#include <utility>

#include "dogwoodlatch/bounded_json.h"

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kNumberCharacters = "+-.0123456789Ee";
constexpr size_t kUnicodeEscapeLength = 6;  // \uXXXX

// Up to here doubles represent every integer.
constexpr double kMaxExactDouble = 9007199254740992.0;

// Length of the UTF-8 sequence at the start of `text`; 0 if there is none.
size_t Utf8Length(std::string_view text) {
  struct Form {
    uint8_t mask, lead;
    size_t length;
    uint32_t least;  // an overlong form encodes less
  };
  static constexpr std::array kForms = {
      Form{0x80, 0x00, 1, 0}, Form{0xE0, 0xC0, 2, 0x80},
      Form{0xF0, 0xE0, 3, 0x800}, Form{0xF8, 0xF0, 4, 0x10000}};
  const auto byte = [&](size_t i) { return static_cast<uint8_t>(text[i]); };
  const auto form = std::ranges::find_if(
      kForms, [&](const Form& f) { return (byte(0) & f.mask) == f.lead; });
  if (form == kForms.end() || text.size() < form->length) return 0;
  uint32_t code = byte(0) & static_cast<uint8_t>(~form->mask);
  for (size_t i = 1; i < form->length; ++i) {
    if ((byte(i) & 0xC0) != 0x80) return 0;
    code = code << 6 | (byte(i) & 0x3F);
  }
  const bool is_surrogate = code >= 0xD800 && code <= 0xDFFF;
  const bool is_code = code >= form->least && code <= 0x10FFFF;
  return is_code && !is_surrogate ? form->length : 0;
}

// The code unit of the escape \uXXXX at the start of `text`, if there is one.
std::optional<uint32_t> UnicodeEscape(std::string_view text) {
  if (!text.starts_with("\\u") || text.size() < kUnicodeEscapeLength) {
    return std::nullopt;
  }
  const std::string digits(text.substr(2, 4));
  if (!std::ranges::all_of(
          digits, [](unsigned char c) { return std::isxdigit(c) != 0; })) {
    return std::nullopt;
  }
  return static_cast<uint32_t>(std::strtoul(digits.c_str(), nullptr, 16));
}

// Replaces what the JSON library would refuse together with the whole document,
// and what it could read but not copy: it copies values recursively. Syntax is
// left to the library.
class Repair {
 public:
  explicit Repair(std::string_view text) : text_(text) {}

  // Returns the text with replacements, or nothing if it needs none.
  std::optional<std::string> Run() {
    while (at_ < text_.size()) Step();
    if (kept_ == 0) return std::nullopt;
    out_.append(text_.substr(kept_));
    return std::move(out_);
  }

 private:
  void Step() {
    const char c = text_[at_];
    if (c == '"') {
      RepairString();
    } else if (c == '[' || c == '{') {
      if (++depth_ > kMaxNesting) {
        Replace(SkipNested(), "null");
        --depth_;
      } else {
        ++at_;
      }
    } else if (c == ']' || c == '}') {
      if (depth_ > 0) --depth_;
      ++at_;
    } else if (c == '-' || (c >= '0' && c <= '9')) {
      RepairNumber();
    } else {
      ++at_;
    }
  }

  void Replace(size_t end, std::string_view by) {
    out_.append(text_.substr(kept_, at_ - kept_)).append(by);
    kept_ = at_ = end;
  }

  void RepairNumber() {
    const size_t end =
        std::min(text_.find_first_not_of(kNumberCharacters, at_), text_.size());
    const std::string number(text_.substr(at_, end - at_));
    if (std::isinf(std::strtod(number.c_str(), nullptr))) {
      Replace(end, "null");
    } else {
      at_ = end;
    }
  }

  void RepairString() {
    ++at_;
    while (at_ < text_.size() && text_[at_] != '"') {
      if (text_[at_] == '\\') {
        RepairEscape();
        continue;
      }
      const bool is_control = static_cast<uint8_t>(text_[at_]) < 0x20;
      const size_t length = is_control ? 0 : Utf8Length(text_.substr(at_));
      if (length == 0) {
        Replace(at_ + 1, "?");
      } else {
        at_ += length;
      }
    }
    ++at_;
  }

  // Half of a surrogate pair encodes no character.
  void RepairEscape() {
    const auto unit = UnicodeEscape(text_.substr(at_));
    const auto is_in = [](std::optional<uint32_t> code, uint32_t first) {
      return code && *code >= first && *code < first + 0x400;
    };
    if (is_in(unit, 0xD800)) {
      const size_t next = at_ + kUnicodeEscapeLength;
      if (is_in(UnicodeEscape(text_.substr(next)), 0xDC00)) {
        at_ = next + kUnicodeEscapeLength;
      } else {
        Replace(next, "?");
      }
    } else if (is_in(unit, 0xDC00)) {
      Replace(at_ + kUnicodeEscapeLength, "?");
    } else {
      at_ = std::min(at_ + 2, text_.size());
    }
  }

  // Returns the end of the array or object that begins here.
  size_t SkipNested() const {
    size_t open = 0;
    bool is_in_string = false;
    for (size_t i = at_; i < text_.size(); ++i) {
      const char c = text_[i];
      if (is_in_string) {
        if (c == '\\') ++i;
        if (c == '"') is_in_string = false;
      } else if (c == '"') {
        is_in_string = true;
      } else if (c == '[' || c == '{') {
        ++open;
      } else if ((c == ']' || c == '}') && --open == 0) {
        return i + 1;
      }
    }
    return text_.size();
  }

  std::string_view text_;
  std::string out_;
  size_t at_ = 0;
  size_t kept_ = 0;  // end of what `out_` stands for
  size_t depth_ = 0;
};

// Stops the parser, which is recursive, at values nested too deeply.
class NestingLimit final : public JsonEvents {
 public:
  bool OnScalar(Json /*value*/) override { return true; }
  bool OnOpen(Json /*container*/) override { return ++depth_ <= kMaxNesting; }
  bool OnKey(std::string& /*key*/) override { return true; }
  bool OnClose() override {
    --depth_;
    return true;
  }

 private:
  size_t depth_ = 0;
};

}  // namespace

Json ParseJson(std::string_view text) {
  const std::optional<std::string> repaired = Repair(text).Run();
  return Json::parse(repaired ? std::string_view{*repaired} : text, nullptr,
                     false);
}

JsonText VisitJson(std::string_view text, nlohmann::json_sax<Json>& events) {
  const std::optional<std::string> repaired = Repair(text).Run();
  if (!Json::sax_parse(repaired ? std::string_view{*repaired} : text,
                       &events)) {
    return JsonText::kMalformed;
  }
  return repaired ? JsonText::kRepaired : JsonText::kExact;
}

Json ParseExactJson(std::string_view text) {
  if (Repair(text).Run()) return Json(Json::value_t::discarded);
  return Json::parse(text, nullptr, false);
}

// The library throws for a size that no array or map can have, whether it may
// throw or not.
Json ParseCbor(std::span<const uint8_t> bytes) try {
  // Each array or map has a byte of its own in this range, and few messages
  // have enough of them to be nested too deeply.
  const auto is_container = [](uint8_t byte) {
    return byte >= 0x80 && byte <= 0xBF;
  };
  if (std::ranges::count_if(bytes, is_container) >
      static_cast<std::ptrdiff_t>(kMaxNesting)) {
    NestingLimit limit;
    if (!Json::sax_parse(bytes.begin(), bytes.end(), &limit,
                         Json::input_format_t::cbor)) {
      return Json(Json::value_t::discarded);
    }
  }
  return Json::from_cbor(bytes.begin(), bytes.end(), true, false);
} catch (const Json::exception&) {
  return Json(Json::value_t::discarded);
}

bool ReadText(const Json& object, const char* key, std::string& value) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_string()) return false;
  value = found->get<std::string>();
  return true;
}

bool ReadFlag(const Json& object, const char* key, bool& value) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_boolean()) return false;
  value = found->get<bool>();
  return true;
}

bool ReadNumberUpTo(const Json& object, const char* key, uint64_t most,
                    uint64_t& value) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number()) return false;
  uint64_t number = 0;
  if (found->is_number_unsigned()) {
    number = found->get<uint64_t>();
  } else {
    const auto real = found->get<double>();
    if (!(real >= 0 && real <= kMaxExactDouble)) return false;
    number = static_cast<uint64_t>(real);
  }
  if (number > most) return false;
  value = number;
  return true;
}

}  // namespace dogwoodlatch
