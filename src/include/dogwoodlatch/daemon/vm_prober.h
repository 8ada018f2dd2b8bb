/// Asks the VMs of targets for a sign of life when nothing else comes from
/// them.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dogwoodlatch/error.h"
#include "dogwoodlatch/serving/fleet.h"

namespace dogwoodlatch::daemon {

/// The port of an agent for probes: each connection is closed once it has been
/// accepted.
class ProbePort {
 public:
  explicit ProbePort(asio::io_context& context)
      : acceptor_(context), retry_timer_(context) {}

  /// Fails with kIo when the address, "ip:port", cannot be bound.
  Result<void> Listen(const std::string& address);

 private:
  void Accept();

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
};

/// Opens a connection to the VM's ProbePort and writes a byte. The VM is alive
/// if its kernel acknowledges the byte, or if it refuses or ends the
/// connection, so it need not run an agent. A kernel may complete connections
/// for a VM that stands still, so being connected proves nothing.
class VmProber {
 public:
  VmProber(asio::io_context& context, uint16_t port);

  /// Sends the probes that are due; logs VMs that fall silent or answer again.
  void Tick(const serving::Fleet& fleet, TimePoint now);

  /// Number of VMs that are silent.
  size_t silent_count() const { return silent_.size(); }

 private:
  class Probe;

  void Start(const serving::Fleet::TargetPtr& target,
             const asio::ip::address& ip, TimePoint now);
  void FollowSilence(const serving::Target& target, TimePoint now);

  asio::io_context& io_;
  uint16_t port_;
  TimePoint last_tick_{};
  std::vector<std::shared_ptr<Probe>> open_;
  std::set<std::string, std::less<>> silent_;  ///< ids of targets
};

}  // namespace dogwoodlatch::daemon
