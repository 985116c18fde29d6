#include "bench/report.hpp"

#include <algorithm>
#include <sstream>

namespace madderdeck::bench {
namespace {

constexpr double kWidth = 720;
constexpr double kHeight = 180;

/// A line over time, scaled to its own largest value.
std::string plot(const std::string& title, const std::vector<Sample>& points) {
  double end_s = 0.001;
  double top = 0.001;
  for (const Sample& point : points) {
    end_s = std::max(end_s, point.at_s);
    top = std::max(top, point.value_ms);
  }
  std::ostringstream svg;
  svg << "<h3>" << title << " (top of the axis: " << top << ", length: " << end_s << " s)</h3><svg width='" << kWidth
      << "' height='" << kHeight << "' style='background:#f4f4f4'><polyline fill='none' stroke='#225588' points='";
  for (const Sample& point : points) {
    svg << kWidth * point.at_s / end_s << "," << kHeight - (kHeight - 4) * point.value_ms / top << " ";
  }
  svg << "'/></svg>\n";
  return svg.str();
}

/// The 95th of 100 in each second.
std::vector<Sample> tail_over_time(const Samples& samples) {
  double end_s = 0;
  for (const Sample& sample : samples.all()) {
    end_s = std::max(end_s, sample.at_s);
  }
  std::vector<Sample> tail;
  for (double second = 0; second < end_s; second += 1) {
    tail.push_back({second, samples.quantile(0.95, second, second + 1)});
  }
  return tail;
}

}  // namespace

std::string html_report(const std::vector<ExperimentResult>& results) {
  std::ostringstream page;
  page
      << "<!doctype html><meta charset='utf-8'><title>madderdeck experiments</title><style>body{font-family:sans-serif}"
         "td,th{padding:2px 10px;text-align:right}</style><h1>madderdeck "
         "experiments</h1>\n<table><tr><th>run<th>answered<th>p50 ms<th>p95 "
         "ms<th>p99 ms<th>batch items/s<th>prefill tokens<th>yielded</tr>\n";
  for (const ExperimentResult& result : results) {
    page << "<tr><td>" << result.name << "<td>" << result.answered << "/" << result.sent << "<td>" << result.p50_ms
         << "<td>" << result.p95_ms << "<td>" << result.p99_ms << "<td>" << result.batch_items_a_second << "<td>"
         << result.prefill_tokens << "<td>" << result.yielded << "</tr>\n";
  }
  page << "</table>\n";
  for (const ExperimentResult& result : results) {
    page << "<h2>" << result.name << "</h2>\n"
         << plot("time to first token, 95 in 100, ms", tail_over_time(result.first_token))
         << plot("batch items completed", result.batch_items_over_time);
  }
  return page.str();
}

}  // namespace madderdeck::bench
