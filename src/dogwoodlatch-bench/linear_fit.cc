#include "linear_fit.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace dogwoodlatch::bench {

void LinearFit::Add(size_t size, double figure) {
  const auto x = static_cast<double>(size);
  count_ += 1;
  sum_x_ += x;
  sum_y_ += figure;
  sum_xx_ += x * x;
  sum_xy_ += x * figure;
}

double LinearFit::Slope() const {
  const double spread = count_ * sum_xx_ - sum_x_ * sum_x_;
  return spread == 0 ? 0 : (count_ * sum_xy_ - sum_x_ * sum_y_) / spread;
}

double LinearFit::Intercept() const {
  return count_ == 0 ? 0 : (sum_y_ - Slope() * sum_x_) / count_;
}

void PrintSlope(std::string_view name, std::string_view per,
                std::string_view unit, const LinearFit& fit) {
  const nlohmann::json line = {{"figure", name},
                               {"unit", unit},
                               {"base", fit.Intercept()},
                               {"slope", fit.Slope()},
                               {"per", per}};
  std::cout << line.dump() << "\n";
}

void PrintFigure(std::string_view name, std::string_view unit, double value) {
  const nlohmann::json line = {
      {"figure", name}, {"unit", unit}, {"value", value}};
  std::cout << line.dump() << "\n";
}

}  // namespace dogwoodlatch::bench
