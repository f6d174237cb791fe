// The columnar file is written by the program, read back with the HDF5 library and compared with the tables.
#include <H5Cpp.h>
#include <gtest/gtest.h>

#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <vector>

#include "lab/fault_scenarios.h"
#include "timeline/export_model.h"
#include "timeline/record_loader.h"

namespace ryeglade::timeline {
namespace {

TEST(Hdf5, TheFileHoldsEveryColumnOfEveryTable) {
  const std::string base =
      std::filesystem::temp_directory_path().string() + "/ryeglade-h5-" + std::to_string(getpid());
  lab::FaultScenarioOptions scenario;
  scenario.seconds = 90;
  scenario.fault_at = 30;
  scenario.fault_seconds = 20;
  scenario.fault = lab::ScriptedFault::kCutOff;
  lab::WriteFaultScenario(scenario, base + ".flight");
  const std::string command = std::string(std::getenv("RYEGLADE_PROGRAM")) + " timeline export --hdf5 " +
                              base + ".h5 " + base + ".flight >/dev/null";
  ASSERT_EQ(std::system(command.c_str()), 0);
  const H5::H5File file(base + ".h5", H5F_ACC_RDONLY);
  LoadOptions options;
  options.max_bins = 100'000;
  std::string losses;
  std::size_t compared = 0, nan_values = 0;
  for (const TextTable& table : TimelineTables(LoadNodes({base + ".flight"}, options, &losses).front())) {
    const H5::Group group = file.openGroup(table.name);
    for (const Column& column : table.columns) {
      const H5::DataSet set = group.openDataSet(column.name);
      ASSERT_EQ(static_cast<std::size_t>(set.getSpace().getSimpleExtentNpoints()), table.rows())
          << table.name << column.name;
      if (table.rows() == 0) continue;
      if (const auto* integers = std::get_if<std::vector<std::int64_t>>(&column.values)) {
        std::vector<std::int64_t> read(table.rows());
        set.read(read.data(), H5::PredType::NATIVE_INT64);
        EXPECT_EQ(read, *integers);
      } else if (const auto* numbers = std::get_if<std::vector<double>>(&column.values)) {
        std::vector<double> read(table.rows());
        set.read(read.data(), H5::PredType::NATIVE_DOUBLE);
        for (std::size_t i = 0; i < read.size(); ++i) {
          EXPECT_TRUE(read[i] == (*numbers)[i] || (std::isnan(read[i]) && std::isnan((*numbers)[i])));
          nan_values += std::isnan(read[i]) ? 1 : 0;
        }
      } else {
        const auto& strings = std::get<std::vector<std::string>>(column.values);
        std::vector<char*> read(table.rows());
        H5::StrType type(H5::PredType::C_S1, H5T_VARIABLE);
        type.setCset(H5T_CSET_UTF8);
        set.read(read.data(), type);
        for (std::size_t i = 0; i < read.size(); ++i) EXPECT_EQ(strings[i], read[i]);
        H5Dvlen_reclaim(type.getId(), set.getSpace().getId(), H5P_DEFAULT, read.data());
      }
      ++compared;
    }
  }
  EXPECT_GT(compared, 30U);
  EXPECT_GT(nan_values, 0U);
  for (const char* end : {".h5", ".flight"}) std::filesystem::remove(base + end);
}

TEST(Hdf5, AnUnwritablePathIsAnError) {
  const std::string base =
      std::filesystem::temp_directory_path().string() + "/ryeglade-h5-bad-" + std::to_string(getpid());
  lab::FaultScenarioOptions scenario;
  scenario.seconds = 5;
  lab::WriteFaultScenario(scenario, base + ".flight");
  const std::string command = std::string(std::getenv("RYEGLADE_PROGRAM")) +
                              " timeline export --hdf5 /nowhere/at/all.h5 " + base +
                              ".flight >/dev/null 2>&1";
  EXPECT_NE(std::system(command.c_str()), 0);
  std::filesystem::remove(base + ".flight");
}

}  // namespace
}  // namespace ryeglade::timeline
