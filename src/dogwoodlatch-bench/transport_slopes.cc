// Measures connections between dogwoodlatch processes: memory per connection,
// and latency and processor time per round trip.

#include <malloc.h>
#include <sys/resource.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>

#include "bench.h"
#include "dogwoodlatch/messages.h"
#include "dogwoodlatch/time.h"
#include "dogwoodlatch/transport.h"
#include "linear_fit.h"

namespace dogwoodlatch::bench {
namespace {

constexpr TransportOptions kOptions{1 << 20, std::chrono::milliseconds(1000)};
constexpr size_t kProbePieces = 50;
constexpr int kRoundTrips = 5000;

// Counts events reported by a transport node and lets a thread wait for a
// count.
class Counter {
 public:
  void Increment() {
    const std::lock_guard lock(mutex_);
    ++count_;
    changed_.notify_all();
  }
  void WaitFor(size_t count) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return count_ >= count; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  size_t count_ = 0;
};

Duration ReadProcessorTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto to_duration = [](const timeval& value) {
    return std::chrono::seconds(value.tv_sec) +
           std::chrono::microseconds(value.tv_usec);
  };
  return to_duration(usage.ru_utime) + to_duration(usage.ru_stime);
}

// Returns the heap memory of `connections` connections. Both ends of each are
// in this process and are counted together.
double MeasureConnectionHeapBytes(size_t connections) {
  Counter opened;
  TransportNode server(
      kOptions, {[&](ConnectionId) { opened.Increment(); },
                 [](ConnectionId, const std::string&) {}, [](ConnectionId) {}});
  TransportNode client(
      kOptions, {[&](ConnectionId) { opened.Increment(); },
                 [](ConnectionId, const std::string&) {}, [](ConnectionId) {}});
  const std::string address =
      "127.0.0.1:" + std::to_string(server.Listen("127.0.0.1:0"));
  const size_t before = mallinfo2().uordblks;
  for (size_t i = 0; i < connections; ++i) client.Connect(address);
  opened.WaitFor(2 * connections);
  return static_cast<double>(mallinfo2().uordblks - before);
}

void PrintRoundTrip() {
  Counter opened;
  Counter replied;
  const std::string reply = Encode(ProbeReply{});
  TransportNode* server_node = nullptr;
  TransportNode server(kOptions,
                       {[](ConnectionId) {},
                        [&](ConnectionId id, const std::string& bytes) {
                          if (Decode(bytes)) server_node->Send(id, reply);
                        },
                        [](ConnectionId) {}});
  server_node = &server;
  TransportNode client(kOptions, {[&](ConnectionId) { opened.Increment(); },
                                  [&](ConnectionId, const std::string& bytes) {
                                    if (Decode(bytes)) replied.Increment();
                                  },
                                  [](ConnectionId) {}});
  const uint16_t port = server.Listen("127.0.0.1:0");
  const ConnectionId connection =
      client.Connect("127.0.0.1:" + std::to_string(port));
  opened.WaitFor(1);
  const Probe probe{1, std::vector<PieceKey>(kProbePieces, ~PieceKey{0})};
  const Duration processor_time_before = ReadProcessorTime();
  const TimePoint start = SteadyNow();
  for (int i = 0; i < kRoundTrips; ++i) {
    client.Send(connection, Encode(probe));
    replied.WaitFor(static_cast<size_t>(i) + 1);
  }
  const auto per_round_trip = [](Duration total) {
    return static_cast<double>(total.count()) / kRoundTrips;
  };
  PrintFigure("probe_round_trip_latency", "us",
              per_round_trip(SteadyNow() - start));
  PrintFigure("probe_round_trip_processor_time_both_ends", "us",
              per_round_trip(ReadProcessorTime() - processor_time_before));
}

}  // namespace

int RunTransportBench(std::span<const std::string>) {
  LinearFit memory;
  for (const size_t connections : {size_t{10}, size_t{50}, size_t{200}}) {
    memory.Add(connections, MeasureConnectionHeapBytes(connections));
  }
  PrintSlope("connection_memory_both_ends", "connection", "B", memory);
  PrintRoundTrip();
  return 0;
}

}  // namespace dogwoodlatch::bench
