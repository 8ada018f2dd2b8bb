/// Fences for the orders of an agent whose target does not compare them.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "dogwoodlatch/dataplane/http_client.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::daemon {

/// Obtains fences that are higher than all that were used before: each is the
/// revision of a write to the store. Times are of SteadyNow.
class OrderFence {
 public:
  OrderFence(asio::io_context& context, const std::string& store_address,
             std::string holder);

  /// The fence that was obtained in this term of ownership, if any.
  std::optional<uint64_t> Of(uint64_t term) const;

  /// Begins to obtain a fence for the term, unless a call is in progress or has
  /// just failed. `era` is that of the store; answers of earlier ones are not
  /// used.
  void Request(uint64_t term, uint64_t era, TimePoint now);

 private:
  void Write(uint64_t term, uint64_t era, bool creates);
  void OnWritten(uint64_t term, uint64_t era, bool creates,
                 const Result<dataplane::CallResponse>& response);

  dataplane::HttpClient client_;
  std::string holder_;
  std::minstd_rand random_;
  bool is_call_pending_ = false;
  TimePoint next_call_{};
  uint64_t term_ = 0;  ///< in which `fence_` was obtained; 0 is none
  uint64_t fence_ = 0;
};

}  // namespace dogwoodlatch::daemon
