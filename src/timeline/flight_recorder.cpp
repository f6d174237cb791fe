#include "timeline/flight_recorder.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

#include "base/file_io.h"
#include "base/log.h"
#include "timeline/block.h"
#include "timeline/flight_record_codec.h"

namespace ryeglade::timeline {
namespace {

namespace fs = std::filesystem;
constexpr Time kRetryAfter = 5'000'000;       // after a failed write, nothing is written for this long
constexpr Time kRepeatInterval = 60'000'000;  // between two repetitions of the endpoint records
constexpr std::size_t kMaxEndpoints = 4096;   // no endpoint record is written for further replicas
// Size of the encoded reasons of one decision; reasons beyond it are dropped.
constexpr std::size_t kMaxReasonBytes = std::size_t{16} * 1024;

bool HasSameContent(const EndpointRecord& a, const EndpointRecord& b) {
  return a.name == b.name && a.address == b.address && a.started_at == b.started_at && a.state == b.state;
}

}  // namespace

// Writes the record's files. They are named NODE-START-NUMBER.flight, so that the order of their names is the
// order of time.
struct FlightRecorder::Disk {
  std::string prefix, directory;           // prefix: of the file names, "NODE-"
  std::size_t segment_bytes, total_bytes;  // as in RecorderOptions
  std::uint64_t started = 0;               // when the process started, Unix time in milliseconds
  std::uint64_t segment = 0;               // number of the next file
  std::uint64_t number = 0;                // number of the next block
  std::uint64_t failures = 0;              // failed writes
  int fd = -1;                             // the open file; -1 if there is none
  std::size_t size = 0;                    // bytes in the open file
  Time not_before = 0;                     // nothing is written before this time
  int error = 0;                           // errno of the last failed write; 0 once it has been logged

  bool OpenNextFile() {
    const std::string path = fmt::format("{}/{}{:013}-{:06}.flight", directory, prefix, started, segment);
    fd = open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0640);
    size = 0;
    if (fd >= 0) ++segment;
    return fd >= 0 && WriteBytes(FileHeader());
  }
  bool WriteBytes(const std::string& bytes) {
    for (std::size_t at = 0; at < bytes.size();) {
      const ssize_t n = write(fd, bytes.data() + at, bytes.size() - at);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      at += static_cast<std::size_t>(n);
    }
    size += bytes.size();
    return true;
  }
  void CloseFile() {
    if (fd >= 0) close(fd);
    fd = -1;
  }
  // Deletes the oldest files of this node until all fit into total_bytes; never deletes the open file.
  void DeleteOldFiles() {
    std::error_code ignored;
    std::vector<std::pair<std::string, std::size_t>> files;
    std::size_t all = 0;
    for (const fs::directory_entry& e : fs::directory_iterator(directory, ignored)) {
      const std::string name = e.path().filename().string();
      if (!name.starts_with(prefix) || e.path().extension() != ".flight") continue;
      const std::size_t bytes = e.file_size(ignored);
      files.emplace_back(e.path().string(), bytes);
      all += bytes;
    }
    std::sort(files.begin(), files.end());
    for (std::size_t i = 0; i + 1 < files.size() && all > total_bytes; ++i) {
      if (fs::remove(files[i].first, ignored)) all -= files[i].second;
    }
  }
  // Runs on a thread of the pool. Returns false if the block is lost.
  bool Write(const std::string& raw) {
    const std::uint64_t n = number++;  // a lost block leaves a gap in the numbers
    if (Now() < not_before) return false;
    const std::string bytes = MakeBlock(raw, n);
    errno = 0;
    if (fd >= 0 && size + bytes.size() > segment_bytes) CloseFile();
    const bool is_new_file = fd < 0;
    if ((is_new_file && !OpenNextFile()) || !WriteBytes(bytes)) {
      error = errno;
      CloseFile();  // the reader skips the bytes of an incomplete write
      not_before = Now() + kRetryAfter;
      ++failures;
      return false;
    }
    if (is_new_file) DeleteOldFiles();
    return true;
  }
};

FlightRecorder::FlightRecorder(const Runtime* run, RecorderOptions options)
    : run_(run),
      options_(std::move(options)),
      disk_(std::make_unique<Disk>()),
      budget_(options_.bytes_per_second),
      detector_([this](const Anomaly& anomaly) {
        anomalies_ += anomaly.begins ? 1 : 0;
        Append(anomaly);
        const std::string id = Hex8(anomaly.replica);
        Log(anomaly.begins ? Level::kWarn : Level::kInfo, anomaly.begins ? "unusual-began" : "unusual-ended",
            {{"number", anomaly.number},
             {"kind", Name(anomaly.kind)},
             {"of", anomaly.fleet ? std::string_view("fleet") : std::string_view(id)},
             {"before", anomaly.baseline},
             {"during", anomaly.during},
             {"peers", anomaly.peers}});
      }) {
  for (const char c : options_.node.empty() ? std::string("node") : options_.node) {
    disk_->prefix += std::isalnum(static_cast<unsigned char>(c)) != 0 ? c : '_';
  }
  disk_->prefix += '-';
  disk_->directory = options_.directory;
  disk_->segment_bytes = options_.segment_bytes;
  disk_->total_bytes = options_.total_bytes;
  disk_->started = static_cast<std::uint64_t>(Now() / 1000);
}

