#include "timeline/reader.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <optional>
#include <stdexcept>
#include <utility>

#include "timeline/verify.h"

namespace ryeglade::timeline {
namespace {

namespace fs = std::filesystem;

// A file mapped into memory for reading.
class MappedFile {
 public:
  explicit MappedFile(const std::string& path) {
    const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
    struct stat status {};
    if (fd < 0 || fstat(fd, &status) != 0) {
      const int error = errno;
      if (fd >= 0) close(fd);
      throw std::runtime_error(path + " cannot be read: " + std::strerror(error));
    }
    size_ = static_cast<std::size_t>(status.st_size);
    if (size_ > 0) data_ = mmap(nullptr, size_, PROT_READ, MAP_PRIVATE, fd, 0);
    close(fd);
    if (data_ == MAP_FAILED) throw std::runtime_error(path + " cannot be read: " + std::strerror(errno));
  }
  ~MappedFile() {
    if (size_ > 0) munmap(data_, size_);
  }
  MappedFile(const MappedFile&) = delete;
  MappedFile& operator=(const MappedFile&) = delete;
  std::string_view text() const {
    return size_ == 0 ? std::string_view() : std::string_view(static_cast<const char*>(data_), size_);
  }
  // Releases the memory of the first `bytes`, which will not be read again.
  void Release(std::size_t bytes) {
    const std::size_t aligned_bytes = bytes / kReleaseStep * kReleaseStep;
    if (aligned_bytes <= released_) return;
    madvise(static_cast<char*>(data_) + released_, aligned_bytes - released_, MADV_DONTNEED);
    released_ = aligned_bytes;
  }

 private:
  static constexpr std::size_t kReleaseStep = std::size_t{4} * 1024 * 1024;  // bytes
  void* data_ = nullptr;
  std::size_t size_ = 0, released_ = 0;
};

// Passes records on to a sink. If the node recorded no reasons, adds those determined by a replay.
class ReasonFinder : public policy::DecisionObserver {
 public:
  explicit ReasonFinder(const std::function<void(const Record&)>& sink) : sink_(sink), verifier_(this) {}

  void AddRecord(const Record& record) {
    // Recorded reasons follow their decision immediately; those of the replay are then discarded.
    if (std::holds_alternative<Start>(record)) has_recorded_reasons_ = false;
    if (std::holds_alternative<ReasonRecord>(record)) {
      replayed_.clear();
      has_recorded_reasons_ = true;
    } else {
      Flush();
    }
    sink_(record);
    const auto* decision = std::get_if<Decision>(&record);
    now_ = decision != nullptr ? decision->now : now_;
    if (!has_recorded_reasons_) verifier_.AddRecord(record);
  }
  void Flush() {
    for (const ReasonRecord& reason : std::exchange(replayed_, {})) sink_(reason);
  }
  void OnDispatch(const policy::DispatchRecord& reason) override { replayed_.push_back({now_, reason}); }
  void OnConclusion(const policy::ConclusionRecord& reason) override { replayed_.push_back({now_, reason}); }
  void OnEjection(const policy::EjectionRecord& reason) override { replayed_.push_back({now_, reason}); }

 private:
  const std::function<void(const Record&)>& sink_;
  Verifier verifier_;
  bool has_recorded_reasons_ = false;  // a reason was recorded since the last start; nothing is replayed then
  std::vector<ReasonRecord> replayed_;  // reasons that the replay gave for the last decision
  Time now_ = 0;                        // time of the last decision
};

}  // namespace

std::string ReadTotals::Losses() const {
  std::string out;
  if (report.lost_bytes > 0) {
    out += fmt::format("lost: {} bytes in {} ranges without complete blocks\n", report.lost_bytes,
                       report.lost_ranges);
  }
  if (report.missing_blocks > 0) out += fmt::format("missing: {} blocks\n", report.missing_blocks);
  if (unreadable_blocks > 0) out += fmt::format("unreadable: {} blocks\n", unreadable_blocks);
  return out;
}

std::vector<std::string> FlightFiles(const std::vector<std::string>& paths) {
  std::vector<std::string> files;
  for (const std::string& path : paths) {
    if (!fs::is_directory(path)) {
      files.push_back(path);
      continue;
    }
    std::vector<std::string> inside;
    for (const fs::directory_entry& e : fs::directory_iterator(path)) {
      if (e.path().extension() == ".flight") inside.push_back(e.path().string());
    }
    std::sort(inside.begin(), inside.end());
    files.insert(files.end(), inside.begin(), inside.end());
  }
  if (files.empty()) throw std::runtime_error("no .flight files found in the given directories");
  return files;
}

Time FirstTime(const std::string& path) {
  const MappedFile file(path);
  Time first = 0;
  ReadBlocks(file.text(), [&](std::uint64_t, std::string_view raw) {
    std::vector<Record> records;
    Decode(raw, records);
    for (std::size_t i = 0; i < records.size() && first == 0; ++i) first = RecordTime(records[i]);
    return first == 0;
  });
  return first;
}

ReadTotals ReadFlight(const std::vector<std::string>& files, const std::function<void(const Record&)>& sink,
                      const std::function<void(std::size_t, std::size_t)>& progress) {
  ReadTotals totals;
  std::optional<std::uint64_t> last;
  std::vector<Record> records;
  for (std::size_t n = 0; n < files.size(); ++n) {
    if (progress) progress(n + 1, files.size());
    MappedFile file(files[n]);
    ReadReport report;
    try {
      report = ReadBlocks(
          file.text(),
          [&](std::uint64_t number, std::string_view raw) {
            records.clear();
            bool readable = true;
            try {
              Decode(raw, records);
            } catch (const std::runtime_error&) {
              readable = false;
              ++totals.unreadable_blocks;
            }
            const bool starts = !records.empty() && std::holds_alternative<Start>(records.front());
            if (last && number != *last + 1 && !starts) sink(Gap{0});
            last = number;
            totals.records += records.size();
            for (const Record& r : records) sink(r);
            if (!readable) sink(Gap{0});
            return true;
          },
          [&](std::size_t bytes) { file.Release(bytes); });
    } catch (const std::runtime_error& e) {
      throw std::runtime_error(files[n] + " " + e.what());
    }
    ++totals.files;
    totals.bytes += file.text().size();
    totals.report.blocks += report.blocks;
    totals.report.lost_bytes += report.lost_bytes;
    totals.report.lost_ranges += report.lost_ranges;
    totals.report.missing_blocks += report.missing_blocks;
  }
  return totals;
}

ReadTotals ReadWithReasons(const std::vector<std::string>& files,
                           const std::function<void(const Record&)>& sink,
                           const std::function<void(std::size_t, std::size_t)>& progress) {
  ReasonFinder reasons(sink);
  const ReadTotals totals = ReadFlight(
      files, [&](const Record& r) { reasons.AddRecord(r); }, progress);
  reasons.Flush();
  return totals;
}

}  // namespace ryeglade::timeline
