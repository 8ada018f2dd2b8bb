#include "dogwoodlatch/messages.h"

#include <array>
#include <nlohmann/json.hpp>
#include <tuple>
#include <type_traits>
#include <utility>

#include "dogwoodlatch/json_reader.h"

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;

// Lists the fields of each message once, in wire order, for both the encoder
// and the decoder.
template <typename M, typename F>
void VisitFields(M& message, F&& visit) {
  using T = std::remove_const_t<M>;
  auto& m = message;
  if constexpr (std::is_same_v<T, Hello>) {
    visit(m.protocol_version, m.sender);
  } else if constexpr (std::is_same_v<T, Probe>) {
    visit(m.probe_id, m.piece_keys);
  } else if constexpr (std::is_same_v<T, ProbeReply>) {
    visit(m.probe_id, m.incarnation, m.weights_version, m.cached_pieces,
          m.pending_pieces, m.queued_tokens, m.running, m.draining, m.healthy,
          m.prefill_tokens_per_second);
  } else if constexpr (std::is_same_v<T, Submit>) {
    visit(m.request_id, m.attempt, m.incarnation, m.weights_version,
          m.time_left, m.kind, m.idempotent, m.idempotency_key, m.workspace,
          m.digest, m.priority, m.share, m.method, m.path, m.content_type,
          m.body, m.piece_keys, m.prompt_tokens, m.piece_tokens,
          m.delivered_text, m.run_alone, m.claim.service, m.claim.logs,
          m.claim.retention, m.claim.take_over_from, m.claim.issued,
          m.claim.lookup_only);
  } else if constexpr (std::is_same_v<T, Refused>) {
    visit(m.request_id, m.attempt, m.reason, m.retry_after, m.owner,
          m.key_not_run);
  } else if constexpr (std::is_same_v<T, Chunk>) {
    visit(m.request_id, m.attempt, m.sequence, m.data);
  } else if constexpr (std::is_same_v<T, Finished>) {
    visit(m.request_id, m.attempt, m.sequence, m.status, m.content_type,
          m.prompt_tokens, m.cached_tokens, m.output_tokens);
  } else if constexpr (std::is_same_v<T, Broken>) {
    visit(m.request_id, m.attempt, m.sequence, m.cause, m.crash_suspects);
  } else if constexpr (std::is_same_v<T, Cancel>) {
    visit(m.request_id, m.attempt);
  }
}

template <typename T>
Json ToField(const T& field) {
  return field;
}
template <typename Tag>
Json ToField(const Id<Tag>& field) {
  return field.value;
}
Json ToField(const Duration& field) { return field.count(); }
Json ToField(const WallTime& field) { return field.time_since_epoch().count(); }
Json ToField(RequestKind field) { return static_cast<int>(field); }
Json ToField(RefusalReason field) { return static_cast<int>(field); }
Json ToField(BreakCause field) { return static_cast<int>(field); }

template <typename T>
void FromField(const Json& json, T& field) {
  json.get_to(field);
}
template <typename Tag>
void FromField(const Json& json, Id<Tag>& field) {
  json.get_to(field.value);
}
void FromField(const Json& json, Duration& field) {
  field = Duration(json.get<int64_t>());
}

void FromField(const Json& json, WallTime& field) {
  field = WallTime(Duration(json.get<int64_t>()));
}

template <typename E>
void FromEnum(const Json& json, E& field, E last) {
  const int value = json.get<int>();
  // Decode converts this exception into a typed error.
  if (value < 0 || value > static_cast<int>(last)) {
    throw Json::out_of_range::create(401, "enum", nullptr);
  }
  field = static_cast<E>(value);
}
void FromField(const Json& json, RequestKind& field) {
  FromEnum(json, field, RequestKind::kService);
}
void FromField(const Json& json, RefusalReason& field) {
  FromEnum(json, field, RefusalReason::kTooLate);
}
void FromField(const Json& json, BreakCause& field) {
  FromEnum(json, field, BreakCause::kHandedOver);
}

template <size_t I = 0>
Result<Message> DecodeAs(size_t type, const Json& json) {
  if constexpr (I < std::variant_size_v<Message>) {
    if (type != I) return DecodeAs<I + 1>(type, json);
    std::variant_alternative_t<I, Message> message;
    size_t position = 1;
    VisitFields(message, [&](auto&... field) {
      (FromField(json.at(position++), field), ...);
    });
    if (position != json.size()) {
      return Error{ErrorCode::kBadMessage, "message", "wrong number of fields"};
    }
    return Message(std::move(message));
  } else {
    return Error{ErrorCode::kBadMessage, "message", "unknown type number"};
  }
}

}  // namespace

std::string Encode(const Message& message) {
  Json json = Json::array({message.index()});
  std::visit(
      [&](const auto& m) {
        VisitFields(m, [&](const auto&... field) {
          (json.push_back(ToField(field)), ...);
        });
      },
      message);
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

Result<Message> Decode(std::string_view bytes) {
  // nlohmann::json reports wrong field types, and some malformed input, only by
  // exception.
  try {
    const Json json = ParseCbor(std::span(
        reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size()));
    if (!json.is_array() || json.empty() || !json[0].is_number_unsigned()) {
      return Error{ErrorCode::kBadMessage, "message",
                   "not a CBOR array with a type number"};
    }
    return DecodeAs(json[0].get<size_t>(), json);
  } catch (const Json::exception& e) {
    return Error{ErrorCode::kBadMessage, "message", e.what()};
  }
}

std::string_view ToString(RefusalReason reason) {
  static constexpr std::array<std::string_view, 12> kNames = {
      "stale_incarnation", "stale_weights", "draining",   "overloaded",
      "quarantined",       "sealed",        "not_owner",  "claim_failed",
      "key_reused",        "target_down",   "busy_alone", "too_late"};
  return kNames.at(static_cast<size_t>(reason));
}

std::string_view ToString(BreakCause cause) {
  static constexpr std::array<std::string_view, 5> kNames = {
      "target_crashed", "target_error", "cancelled", "deadline", "handed_over"};
  return kNames.at(static_cast<size_t>(cause));
}

}  // namespace dogwoodlatch
