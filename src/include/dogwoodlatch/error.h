/// Typed failures. Every call that can fail returns a Result and never a bare
/// string.
#pragma once

#include <boost/outcome.hpp>
#include <string>
#include <string_view>

namespace dogwoodlatch {

enum class ErrorCode {
  kBadJson,         ///< text is not JSON
  kUnknownKey,      ///< a settings key that the schema does not list
  kMissingKey,      ///< a required settings key is absent
  kWrongType,       ///< a value of another JSON type than the schema's
  kOutOfBounds,     ///< a value outside the schema's bounds
  kBadMessage,      ///< a wire message that does not decode
  kBadVersion,      ///< a wire message of an unknown protocol version
  kIo,              ///< a file or socket operation failed
  kUnavailable,     ///< the other side is down or does not answer in time
  kConflict,        ///< a conditional write met another version
  kNotFound,        ///< no such object
  kUnknownOutcome,  ///< a write was sent and its answer was lost
  kForbidden,       ///< a team writes outside of its own subtree
  kExpired,         ///< a watch position that the platform no longer holds
};

/// The stable name of a code, as logs and command-line output print it.
std::string_view ToString(ErrorCode code);

/// One failure: what kind, where (a file, path or address) and a detail for
/// people.
struct Error {
  ErrorCode code;
  std::string where;
  std::string detail;
};

/// "where: code: detail", for people.
std::string ToString(const Error& error);

template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

}  // namespace dogwoodlatch
