// dogwoodlatch-bench: measurements on the decision code and against running
// daemons.

#include <chrono>
#include <iostream>
#include <string>

#include "dogwoodlatch/prefix_key.h"

namespace {

// Prints the rate at which a prompt of 400 KB is keyed.
void MeasureKeying() {
  constexpr size_t kPromptBytes = size_t{400} * 1024;
  constexpr size_t kPieceBytes = 8192;
  constexpr int kRounds = 2000;
  const std::string prompt(kPromptBytes, 'x');
  size_t pieces = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    pieces +=
        dogwoodlatch::ChainPieceKeys({"w"}, "m", prompt, kPieceBytes).size();
  }
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  std::cout << "keying "
            << static_cast<double>(kPromptBytes) * kRounds / elapsed.count() /
                   1e9
            << " GB/s over " << pieces << " pieces\n";
}

}  // namespace

int main() {
  MeasureKeying();
  return 0;
}
