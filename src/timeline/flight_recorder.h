// Keeps a node's flight record, in a ring in memory or on disk: records gather in memory, whole blocks are
// compressed and written off the loop's thread. The loop never waits: when the disk is slower than the node,
// blocks are dropped, counted and shown as gaps; when decisions come faster than the budget allows, they are
// counted instead of kept.
#pragma once

#include <uv.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/runtime.h"
#include "core/ports.h"
#include "timeline/anomaly_model.h"
#include "timeline/coalescing_model.h"

namespace ryeglade::timeline {

struct RecorderOptions {
  std::string directory;  // empty: nothing on disk but what Dump writes
  std::string node;
  std::size_t block_bytes = std::size_t{64} * 1024;             // raw; then it is written
  Time block_interval = 1'000'000;                              // or when its first record is this old
  std::size_t segment_bytes = std::size_t{16} * 1024 * 1024;    // of a file, then the next begins
  std::size_t total_bytes = std::size_t{256} * 1024 * 1024;     // of all files of this node; the oldest go
  std::size_t max_queued_blocks = 16;                           // for the disk; more are dropped
  std::size_t bytes_per_second = std::size_t{2} * 1024 * 1024;  // raw; decisions beyond that are counted
  std::size_t ring_bytes = 0;    // raw, of the newest blocks, kept in memory; 0: none
  std::string dump_directory;    // where Dump writes the ring
  bool record_reasons = false;   // kept with the decisions; else a replay tells them
  bool detect_anomalies = true;  // for anomalies
};

class FlightRecorder : public DecisionRecorder,
                       public EndpointObserver,
                       public StreamObserver,
                       public ClusterObserver,
                       public policy::DecisionObserver {
 public:
  FlightRecorder(const Runtime* run, RecorderOptions options);
  ~FlightRecorder() override;

  void OnStart(const std::string& settings, std::uint64_t seed, Time now) override;
  void OnDecision(Time now, const policy::Event& event, const std::vector<policy::Action>& actions) override;
  void OnEndpoint(Time now, const policy::Endpoint& entry, const std::string& name,
                  const std::string& address) override;
  void OnEndpointList(Time now, std::string_view source, std::uint64_t generation,
                      std::string_view why) override;
  void OnCallId(Time now, policy::RequestId id, std::string_view call_id) override;
  void OnClusterEvent(Time now, std::string_view what, std::string_view member, std::string_view by,
                      std::uint64_t value, std::size_t live) override;
  void OnDispatch(const policy::DispatchRecord& note) override { AddReason(note); }
  void OnConclusion(const policy::ConclusionRecord& note) override { AddReason(note); }
  void OnEjection(const policy::EjectionRecord& note) override { AddReason(note); }

  bool wants_reasons() const { return options_.record_reasons; }
  // Writes the ring to a file of its own, off the loop. False: there is none, or the last is still written.
  bool Dump();
  void Close();  // writes what is left, waiting for the disk; for the program's end

  std::uint64_t records() const { return records_; }
  std::uint64_t dropped() const { return dropped_; }      // records
  std::uint64_t coalesced() const { return coalesced_; }  // decisions counted instead of kept
  std::uint64_t anomalies() const { return anomalies_; }  // events begun
  std::uint64_t failures() const;                         // blocks that the disk did not take

 private:
  struct Disk;  // the writer's side: only ever used by one job at a time
  struct Job {
    uv_work_t work{};
    FlightRecorder* recorder = nullptr;
    std::string raw;
  };
  struct DumpJob {
    uv_work_t work{};
    FlightRecorder* recorder = nullptr;
    std::string path;
    std::uint64_t first = 0;
    std::deque<std::string> raws;
    int error = 0;
  };
  template <class T>
  void Append(const T& record) {
    Encode(record, block_);
    OnAppended();
  }
  void OnAppended(std::uint64_t records = 1);  // counts what was put into the block
  void AddReason(const decltype(ReasonRecord::reason)& what);
  void FlushCoalesced();
  void RepeatEndpoints(Time now);  // identities, for readers of a record whose beginning is gone
  void QueueBlock();               // the block at hand goes to the queue
  void WriteNextBlock();           // the next of the queue to the disk
  void ScheduleFlush();

  const Runtime* run_;
  RecorderOptions options_;
  std::unique_ptr<Disk> disk_;
  std::string block_;
  std::uint64_t block_records_ = 0;  // records
  std::uint64_t lost_ = 0;           // dropped since the last block that was kept
  std::deque<std::string> queue_;
  bool writing_ = false;
  bool closed_ = false;
  DeadlineId due_{};
  std::uint64_t records_ = 0, dropped_ = 0, coalesced_ = 0, anomalies_ = 0;
  RecordBudget budget_;
  Coalescer coalescer_;
  std::string reasons_;  // of the decision that is being taken
  std::uint64_t reason_count_ = 0;
  AnomalyDetector detector_;
  std::map<policy::ReplicaId, EndpointRecord> endpoints_;
  EndpointListRecord endpoint_list_;
  Time repeat_at_ = 0;
  std::deque<std::string> ring_;  // raw blocks
  std::size_t ring_size_ = 0;
  std::uint64_t ring_number_ = 0;  // of the next block
  bool dumping_ = false;
};

}  // namespace ryeglade::timeline
