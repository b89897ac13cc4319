#pragma once

#include <cstdint>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace verbenawell::bench {

/// One measured value, printed as one line with a JSON object.
struct Row
{
  std::string name_;
  double value_ = 0.0;
  std::string unit_;
  /// The same measure of the implementation to compare with; 0 if there is
  /// none.
  double baseline_ = 0.0;
  /// Target for the value; empty if there is none.
  std::optional<double> bound_;
  std::uint64_t seed_ = 0;
  /// Number of samples behind the value, printed as "n".
  std::uint64_t count_ = 0;
};

inline void
Print(const Row& aRow)
{
  using Json = nlohmann::ordered_json;
  const bool comparable = aRow.baseline_ != 0.0;
  const Json json{
    { "name", aRow.name_ },
    { "value", aRow.value_ },
    { "unit", aRow.unit_ },
    { "baseline", aRow.baseline_ },
    { "ratio",
      comparable ? Json(aRow.value_ / aRow.baseline_) : Json(nullptr) },
    { "bound", aRow.bound_ ? Json(*aRow.bound_) : Json(nullptr) },
    { "seed", aRow.seed_ },
    { "n", aRow.count_ },
  };
  std::cout << json.dump() << std::endl;
}

/// One curve of a chart, printed as one line with a JSON object and drawn by
/// `bench_report`.
struct Series
{
  std::string chart_;
  std::string name_;
  std::string unit_;
  std::string xUnit_;
  std::vector<std::pair<double, double>> points_;
};

inline void
PrintSeries(const Series& aSeries)
{
  const nlohmann::ordered_json json{
    { "chart", aSeries.chart_ },   { "series", aSeries.name_ },
    { "unit", aSeries.unit_ },     { "xUnit", aSeries.xUnit_ },
    { "points", aSeries.points_ },
  };
  std::cout << json.dump() << std::endl;
}

} // namespace verbenawell::bench
