#include "dogwoodlatch/serving/rendezvous.h"

#include <xxhash.h>

#include <cmath>

namespace dogwoodlatch::serving {

// -weight / ln(u), with u uniform in (0, 1): the maximum of such scores falls
// on each target with a probability in proportion to its weight.
double RendezvousScore(std::string_view target, uint64_t key, double weight) {
  constexpr double kScale = 1.0 / 18446744073709551616.0;  // 2^-64
  const auto hash =
      static_cast<double>(XXH64(target.data(), target.size(), key));
  const double uniform = (hash + 0.5) * kScale;
  if (uniform >= 1) return HUGE_VAL;
  return -weight / std::log(uniform);
}

}  // namespace dogwoodlatch::serving
