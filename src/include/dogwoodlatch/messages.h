/// The typed messages between router and agent, and their CBOR form.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dogwoodlatch/error.h"
#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

inline constexpr int kProtocolVersion = 1;

/// The key of one prompt piece, chained over all pieces before it.
using PieceKey = uint64_t;

enum class RequestKind : uint8_t { kChat, kService };

/// Why an agent did not run a request. Each is a proof that nothing was run.
enum class RefusalReason : uint8_t {
  kStaleIncarnation,  ///< routed on an earlier life of the target
  kStaleWeights,      ///< routed on other model weights
  kDraining,          ///< the target is leaving
  kOverloaded,        ///< no place is free
  kQuarantined,       ///< the request has crashed targets before
  kSealed,            ///< the key was sealed as not run
  kNotOwner,          ///< another agent owns the claims of this key
  kClaimFailed,       ///< the claim could not be recorded
  kKeyReused,         ///< the idempotency key came with another body before
  kTargetDown,        ///< the target does not answer
  kBusyAlone,         ///< a suspect must run alone and the target is busy
  kTooLate,           ///< the queue cannot meet the deadline
};

/// How a running attempt ended without a whole answer.
enum class BreakCause : uint8_t {
  kTargetCrashed,
  kTargetError,
  kCancelled,
  kDeadline,
  kHandedOver
};

std::string_view ToString(RefusalReason reason);
std::string_view ToString(BreakCause cause);

/// First message of a connection, each way.
struct Hello {
  int protocol_version = kProtocolVersion;
  std::string sender;
};

/// Asks an agent for its state and for the cached depth of one key chain.
struct Probe {
  uint64_t probe_id = 0;
  std::vector<PieceKey> piece_keys;
};

struct ProbeReply {
  uint64_t probe_id = 0;
  Incarnation incarnation;
  std::string weights_version;
  uint32_t cached_pieces =
      0;  ///< leading pieces of the chain surely in the cache
  uint32_t pending_pieces =
      0;  ///< leading pieces probably cached, or asked for already
  uint64_t queued_tokens =
      0;  ///< uncached prompt tokens ahead of a new request
  uint32_t running = 0;
  bool draining = false;
  bool healthy = true;
  uint64_t prefill_tokens_per_second = 0;
};

/// What an agent needs to claim a non-idempotent request.
struct ClaimOrder {
  std::string service;
  uint32_t logs = 0;        ///< claim logs of a service that has none yet
  Duration retention{0};    ///< how long a claim is kept
  TargetId take_over_from;  ///< the owner that cannot be reached, or empty
  WallTime issued;          ///< arrival at the router, by its own clock
};

/// Orders one attempt of a request.
struct Submit {
  RequestId request_id;
  uint32_t attempt = 0;
  Incarnation incarnation;
  std::string weights_version;
  Duration time_left{0};
  RequestKind kind = RequestKind::kChat;
  bool idempotent = false;
  std::string idempotency_key;
  WorkspaceId workspace;
  uint64_t digest = 0;  ///< of method, path and body
  int priority = 0;     ///< higher runs earlier
  double share = 1;     ///< weight of the workspace
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  std::vector<PieceKey> piece_keys;
  uint32_t prompt_tokens = 0;
  uint32_t piece_tokens = 0;   ///< tokens in one whole piece
  std::string delivered_text;  ///< answer text that the caller has, when an
                               ///< attempt continues another
  bool run_alone = false;      ///< a suspect of a crash
  ClaimOrder claim;            ///< with a non-idempotent request
};

/// The attempt was not run.
struct Refused {
  RequestId request_id;
  uint32_t attempt = 0;
  RefusalReason reason = RefusalReason::kOverloaded;
  Duration retry_after{0};
  std::string
      owner;  ///< with kNotOwner: the target that owns the key, if known
};

/// One part of the answer; `sequence` counts from 0 within the attempt.
struct Chunk {
  RequestId request_id;
  uint32_t attempt = 0;
  uint64_t sequence = 0;
  std::string data;
};

/// The answer is whole; `sequence` is the number of chunks sent.
struct Finished {
  RequestId request_id;
  uint32_t attempt = 0;
  uint64_t sequence = 0;
  int status = 200;
  std::string content_type;
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
  uint32_t output_tokens = 0;
};

/// The attempt ended without a whole answer.
struct Broken {
  RequestId request_id;
  uint32_t attempt = 0;
  uint64_t sequence = 0;
  BreakCause cause = BreakCause::kTargetError;
  std::vector<uint64_t>
      crash_suspects;  ///< digests in flight when the target crashed
};

/// The caller has gone or the attempt is superseded.
struct Cancel {
  RequestId request_id;
  uint32_t attempt = 0;
};

using Message = std::variant<Hello, Probe, ProbeReply, Submit, Refused, Chunk,
                             Finished, Broken, Cancel>;

/// The CBOR form: an array of the message's type number and its fields in
/// order.
std::string Encode(const Message& message);

/// Reads one message; fails with kBadMessage on anything that Encode does not
/// write.
Result<Message> Decode(std::string_view bytes);

}  // namespace dogwoodlatch
