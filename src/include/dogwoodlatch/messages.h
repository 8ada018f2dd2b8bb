/// The typed messages between router and agent, and their CBOR encoding.
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

inline constexpr int kProtocolVersion = 2;

/// Hash of one prompt piece, chained over all pieces before it.
using PieceKey = uint64_t;

enum class RequestKind : uint8_t { kChat, kService };

/// Why an agent refused an attempt. The agent process that sends a refusal has
/// not run the attempt.
enum class RefusalReason : uint8_t {
  kStaleIncarnation,  ///< routed to an earlier incarnation of the target
  kStaleWeights,      ///< routed to other model weights
  kDraining,          ///< the target is draining
  kOverloaded,        ///< no capacity is free
  kQuarantined,       ///< the request has crashed a target before
  kSealed,            ///< not run, and late copies will not be: refused before,
                      ///< too old, or never sent to the target
  kNotOwner,          ///< another agent owns the claim log of this key
  kClaimFailed,       ///< the claim could not be recorded
  kKeyReused,         ///< the idempotency key was used with another body
  kTargetDown,        ///< the target does not answer
  kBusyAlone,         ///< a crash suspect must run alone: this one while others
                      ///< run, or another that runs or has reserved the target
  kTooLate,           ///< the request would miss its deadline in the queue
};

/// Why a running attempt ended without a complete answer.
enum class BreakCause : uint8_t {
  kTargetCrashed,
  kTargetError,
  kCancelled,
  kDeadline,
  kHandedOver
};

std::string_view ToString(RefusalReason reason);
std::string_view ToString(BreakCause cause);

/// First message on a connection, in each direction.
struct Hello {
  int protocol_version = kProtocolVersion;
  std::string sender;
};

/// Asks an agent for its state and for how much of one key chain is cached.
struct Probe {
  uint64_t probe_id = 0;
  std::vector<PieceKey> piece_keys;
};

struct ProbeReply {
  uint64_t probe_id = 0;
  Incarnation incarnation;
  std::string weights_version;
  uint32_t cached_pieces = 0;   ///< leading pieces confirmed to be cached
  uint32_t pending_pieces = 0;  ///< leading pieces cached (confirmed or not),
                                ///< being prefilled or queued
  /// Prompt tokens expected to be uncached, in the queue and at the engine.
  uint64_t queued_tokens = 0;
  uint32_t running = 0;
  bool draining = false;
  bool healthy = true;
  uint64_t prefill_tokens_per_second = 0;
};

/// What an agent needs to claim a non-idempotent request.
struct ClaimOrder {
  std::string service;
  uint32_t logs = 0;         ///< claim logs to create for a service without any
  Duration retention{0};     ///< how long a claim is kept
  TargetId take_over_from;   ///< the log's unreachable owner, or empty
  WallTime issued;           ///< arrival at the router, by the router's clock
  bool lookup_only = false;  ///< report what is known of the key; run nothing
};

/// Asks an agent to run one attempt of a request.
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
  double share = 1;     ///< weight of the workspace in fair sharing
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  std::vector<PieceKey> piece_keys;
  uint32_t prompt_tokens = 0;
  uint32_t piece_tokens = 0;   ///< tokens in one full piece
  std::string delivered_text;  ///< answer text already delivered to the caller,
                               ///< if this attempt continues another
  bool run_alone = false;      ///< the request is a crash suspect
  ClaimOrder claim;            ///< for non-idempotent requests only
};

/// The attempt was not run.
struct Refused {
  RequestId request_id;
  uint32_t attempt = 0;
  RefusalReason reason = RefusalReason::kOverloaded;
  Duration retry_after{0};
  /// With kNotOwner: the target that owns the claim log, if known.
  std::string owner;
  /// For non-idempotent requests: the agent owns the key's claim log, and no
  /// submission of the key has run.
  bool key_not_run = false;
};

/// One part of the answer; `sequence` counts from 0 within the attempt.
struct Chunk {
  RequestId request_id;
  uint32_t attempt = 0;
  uint64_t sequence = 0;
  std::string data;
};

/// The answer is complete; `sequence` is the number of chunks sent.
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

/// The attempt ended without a complete answer.
struct Broken {
  RequestId request_id;
  uint32_t attempt = 0;
  uint64_t sequence = 0;
  BreakCause cause = BreakCause::kTargetError;
  /// Digests of the requests in flight at a crash.
  std::vector<uint64_t> crash_suspects;
};

/// Stops an attempt that was superseded or whose caller disconnected.
struct Cancel {
  RequestId request_id;
  uint32_t attempt = 0;
};

using Message = std::variant<Hello, Probe, ProbeReply, Submit, Refused, Chunk,
                             Finished, Broken, Cancel>;

/// Encodes a message as a CBOR array of its type number and its fields, in
/// order.
std::string Encode(const Message& message);

/// Decodes one message; fails with kBadMessage on anything that Encode does not
/// produce.
Result<Message> Decode(std::string_view bytes);

}  // namespace dogwoodlatch