FlightRecorder::~FlightRecorder() { disk_->CloseFile(); }

std::uint64_t FlightRecorder::failures() const { return disk_->failures; }

void FlightRecorder::OnStart(const std::string& settings, std::uint64_t seed, Time now) {
  detector_.OnStart(settings);
  Append(Start{kFormat, options_.node, settings, seed, now});
}

void FlightRecorder::OnDecision(Time now, const policy::Event& event,
                                const std::vector<policy::Action>& actions) {
  if (closed_) return;
  ++records_;
  // Removed replicas are not repeated. One that returns is recorded again with its address.
  if (const auto* list = std::get_if<policy::EndpointList>(&event)) {
    for (const policy::Endpoint& e : list->endpoints) {
      if (e.state == policy::EndpointState::kRemoved) endpoints_.erase(e.id);
    }
    if (list->scope == policy::EndpointListScope::kFull) {
      const std::vector<policy::ReplicaId> listed = ListedIds(*list);
      std::erase_if(endpoints_, [&](const auto& m) {
        return !std::binary_search(listed.begin(), listed.end(), m.first);
      });
    }
  }
  if (options_.detect_anomalies) detector_.OnDecision(now, event, actions);
  if (!budget_.MayKeep(now)) {
    coalescer_.Count(now, event, actions);
    ++coalesced_;
    reasons_.clear();
    reason_count_ = 0;
    if (coalescer_.Due(now)) FlushCoalesced();
    return;
  }
  FlushCoalesced();
  const std::size_t before = block_.size();
  Encode(now, event, actions, block_);
  block_ += reasons_;
  reasons_.clear();
  budget_.Spend(block_.size() - before);
  OnAppended(1 + std::exchange(reason_count_, 0));
}

void FlightRecorder::OnAppended(std::uint64_t records) {
  block_records_ += records;
  if (closed_) return;  // Close queues the last block itself
  if (flush_deadline_.order == 0) ScheduleFlush();
  if (block_.size() >= options_.block_bytes) QueueBlock();
}

void FlightRecorder::AddReason(const decltype(ReasonRecord::reason)& reason) {
  if (closed_ || reasons_.size() > kMaxReasonBytes) return;
  Encode(ReasonRecord{Now(), reason}, reasons_);
  ++reason_count_;
}

void FlightRecorder::FlushCoalesced() {
  if (const std::optional<CoalescedDecisions> coalesced = coalescer_.TakeCounted()) Append(*coalesced);
}

void FlightRecorder::OnEndpoint(Time now, const policy::Endpoint& entry, const std::string& name,
                                const std::string& address) {
  if (closed_) return;
  const EndpointRecord record{now, entry.id, name, address, entry.started_at, entry.state, false};
  const auto it = endpoints_.find(entry.id);
  if (it != endpoints_.end() && HasSameContent(it->second, record)) return;
  if (it == endpoints_.end() && endpoints_.size() >= kMaxEndpoints) return;
  endpoints_[entry.id] = record;
  Append(record);
}

void FlightRecorder::OnEndpointList(Time now, std::string_view source, std::uint64_t generation,
                                    std::string_view error) {
  if (closed_) return;
  endpoint_list_ = {now, std::string(source), generation, std::string(error), false};
  Append(endpoint_list_);
  if (options_.detect_anomalies) detector_.OnEndpointList(now, source, error);
}

// Call ids are not recorded while the budget is exhausted.
void FlightRecorder::OnCallId(Time now, policy::RequestId id, std::string_view call_id) {
  if (closed_ || call_id.empty() || !budget_.MayKeep(now)) return;
  const std::size_t before = block_.size();
  Encode(CallIdRecord{now, id, std::string(call_id.substr(0, 128))}, block_);
  budget_.Spend(block_.size() - before);
  OnAppended();
}

// Cluster events are not recorded while the budget is exhausted, as a member may flap.
void FlightRecorder::OnClusterEvent(Time now, std::string_view reason, std::string_view member,
                                    std::string_view reporter, std::uint64_t value, std::size_t live_nodes) {
  if (closed_ || !budget_.MayKeep(now)) return;
  const std::size_t before = block_.size();
  Encode(ClusterEventRecord{now, std::string(reason), std::string(member), std::string(reporter), value,
                            live_nodes},
         block_);
  budget_.Spend(block_.size() - before);
  OnAppended();
}

