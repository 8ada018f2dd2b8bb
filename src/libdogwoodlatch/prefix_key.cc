#include "dogwoodlatch/prefix_key.h"

#include <xxhash.h>

namespace dogwoodlatch {

std::vector<PieceKey> ChainPieceKeys(const WorkspaceId& workspace,
                                     std::string_view model,
                                     std::string_view prompt,
                                     size_t piece_bytes) {
  std::vector<PieceKey> keys;
  if (piece_bytes == 0) return keys;
  keys.reserve(prompt.size() / piece_bytes);
  PieceKey chain = ComputeDigest({workspace.value, model});
  for (; prompt.size() >= piece_bytes; prompt.remove_prefix(piece_bytes)) {
    chain = XXH3_64bits_withSeed(prompt.data(), piece_bytes, chain);
    keys.push_back(chain);
  }
  return keys;
}

uint64_t ComputeDigest(std::initializer_list<std::string_view> parts) {
  uint64_t digest = 0;
  for (const std::string_view part : parts) {
    digest =
        XXH3_64bits_withSeed(part.data(), part.size(), digest ^ part.size());
  }
  return digest;
}

}  // namespace dogwoodlatch
