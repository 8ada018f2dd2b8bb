// Measures the throughput of computing the prefix keys of a long prompt.

#include <chrono>
#include <iostream>

#include "bench.h"
#include "dogwoodlatch/prefix_key.h"

namespace dogwoodlatch::bench {
namespace {

constexpr size_t kPromptBytes = 400000;
constexpr size_t kPieceBytes = 8192;
constexpr int kRounds = 2000;
constexpr double kBytesPerGigabyte = 1e9;

}  // namespace

int RunKeyingBench(std::span<const std::string>) {
  const std::string prompt(kPromptBytes, 'x');
  size_t pieces = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    pieces += ChainPieceKeys({"w"}, "m", prompt, kPieceBytes).size();
  }
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  const double bytes = static_cast<double>(kPromptBytes) * kRounds;
  std::cout << "{\"bench\":\"keying\",\"gigabytes_per_second\":"
            << bytes / elapsed.count() / kBytesPerGigabyte
            << ",\"pieces\":" << pieces << "}\n";
  return 0;
}

}  // namespace dogwoodlatch::bench