void FlightRecorder::RepeatEndpoints(Time now) {
  repeat_at_ = now + kRepeatInterval;
  for (const auto& [id, endpoint] : endpoints_) {
    EndpointRecord repeated = endpoint;
    repeated.now = now;
    repeated.repeated = true;
    Append(repeated);
  }
  if (endpoint_list_.now == 0) return;
  EndpointListRecord list = endpoint_list_;
  list.repeated = true;  // keeps its time, which tells the age of the list
  Append(list);
}

void FlightRecorder::ScheduleFlush() {
  flush_deadline_ = run_->deadlines->Set(Now() + options_.block_interval, [this] {
    flush_deadline_ = {};
    QueueBlock();
  });
}

void FlightRecorder::QueueBlock() {
  run_->deadlines->Cancel(flush_deadline_);
  if (block_records_ == 0) return;
  if (queue_.size() >= options_.max_queued_blocks) {
    dropped_ += block_records_;
    lost_ += block_records_;
    block_.clear();
    block_records_ = 0;
    return;
  }
  // A Gap precedes the first record after the dropped ones.
  std::string raw;
  if (lost_ > 0) Encode(Gap{std::exchange(lost_, 0)}, raw);
  raw += block_;
  block_.clear();
  block_records_ = 0;
  if (options_.ring_bytes > 0) {
    ring_size_ += raw.size();
    ring_.push_back(raw);
    ++ring_number_;
    while (ring_size_ > options_.ring_bytes && ring_.size() > 1) {
      ring_size_ -= ring_.front().size();
      ring_.pop_front();
    }
  }
  if (!options_.directory.empty()) {
    queue_.push_back(std::move(raw));
    if (!closed_) WriteNextBlock();
  }
  if (const Time now = Now(); !closed_ && now >= repeat_at_) RepeatEndpoints(now);
}

bool FlightRecorder::Dump() {
  if (options_.ring_bytes == 0 || dumping_ || closed_) return false;
  FlushCoalesced();
  RepeatEndpoints(Now());
  QueueBlock();
  DumpJob* job = new DumpJob;
  job->work.data = job;
  job->recorder = this;
  job->raw_blocks = ring_;
  job->first = ring_number_ - ring_.size();
  job->path = fmt::format("{}/{}{:013}-dump.flight", options_.dump_directory, disk_->prefix, Now() / 1000);
  dumping_ = true;
  const int queued = uv_queue_work(
      run_->loop, &job->work,
      [](uv_work_t* w) {
        DumpJob* j = static_cast<DumpJob*>(w->data);
        std::string file = FileHeader();
        for (std::size_t i = 0; i < j->raw_blocks.size(); ++i)
          file += MakeBlock(j->raw_blocks[i], j->first + i);
        j->error = ReplaceFile(j->path, file, 0640).error;
      },
      [](uv_work_t* w, int) {
        const std::unique_ptr<DumpJob> j(static_cast<DumpJob*>(w->data));
        j->recorder->dumping_ = false;
        if (j->error != 0) {
          Log(Level::kWarn, "flight-not-dumped", {{"path", j->path}, {"why", std::strerror(j->error)}});
        } else {
          Log(Level::kInfo, "flight-dumped", {{"path", j->path}, {"blocks", j->raw_blocks.size()}});
        }
      });
  if (queued != 0) {
    dumping_ = false;
    delete job;
  }
  return queued == 0;
}

void FlightRecorder::WriteNextBlock() {
  if (writing_ || queue_.empty()) return;
  writing_ = true;
  Job* job = new Job;
  job->work.data = job;
  job->recorder = this;
  job->raw = std::move(queue_.front());
  queue_.pop_front();
  const int queued = uv_queue_work(
      run_->loop, &job->work,
      [](uv_work_t* w) {
        Job* j = static_cast<Job*>(w->data);
        j->recorder->disk_->Write(j->raw);
      },
      [](uv_work_t* w, int) {
        Job* j = static_cast<Job*>(w->data);
        FlightRecorder* r = j->recorder;
        delete j;
        r->writing_ = false;
        if (const int error = std::exchange(r->disk_->error, 0); error != 0) {
          Log(Level::kWarn, "flight-not-written",
              {{"why", std::strerror(error)}, {"blocks", r->disk_->failures}});
        }
        r->WriteNextBlock();
      });
  if (queued != 0) {
    writing_ = false;
    delete job;
  }
}

void FlightRecorder::Close() {
  if (closed_) return;
  closed_ = true;  // the event loop has ended: no deadline can be set, and no job is running
  if (options_.detect_anomalies) detector_.Close();
  FlushCoalesced();
  QueueBlock();
  while (!queue_.empty()) {
    disk_->Write(queue_.front());
    queue_.pop_front();
  }
  disk_->CloseFile();
}

}  // namespace ryeglade::timeline
