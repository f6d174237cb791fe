#include "columnar/columnar_file.h"

#include <H5Cpp.h>

#include <algorithm>
#include <cstring>
#include <filesystem>
#include <stdexcept>

#include "base/file_io.h"

namespace ryeglade {
namespace {

constexpr hsize_t kChunkRows = 16384;
constexpr int kDeflateLevel = 4;

H5::StrType TextType() {
  H5::StrType type(H5::PredType::C_S1, H5T_VARIABLE);
  type.setCset(H5T_CSET_UTF8);
  return type;
}

void Write(H5::Group& group, const Column& column) {
  const hsize_t rows =
      std::visit([](const auto& v) { return static_cast<hsize_t>(v.size()); }, column.values);
  const H5::DataSpace space(1, &rows);
  H5::DSetCreatPropList properties;
  H5Pset_obj_track_times(properties.getId(), false);
  if (rows > 0) {
    const hsize_t chunk = std::min(rows, kChunkRows);
    properties.setChunk(1, &chunk);
    properties.setShuffle();
    properties.setDeflate(kDeflateLevel);
  }
  if (const auto* numbers = std::get_if<Numbers>(&column.values)) {
    H5::DataSet set = group.createDataSet(column.name, H5::PredType::IEEE_F64LE, space, properties);
    if (rows > 0) set.write(numbers->data(), H5::PredType::NATIVE_DOUBLE);
  } else if (const auto* integers = std::get_if<Integers>(&column.values)) {
    H5::DataSet set = group.createDataSet(column.name, H5::PredType::STD_I64LE, space, properties);
    if (rows > 0) set.write(integers->data(), H5::PredType::NATIVE_INT64);
  } else {
    const auto& strings = std::get<Strings>(column.values);
    const H5::StrType type = TextType();
    std::vector<const char*> pointers;
    pointers.reserve(strings.size());
    for (const std::string& s : strings) pointers.push_back(s.c_str());
    H5::DataSet set = group.createDataSet(column.name, type, space, properties);
    if (rows > 0) set.write(pointers.data(), type);
  }
}

// Builds the file in memory and returns its bytes. Only ReplaceFile then accesses the disk, so that all disk
// errors are reported in the same way.
std::string Bytes(const ColumnarFile& file) {
  H5::FileAccPropList memory;
  memory.setCore(std::size_t{1} << 20, false);
  H5::H5File out("in memory", H5F_ACC_TRUNC, H5::FileCreatPropList::DEFAULT, memory);
  for (const auto& [name, text] : file.attributes) {
    // A string of variable length is stored in a heap, so the size limit of attributes does not apply to it.
    const char* pointer = text.c_str();
    out.createAttribute(name, TextType(), H5::DataSpace()).write(TextType(), &pointer);
  }
  for (const TextTable& table : file.tables) {
    H5::Group group = out.createGroup(table.name);
    for (const Column& column : table.columns) Write(group, column);
    const auto rows = static_cast<std::int64_t>(table.rows());
    group.createAttribute("rows", H5::PredType::STD_I64LE, H5::DataSpace())
        .write(H5::PredType::NATIVE_INT64, &rows);
  }
  out.flush(H5F_SCOPE_GLOBAL);
  const ssize_t size = H5Fget_file_image(out.getId(), nullptr, 0);
  std::string bytes(static_cast<std::size_t>(std::max<ssize_t>(0, size)), '\0');
  if (size <= 0 || H5Fget_file_image(out.getId(), bytes.data(), bytes.size()) != size)
    throw std::runtime_error("HDF5 did not return the file's bytes");
  return bytes;
}

Column ReadColumn(const H5::Group& group, const std::string& name) {
  const H5::DataSet set = group.openDataSet(name);
  hsize_t rows = 0;
  const H5::DataSpace space = set.getSpace();
  if (space.getSimpleExtentNdims() != 1)
    throw std::runtime_error("column " + name + " does not have exactly one dimension");
  space.getSimpleExtentDims(&rows);
  const auto n = static_cast<std::size_t>(rows);
  switch (set.getTypeClass()) {
    case H5T_FLOAT: {
      Numbers v(n);
      if (n > 0) set.read(v.data(), H5::PredType::NATIVE_DOUBLE);
      return {name, std::move(v)};
    }
    case H5T_INTEGER: {
      Integers v(n);
      if (n > 0) set.read(v.data(), H5::PredType::NATIVE_INT64);
      return {name, std::move(v)};
    }
    case H5T_STRING: {
      if (!set.getStrType().isVariableStr())
        throw std::runtime_error("column " + name +
                                 " has strings of fixed length; expected strings of variable length");
      std::vector<char*> pointers(n);
      const H5::StrType type = TextType();
      if (n > 0) set.read(pointers.data(), type);
      Strings v;
      v.reserve(n);
      for (const char* p : pointers) v.emplace_back(p == nullptr ? "" : p);
      if (n > 0) H5::DataSet::vlenReclaim(pointers.data(), type, space);
      return {name, std::move(v)};
    }
    default:
      throw std::runtime_error("column " + name +
                               " is neither of a float type, nor of an integer type, nor of a string type");
  }
}

}  // namespace

const TextTable& ColumnarFile::TableNamed(const std::string& name) const {
  for (const TextTable& table : tables) {
    if (table.name == name) return table;
  }
  throw std::runtime_error("there is no table '" + name + "'");
}

void WriteColumns(const std::string& path, const ColumnarFile& file) {
  H5::Exception::dontPrint();
  std::string bytes;
  try {
    bytes = Bytes(file);
  } catch (const H5::Exception& e) {
    throw std::runtime_error(path + ": cannot be created: " + e.getDetailMsg());
  }
  const FileError failure = ReplaceFile(path, bytes, 0644);
  if (failure.error != 0)
    throw std::runtime_error(path + ": " + failure.what + ": " + std::strerror(failure.error));
}

ColumnarFile ReadColumns(const std::string& path) {
  H5::Exception::dontPrint();
  try {
    if (!std::filesystem::exists(path)) throw std::runtime_error("no such file");
    const H5::H5File in(path, H5F_ACC_RDONLY);
    ColumnarFile file;
    for (unsigned i = 0; i < static_cast<unsigned>(in.getNumAttrs()); ++i) {
      const H5::Attribute attribute = in.openAttribute(i);
      if (attribute.getTypeClass() != H5T_STRING || !attribute.getStrType().isVariableStr()) continue;
      char* pointer = nullptr;
      attribute.read(TextType(), &pointer);
      file.attributes[attribute.getName()] = pointer == nullptr ? "" : pointer;
      if (pointer != nullptr) H5free_memory(pointer);
    }
    for (hsize_t g = 0; g < in.getNumObjs(); ++g) {
      if (in.childObjType(g) != H5O_TYPE_GROUP) continue;
      TextTable table;
      table.name = in.getObjnameByIdx(g);
      const H5::Group group = in.openGroup(table.name);
      for (hsize_t c = 0; c < group.getNumObjs(); ++c)
        table.columns.push_back(ReadColumn(group, group.getObjnameByIdx(c)));
      const auto rows = [](const Column& c) {
        return std::visit([](const auto& v) { return v.size(); }, c.values);
      };
      for (const Column& c : table.columns) {
        if (rows(c) != table.rows())
          throw std::runtime_error("table " + table.name + " has columns of different lengths");
      }
      file.tables.push_back(std::move(table));
    }
    return file;
  } catch (const H5::Exception& e) {
    throw std::runtime_error(path + ": is not an HDF5 file of tables, or is damaged: " + e.getDetailMsg());
  } catch (const std::exception& e) {
    throw std::runtime_error(path + ": " + e.what());
  }
}

}  // namespace ryeglade
