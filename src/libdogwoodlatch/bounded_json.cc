#include "dogwoodlatch/bounded_json.h"

#include <utility>

#include "dogwoodlatch/heap_block.h"
#include "dogwoodlatch/json_reader.h"

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;

// An array's buffer may be twice as large as its values.
constexpr size_t kElementBytes = 2 * sizeof(Json);

// A node of the tree that holds the members of an object: its links, key and
// value.
constexpr size_t kMemberBytes =
    4 * sizeof(void*) + sizeof(std::string) + sizeof(Json) + kBlockOverhead;

constexpr size_t kContainerBytes =
    sizeof(Json::object_t) + sizeof(Json::array_t) + kBlockOverhead;

// Strings up to this capacity hold their text in themselves, in libstdc++; more
// in other libraries, where the sum is then too high.
constexpr size_t kInlineCapacity = 15;

size_t TextBytes(size_t capacity) {
  return capacity <= kInlineCapacity ? 0 : BlockBytes(capacity + 1);
}

size_t ScalarBytes(const Json& value) {
  if (value.is_string()) {
    return sizeof(std::string) + kBlockOverhead +
           TextBytes(value.get_ref<const std::string&>().capacity());
  }
  return value.is_binary() ? value.get_binary().size() + kContainerBytes : 0;
}

class BoundedParser final : public JsonEvents {
 public:
  explicit BoundedParser(size_t max_bytes) : builder_(max_bytes) {}

  bool OnScalar(Json value) override {
    builder_.AddScalar(std::move(value));
    return !builder_.is_too_large();
  }
  bool OnOpen(Json container) override {
    builder_.Open(std::move(container));
    return !builder_.is_too_large();
  }
  bool OnKey(std::string& key) override {
    builder_.SetKey(std::move(key));
    return true;
  }
  bool OnClose() override {
    builder_.Close();
    return true;
  }

  Json Take() { return builder_.Take(); }

 private:
  JsonBuilder builder_;
};

}  // namespace

void JsonBuilder::AddScalar(Json value) {
  const size_t bytes = ScalarBytes(value);
  Add(std::move(value), bytes);
}

void JsonBuilder::Open(Json container) {
  Json* const added = Add(std::move(container), kContainerBytes);
  if (added != nullptr) open_.push_back(added);
}

void JsonBuilder::Close() {
  if (!open_.empty()) open_.pop_back();
}

Json* JsonBuilder::Add(Json value, size_t bytes) {
  if (is_too_large()) return nullptr;
  const bool is_member = !open_.empty() && open_.back()->is_object();
  bytes_ += bytes +
            (is_member ? kMemberBytes + TextBytes(key_.size()) : kElementBytes);
  if (is_too_large()) {
    open_.clear();
    root_ = nullptr;
    return nullptr;
  }
  if (open_.empty()) {
    root_ = std::move(value);
    return &root_;
  }
  Json& parent = *open_.back();
  if (is_member) return &(parent[key_] = std::move(value));
  parent.push_back(std::move(value));
  return &parent.back();
}

Json ParseJsonWithin(std::string_view text, size_t max_bytes) {
  BoundedParser parser(max_bytes);
  if (VisitJson(text, parser) == JsonText::kMalformed) {
    return Json(Json::value_t::discarded);
  }
  return parser.Take();
}

}  // namespace dogwoodlatch
