/// Prefix keys: a prompt is split into pieces, and the key of each piece is a
/// hash of it and of all pieces before it.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/messages.h"

namespace dogwoodlatch {

/// Approximate ratio for load estimates made before a text is tokenized.
inline constexpr size_t kBytesPerToken = 4;

/// Keys of the full pieces of `prompt`, in order; a partial last piece has
/// none. `workspace` and `model` seed the chain, so no two workspaces or models
/// share a key. The agent adds the weights version, which only it knows for
/// certain.
std::vector<PieceKey> ChainPieceKeys(const WorkspaceId& workspace,
                                     std::string_view model,
                                     std::string_view prompt,
                                     size_t piece_bytes);

/// Hashes several texts in order, including their lengths.
uint64_t ComputeDigest(std::initializer_list<std::string_view> parts);

}  // namespace dogwoodlatch
