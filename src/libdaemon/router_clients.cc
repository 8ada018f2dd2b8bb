// What clients of a router's listening ports may hold.
#include <algorithm>
#include <memory>

#include "dogwoodlatch/daemon/head_check.h"
#include "dogwoodlatch/daemon/router.h"

namespace dogwoodlatch::daemon {
namespace {

// Share of the process's memory for connections of callers, and what a
// connection needs without a request.
constexpr size_t kSessionMemoryDivisor = 8;
constexpr size_t kSessionBytes = 8UL * 1024;

// Share of the descriptors for the readiness port, and for the metrics port.
// Balancers and scrapers need few connections.
constexpr size_t kOperationsDescriptorDivisor = 32;

// Longest body at these ports; requests there have none.
constexpr uint64_t kOperationsBodyBytes = 64UL * 1024;

size_t MaxOperationsConnections(const platform::NodeSettings& settings) {
  return std::max<size_t>(
      1, settings.max_descriptors / kOperationsDescriptorDivisor);
}

size_t MaxCallerConnections(const platform::NodeSettings& settings) {
  const size_t reserved = settings.clients.reserved_descriptors > 0
                              ? settings.clients.reserved_descriptors
                              : settings.max_descriptors / 2;
  return std::min(settings.memory_bytes / kSessionMemoryDivisor / kSessionBytes,
                  settings.max_descriptors - reserved);
}

dataplane::ConnectionLimits MakeConnectionLimits(
    const platform::NodeSettings& settings) {
  const auto memory = static_cast<double>(settings.memory_bytes);
  const platform::ClientLimits& clients = settings.clients;
  return {.input_bytes = static_cast<size_t>(memory * clients.input_share),
          .output_bytes = static_cast<size_t>(memory * clients.output_share),
          .unsent_bytes = clients.unsent_bytes,
          .header_lines = clients.header_lines};
}

}  // namespace

void Router::BoundClients() {
  const auto ledger = std::make_shared<dataplane::ConnectionLedger>();
  ledger->SetLimits(MakeConnectionLimits(settings_));
  ledger->on_refusal = [this](dataplane::RefusalReason reason) {
    client_refusals_.Record(reason);
  };
  for (Listener* listener : {&frontend_, &readiness_, &metrics_endpoint_}) {
    listener->server_state().ledger = ledger;
    listener->server_state().limits.body_bytes = kOperationsBodyBytes;
    listener->server_state().max_sessions = MaxOperationsConnections(settings_);
  }
  frontend_.server_state().limits = {};
  frontend_.server_state().max_sessions = MaxCallerConnections(settings_);
  frontend_.server_state().check_head = [this](const auto& head) {
    return CheckHead(context_, head);
  };
  metrics_.RegisterGauge("dogwoodlatch_client_input_bytes", [ledger] {
    return static_cast<double>(ledger->input().used());
  });
  metrics_.RegisterGauge("dogwoodlatch_client_output_bytes", [ledger] {
    return static_cast<double>(ledger->output().used());
  });
}

}  // namespace dogwoodlatch::daemon
