#include "dogwoodlatch/transport.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

namespace dogwoodlatch {
namespace {

constexpr TransportOptions kOptions{1 << 20, std::chrono::milliseconds(1000)};
constexpr char kAnyPort[] = "127.0.0.1:0";

// Records the events of a node and lets the test wait for them.
class Recorder {
 public:
  TransportHandlers Handlers() {
    return {[this](ConnectionId id) { Record(opened_, id); },
            [this](ConnectionId, const std::string& bytes) {
              Record(received_, bytes);
            },
            [this](ConnectionId id) { Record(closed_, id); }};
  }
  ConnectionId WaitOpened() { return Wait(opened_); }
  std::string WaitReceived() { return Wait(received_); }
  ConnectionId WaitClosed() { return Wait(closed_); }

 private:
  template <typename T>
  void Record(std::vector<T>& list, T value) {
    const std::lock_guard lock(mutex_);
    list.push_back(std::move(value));
    changed_.notify_all();
  }
  template <typename T>
  T Wait(std::vector<T>& list) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return !list.empty(); });
    T value = list.front();
    list.erase(list.begin());
    return value;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<ConnectionId> opened_;
  std::vector<std::string> received_;
  std::vector<ConnectionId> closed_;
};

}  // namespace

TEST_CASE(
    "messages pass in both directions and the peer is notified of a close") {
  Recorder server_events;
  Recorder client_events;
  TransportNode server(kOptions, server_events.Handlers());
  TransportNode client(kOptions, client_events.Handlers());
  const uint16_t port = server.Listen(kAnyPort);
  REQUIRE(port != 0);
  const ConnectionId outbound =
      client.Connect("127.0.0.1:" + std::to_string(port));
  CHECK(client_events.WaitOpened() == outbound);
  const ConnectionId inbound = server_events.WaitOpened();
  CHECK(client.Send(outbound, "ping"));
  CHECK(server_events.WaitReceived() == "ping");
  CHECK(server.Send(inbound, "pong"));
  CHECK(client_events.WaitReceived() == "pong");
  server.Close(inbound);
  CHECK(client_events.WaitClosed() == outbound);
  CHECK_FALSE(client.Send(outbound, "late"));
}

TEST_CASE("a connect to a port without a listener is reported as closed") {
  Recorder events;
  TransportNode client(kOptions, events.Handlers());
  const ConnectionId outbound = client.Connect("127.0.0.1:1");
  CHECK(events.WaitClosed() == outbound);
}

}  // namespace dogwoodlatch
