// Fits least-squares lines to measured points and prints them as JSON lines.
#pragma once

#include <cstddef>
#include <string_view>

namespace dogwoodlatch::bench {

// Collects points (size, figure) and fits figure = base + slope * size.
class LinearFit {
 public:
  void Add(size_t size, double figure);
  double Slope() const;
  double Intercept() const;

 private:
  double count_ = 0;
  double sum_x_ = 0;
  double sum_y_ = 0;
  double sum_xx_ = 0;
  double sum_xy_ = 0;
};

// Prints one JSON line for a figure that grows by `slope` for each `per`.
void PrintSlope(std::string_view name, std::string_view per,
                std::string_view unit, const LinearFit& fit);

// Prints one JSON line for a figure that does not depend on size.
void PrintFigure(std::string_view name, std::string_view unit, double value);

}  // namespace dogwoodlatch::bench
