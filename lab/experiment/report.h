// Tables and charts of results: intervals over paired seeds, and which differences exceed noise.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "lab/emulator/compare.h"
#include "lab/experiment/results.h"

namespace ryeglade::experiment {

// The difference of two series of values with one value per seed; seeds that lack either value are left out.
struct Difference {
  emulator::Interval interval;  // b minus a; 95% interval by Student's t distribution
  double p = 1;                 // two-sided p-value of the hypothesis of no difference
  std::size_t pairs = 0;        // with fewer than two, `p` is 1 and the interval has no width
};
Difference PairedDifference(const std::vector<double>& a, const std::vector<double>& b);

// Returns which of the p-values are significant at a family-wise level of 5%, by Holm's step-down procedure
// (1979).
std::vector<bool> HolmSignificant(const std::vector<double>& p);

// Returns a Markdown report: the simulations that were run, a table for each measure, and links to the
// charts.
std::string ReportMarkdown(const Results& results, const std::vector<std::string>& charts);

// Returns pairs of an image file and the gnuplot script that draws it: the measures over the first axis with
// numeric values (one chart for each combination of the other axes, at most 12), and of the last cell the
// time series, the distribution of the time to the first token, and what each replica served over time.
// `stem` is the path of the images without their suffix and extension.
std::vector<std::pair<std::string, std::string>> ReportCharts(const Results& results, const std::string& stem,
                                                              const std::string& ending);

// Returns a table of the differences between two results of the same cells, policies and seeds. `differs` is
// set to the number of significant differences. Throws std::runtime_error if the cells or seeds differ.
std::string CompareResults(const Results& a, const Results& b, std::size_t* differs);

}  // namespace ryeglade::experiment
