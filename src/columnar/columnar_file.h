// Tables in one HDF5 file: a group for each, in it a data set for each column, chunked and deflated. Numbers
// are 64-bit floats (NaN: not told) or integers, words are UTF-8 text of variable length. The attribute
// `rows` of a group is its columns' common length. Notes are text attributes of the file itself. Nothing in
// the file tells when it was written, so that the same tables are the same bytes.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/text_table.h"

namespace ryeglade {

struct ColumnarFile {
  std::map<std::string, std::string> attributes;
  std::vector<TextTable> tables;
  const TextTable& TableNamed(
      const std::string& name) const;  // throws std::runtime_error where it is not there
};

// The file is there whole or as it was before. Waits for the disk; throws std::runtime_error saying which
// step failed.
void WriteColumns(const std::string& path, const ColumnarFile& file);
// Throws std::runtime_error naming the file for what is no such file or is damaged.
ColumnarFile ReadColumns(const std::string& path);

}  // namespace ryeglade
