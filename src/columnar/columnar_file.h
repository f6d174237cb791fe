// Tables in one HDF5 file: one group per table, with one chunked and deflated data set per column. Numbers
// are 64-bit floats, where NaN means that there is no value, or 64-bit integers; text is UTF-8 of variable
// length. The attribute `rows` of a group is the common length of its columns. The file itself may have text
// attributes. The file contains no time of writing, so that equal tables produce equal bytes.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/text_table.h"

namespace ryeglade {

struct ColumnarFile {
  std::map<std::string, std::string> attributes;  // text attributes of the file itself, by name
  std::vector<TextTable> tables;
  // Throws std::runtime_error if there is no table of this name.
  const TextTable& TableNamed(const std::string& name) const;
};

// Replaces the file atomically and returns when it is on disk. Throws std::runtime_error that describes the
// failure; an existing file is then unchanged.
void WriteColumns(const std::string& path, const ColumnarFile& file);
// Reads the tables and the text attributes; attributes of other types are ignored. Throws std::runtime_error
// that names the file if it does not exist, is not a file of tables, or is damaged.
ColumnarFile ReadColumns(const std::string& path);

}  // namespace ryeglade
