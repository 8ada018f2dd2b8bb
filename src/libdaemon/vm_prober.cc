#include "dogwoodlatch/daemon/vm_prober.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <utility>

#include "dogwoodlatch/daemon/listener.h"
#include "dogwoodlatch/dataplane/upstream_connection.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {
namespace {

using std::chrono::milliseconds;

// Bounds the probes that are open to one VM at a time. Within it a kernel that
// is alive has answered, also over a busy link.
constexpr milliseconds kProbeTimeout{500};

// Bounds the probes that a router with many targets sends at a time.
constexpr int kMaxProbesPerTick = 32;

// Ticks come every 50 ms. A longer pause means that this process did not run.
constexpr milliseconds kMaxTickGap{200};

}  // namespace

Result<void> ProbePort::Listen(const std::string& address) {
  Result<void> opened = OpenAcceptor(acceptor_, address);
  if (opened) Accept();
  return opened;
}

void ProbePort::Accept() {
  acceptor_.async_accept(
      [this](std::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        std::error_code ignored;  // the peer may have gone already
        socket.close(ignored);
        if (!error) {
          Accept();
          return;
        }
        retry_timer_.expires_after(kAcceptRetryDelay);
        retry_timer_.async_wait([this](std::error_code timer_error) {
          if (!timer_error) Accept();
        });
      });
}

class VmProber::Probe : public std::enable_shared_from_this<Probe> {
 public:
  Probe(asio::io_context& context, serving::Fleet::TargetPtr target,
        TimePoint now)
      : socket_(context),
        target_(std::move(target)),
        deadline_(now + kProbeTimeout) {}

  void Connect(const asio::ip::tcp::endpoint& endpoint) {
    socket_.async_connect(endpoint,
                          [self = shared_from_this()](std::error_code error) {
                            if (!self->socket_.is_open()) return;
                            if (error) {
                              self->OnEnd(error);
                            } else {
                              self->Send();
                            }
                          });
  }

  // Looks for an acknowledgement. Returns true once the probe has ended.
  bool HasEnded(TimePoint now) {
    int unacknowledged = 1;
    const bool is_acknowledged =
        is_sent_ && socket_.is_open() &&
        ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) == 0 &&
        unacknowledged == 0;
    if (is_acknowledged) OnAnswer();
    if (now >= deadline_) Close();
    return !socket_.is_open();
  }

 private:
  void Send() {
    std::error_code error;
    socket_.non_blocking(true, error);
    if (!error) socket_.write_some(asio::buffer(byte_), error);
    if (error) {
      OnEnd(error);
      return;
    }
    is_sent_ = true;
    socket_.async_read_some(
        asio::buffer(byte_),
        [self = shared_from_this()](std::error_code ended, size_t /*count*/) {
          if (self->socket_.is_open()) self->OnEnd(ended);
        });
  }

  // Only an error that the VM itself has caused is a sign of life.
  void OnEnd(std::error_code error) {
    const bool is_from_vm = !error || error == asio::error::eof ||
                            error == asio::error::connection_refused ||
                            error == asio::error::connection_reset ||
                            error == asio::error::broken_pipe;
    if (is_from_vm) {
      OnAnswer();
    } else {
      Close();
    }
  }

  void OnAnswer() {
    target_->signals.vm().OnProbeAnswered(SteadyNow());
    Close();
  }

  void Close() {
    std::error_code ignored;  // nothing depends on how the socket closes
    socket_.close(ignored);
  }

  asio::ip::tcp::socket socket_;
  serving::Fleet::TargetPtr target_;
  TimePoint deadline_;
  std::array<char, 1> byte_{};
  bool is_sent_ = false;
};

VmProber::VmProber(asio::io_context& context, uint16_t port)
    : io_(context), port_(port) {}

void VmProber::Tick(const serving::Fleet& fleet, TimePoint now) {
  const bool has_paused =
      last_tick_ != TimePoint{} && now - last_tick_ > kMaxTickGap;
  last_tick_ = now;
  std::erase_if(open_, [&](const std::shared_ptr<Probe>& probe) {
    return probe->HasEnded(now);
  });
  std::erase_if(silent_, [&](const std::string& id) {
    return fleet.Find(id) == nullptr;
  });
  int probes = 0;
  for (const auto& [id, target] : fleet.targets()) {
    // Targets without a model are not on VMs of this system.
    if (target->record.weights.empty()) continue;
    serving::TargetSignals& signals = target->signals;
    if (has_paused) signals.vm().OnProcessResumed(now);
    FollowSilence(*target, now);
    const bool is_due = signals.vm().IsProbeDue(signals.load() > 0, now);
    if (!is_due || probes >= kMaxProbesPerTick) continue;
    const auto endpoint = dataplane::ParseEndpoint(target->record.address);
    if (!endpoint) continue;
    ++probes;
    Start(target, endpoint->address(), now);
  }
}

void VmProber::FollowSilence(const serving::Target& target, TimePoint now) {
  const std::string& id = target.record.id;
  const serving::VmLiveness& vm = target.signals.vm();
  if (vm.IsSilent(now)) {
    if (!silent_.insert(id).second) return;
    LogEvent(EventId::kVmSilent,
             {{"target", id},
              {"silent_ms", FormatMilliseconds(vm.SilentFor(now))},
              {"heard_ms", FormatMilliseconds(now - vm.heard_at())},
              {"requests", std::to_string(target.signals.load())}});
  } else if (silent_.erase(id) > 0) {
    LogEvent(EventId::kVmAnswers, {{"target", id}});
  }
}

void VmProber::Start(const serving::Fleet::TargetPtr& target,
                     const asio::ip::address& ip, TimePoint now) {
  target->signals.vm().OnProbeSent(now);
  const auto probe = std::make_shared<Probe>(io_, target, now);
  probe->Connect({ip, port_});
  open_.push_back(probe);
}

}  // namespace dogwoodlatch::daemon
