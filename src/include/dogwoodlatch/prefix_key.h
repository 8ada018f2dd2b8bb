/// Prefix keys: a prompt cut into pieces, each piece keyed by itself and all
/// pieces before it.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/messages.h"

namespace dogwoodlatch {

/// A rough token count of a text, for load estimates before any tokenizer has
/// seen it.
inline constexpr size_t kBytesPerToken = 4;

/// Keys of the whole pieces of `prompt`, in order; the last, partial piece has
/// none. `workspace` and `model` seed the chain, so no two workspaces or models
/// share a key. The agent adds the weights version, which only it knows for
/// certain.
std::vector<PieceKey> ChainPieceKeys(const WorkspaceId& workspace,
                                     std::string_view model,
                                     std::string_view prompt,
                                     size_t piece_bytes);

/// A digest of several texts in order, of their lengths too.
uint64_t ComputeDigest(std::initializer_list<std::string_view> parts);

}  // namespace dogwoodlatch
