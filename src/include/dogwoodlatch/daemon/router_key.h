/// The address of a router's datagrams as one number, as it stands in messages.
#pragma once

#include <asio.hpp>
#include <cstdint>

namespace dogwoodlatch::daemon {

inline constexpr int kPortBits = 16;

inline uint64_t RouterKey(const asio::ip::udp::endpoint& router) {
  if (!router.address().is_v4()) return 0;
  return (uint64_t{router.address().to_v4().to_uint()} << kPortBits) |
         router.port();
}

inline asio::ip::udp::endpoint RouterEndpoint(uint64_t key) {
  return {asio::ip::address_v4(static_cast<uint32_t>(key >> kPortBits)),
          static_cast<uint16_t>(key)};
}

}  // namespace dogwoodlatch::daemon
