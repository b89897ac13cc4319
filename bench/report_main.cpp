#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DEFINE_string(out,
              "",
              "HTML file to write; measures are read from standard input");

// Writes one self-contained HTML page with a table of the measures and a chart
// for each group of series. Reads the JSON lines that the bench programs print.

namespace {

using nlohmann::json;

struct Point
{
  double x_ = 0;
  double y_ = 0;
};

using Curves = std::map<std::string, std::vector<Point>>;

/// Curves of one chart by name, and the units of its axes.
struct Chart
{
  std::string unit_;
  std::string xUnit_;
  Curves curves_;
};

constexpr double kWidth = 760;
constexpr double kHeight = 220;
constexpr double kMargin = 50;
/// Distance of the label of the largest value from a curve at the top.
constexpr double kLabelGap = 6;
constexpr const char* kColours[] = { "#1b6ca8", "#c8553d", "#3c8d2f",
                                     "#7d4e9e", "#b8860b", "#4d4d4d" };

std::string
Escape(const std::string& aText)
{
  std::string result;
  for (const char character : aText) {
    switch (character) {
      case '<':
        result += "&lt;";
        break;
      case '&':
        result += "&amp;";
        break;
      default:
        result += character;
    }
  }
  return result;
}

std::string
FormatValue(const json& aValue)
{
  if (aValue.is_null()) {
    return "";
  }
  if (!aValue.is_number()) {
    return Escape(aValue.dump());
  }
  std::ostringstream out;
  out.precision(4);
  out << aValue.get<double>();
  return out.str();
}

bool
MissesBound(const json& aRow)
{
  const json& bound = aRow.at("bound");
  if (!bound.is_number()) {
    return false;
  }
  // The bound of the goodput is a minimum; all other bounds are maxima.
  const bool isMinimum =
    aRow.at("name").get<std::string>().starts_with("flood_goodput_kept");
  const auto value = aRow.at("value").get<double>();
  return isMinimum ? value < bound.get<double>() : value > bound.get<double>();
}

void
WriteTable(const std::vector<json>& aRows, std::ostream& aOut)
{
  aOut << "<table><tr><th>measure</th><th>value</th><th>unit</th>"
          "<th>baseline</th><th>ratio</th><th>bound</th><th>seed</th>"
          "<th>n</th></tr>\n";
  for (const json& row : aRows) {
    aOut << (MissesBound(row) ? "<tr class=\"missed\">" : "<tr>") << "<td>"
         << Escape(row.at("name").get<std::string>()) << "</td><td>"
         << FormatValue(row.at("value")) << "</td><td>"
         << Escape(row.at("unit").get<std::string>()) << "</td><td>"
         << FormatValue(row.at("baseline")) << "</td><td>"
         << FormatValue(row.at("ratio")) << "</td><td>"
         << FormatValue(row.at("bound")) << "</td><td>"
         << FormatValue(row.at("seed")) << "</td><td>"
         << FormatValue(row.at("n")) << "</td></tr>\n";
  }
  aOut << "</table>\n";
}

Point
MaxCoordinates(const Curves& aCurves)
{
  Point largest{ 1e-9, 1e-9 };
  for (const auto& [name, points] : aCurves) {
    for (const Point& point : points) {
      largest.x_ = std::max(largest.x_, point.x_);
      largest.y_ = std::max(largest.y_, point.y_);
    }
  }
  return largest;
}

void
WriteCurve(const std::vector<Point>& aPoints,
           const Point& aLargest,
           const char* aColour,
           std::ostream& aOut)
{
  aOut << "<polyline fill=\"none\" stroke=\"" << aColour << "\" points=\"";
  for (const Point& point : aPoints) {
    aOut << kMargin + point.x_ / aLargest.x_ * (kWidth - 2 * kMargin) << ','
         << kHeight - kMargin - point.y_ / aLargest.y_ * (kHeight - 2 * kMargin)
         << ' ';
  }
  aOut << "\"/>\n";
}

void
WriteChart(const std::string& aTitle, const Chart& aChart, std::ostream& aOut)
{
  const Point largest = MaxCoordinates(aChart.curves_);
  aOut << "<h2>" << Escape(aTitle) << "</h2>\n<svg viewBox=\"0 0 " << kWidth
       << ' ' << kHeight << "\">\n<path class=\"axis\" d=\"M" << kMargin << ','
       << kMargin << " V" << kHeight - kMargin << " H" << kWidth - kMargin
       << "\"/>\n<text x=\"5\" y=\"" << kMargin - kLabelGap << "\">"
       << largest.y_ << ' ' << Escape(aChart.unit_)
       << "</text>\n<text text-anchor=\"end\" x=\"" << kWidth - kMargin
       << "\" y=\"" << kHeight - kMargin / 2 << "\">" << largest.x_ << ' '
       << Escape(aChart.xUnit_) << "</text>\n";
  std::size_t number = 0;
  for (const auto& [name, points] : aChart.curves_) {
    const char* colour = kColours[number % std::size(kColours)];
    WriteCurve(points, largest, colour, aOut);
    aOut << "<text fill=\"" << colour << "\" x=\""
         << kMargin + 130.0 * static_cast<double>(number % 5) << "\" y=\""
         << (number < 5 ? 14 : 30) << "\">" << Escape(name) << "</text>\n";
    ++number;
  }
  aOut << "</svg>\n";
}

Chart&
AddSeries(const json& aLine, std::map<std::string, Chart>& aCharts)
{
  Chart& chart = aCharts[aLine.at("chart").get<std::string>()];
  chart.unit_ = aLine.at("unit").get<std::string>();
  chart.xUnit_ = aLine.value("xUnit", "s");
  auto& points = chart.curves_[aLine.at("series").get<std::string>()];
  for (const json& point : aLine.at("points")) {
    points.push_back({ point.at(0).get<double>(), point.at(1).get<double>() });
  }
  return chart;
}

void
WritePage(std::istream& aIn, std::ostream& aOut)
{
  std::vector<json> rows;
  std::map<std::string, Chart> charts;
  for (std::string line; std::getline(aIn, line);) {
    const json parsed = json::parse(line);
    if (parsed.contains("series")) {
      AddSeries(parsed, charts);
    } else {
      rows.push_back(parsed);
    }
  }
  aOut << "<!doctype html><html><head><meta charset=\"utf-8\">"
          "<title>verbenawell measures</title><style>"
          "body{font-family:sans-serif;max-width:60em;margin:2em auto}"
          "table{border-collapse:collapse}"
          "td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}"
          "td:first-child{text-align:left}.missed{background:#fbd7d0}"
          "svg{width:100%}text{font-size:11px}"
          ".axis{fill:none;stroke:#888}</style></head><body>\n"
          "<h1>Measures</h1>\n<p>Rows in red miss their bound.</p>\n";
  WriteTable(rows, aOut);
  for (const auto& [title, chart] : charts) {
    WriteChart(title, chart, aOut);
  }
  aOut << "</body></html>\n";
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  std::ofstream out{ FLAGS_out };
  if (!out) {
    std::cerr << "bench-report: cannot write \"" << FLAGS_out << "\"\n";
    return 1;
  }
  try {
    WritePage(std::cin, out);
  } catch (const json::exception& error) {
    std::cerr << "bench-report: invalid measure on standard input: "
              << error.what() << '\n';
    return 1;
  }
}
