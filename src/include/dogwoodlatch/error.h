/// Error types. Every call that can fail returns a Result, never a bare string.
#pragma once

#include <boost/outcome.hpp>
#include <string>
#include <string_view>

namespace dogwoodlatch {

enum class ErrorCode {
  kBadJson,         ///< the text is not valid JSON
  kUnknownKey,      ///< a settings key that the schema does not list
  kMissingKey,      ///< a required settings key is absent
  kWrongType,       ///< a value of another JSON type than the schema's
  kOutOfBounds,     ///< a value outside the schema's bounds
  kBadMessage,      ///< a wire message that cannot be decoded
  kBadVersion,      ///< a wire message of an unknown protocol version
  kIo,              ///< a file or socket operation failed
  kUnavailable,     ///< the peer is down or does not answer in time
  kConflict,        ///< a conditional write met another version
  kNotFound,        ///< no such object
  kUnknownOutcome,  ///< a write was sent but its response was lost
  kForbidden,       ///< a team wrote outside its own subtree
  kExpired,         ///< a watch position that the platform no longer retains
  kTooLong,         ///< an answer is longer than its reader accepts
  kIncomplete,      ///< the body of an answer began and did not end
};

/// The stable name of a code, as logs and command-line output print it.
std::string_view ToString(ErrorCode code);

/// One error: its code, where it occurred (a file, path or address) and a
/// human-readable detail.
struct Error {
  ErrorCode code;
  std::string where;
  std::string detail;
};

/// Formats the error for human readers: "where: code: detail".
std::string ToString(const Error& error);

template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

}  // namespace dogwoodlatch
