#include "dogwoodlatch/daemon/control_traffic.h"

#include <numeric>
#include <string_view>

namespace dogwoodlatch::daemon {
namespace {

constexpr std::array<std::string_view, kControlKinds> kKindNames = {
    "status", "update", "forwarded", "subscription", "directory", "freshness"};
constexpr std::array<std::string_view, kDomainRelations> kRelationNames = {
    "own", "other", "unknown"};

std::string Label(size_t kind, size_t relation) {
  return "kind=\"" + std::string(kKindNames[kind]) + "\",domain=\"" +
         std::string(kRelationNames[relation]) + "\"";
}

}  // namespace

void ControlTraffic::Record(ControlKind kind, DomainRelation relation,
                            size_t bytes) {
  Sent& sent = sent_[static_cast<size_t>(kind)][static_cast<size_t>(relation)];
  ++sent.datagrams;
  sent.bytes += bytes;
}

ControlTraffic::Sent ControlTraffic::Total(DomainRelation relation) const {
  return std::accumulate(
      sent_.begin(), sent_.end(), Sent{},
      [index = static_cast<size_t>(relation)](Sent sum, const auto& kind) {
        sum.datagrams += kind[index].datagrams;
        sum.bytes += kind[index].bytes;
        return sum;
      });
}

void ControlTraffic::Export(Metrics& metrics) {
  for (size_t kind = 0; kind < kControlKinds; ++kind) {
    for (size_t relation = 0; relation < kDomainRelations; ++relation) {
      const Sent& sent = sent_[kind][relation];
      Sent& exported = exported_[kind][relation];
      if (sent.datagrams == 0) continue;
      const std::string label = Label(kind, relation);
      metrics.Count("dogwoodlatch_control_datagrams_total", label,
                    sent.datagrams - exported.datagrams);
      metrics.Count("dogwoodlatch_control_bytes_total", label,
                    sent.bytes - exported.bytes);
      exported = sent;
    }
  }
}

}  // namespace dogwoodlatch::daemon
