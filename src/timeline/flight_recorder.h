// Writes a node's flight record to disk, or keeps it in a ring in memory. Records are collected in memory;
// complete blocks are compressed and written on a thread of libuv's pool, so that the event loop never waits
// for the disk. If the disk is too slow, blocks are dropped and counted, and the record shows a gap.
// Decisions that exceed the byte budget are counted instead of recorded.
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
  std::string directory;  // for the record's files; if empty, only Dump writes to disk
  std::string node;       // name of the node; part of the file names
  // A block is written when its raw size reaches block_bytes or its first record is block_interval old.
  std::size_t block_bytes = std::size_t{64} * 1024;
  Time block_interval = 1'000'000;
  std::size_t segment_bytes = std::size_t{16} * 1024 * 1024;  // size at which the next file is begun
  std::size_t total_bytes = std::size_t{256} * 1024 * 1024;   // size of all files; the oldest are deleted
  std::size_t max_queued_blocks = 16;  // blocks waiting for the disk; further blocks are dropped
  // Budget of raw bytes per second; decisions beyond it are counted instead of recorded.
  std::size_t bytes_per_second = std::size_t{2} * 1024 * 1024;
  std::size_t ring_bytes = 0;    // raw size of the newest blocks kept in memory; 0 if there is no ring
  std::string dump_directory;    // where Dump writes the ring
  bool record_reasons = false;   // record the reasons of decisions; otherwise a replay determines them
  bool detect_anomalies = true;  // detect anomalies while recording, and record them
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
                      std::string_view error) override;
  void OnCallId(Time now, policy::RequestId id, std::string_view call_id) override;
  void OnClusterEvent(Time now, std::string_view reason, std::string_view member, std::string_view reporter,
                      std::uint64_t value, std::size_t live_nodes) override;
  void OnDispatch(const policy::DispatchRecord& reason) override { AddReason(reason); }
  void OnConclusion(const policy::ConclusionRecord& reason) override { AddReason(reason); }
  void OnEjection(const policy::EjectionRecord& reason) override { AddReason(reason); }

  // Whether this recorder must be set as the Router's observer, to record the reasons of decisions.
  bool wants_reasons() const { return options_.record_reasons; }
  // Writes the ring to a separate file, in the background. Returns false if there is no ring, or if an
  // earlier dump is still in progress.
  bool Dump();
  void Close();  // writes the remaining blocks and waits for the disk; used at shutdown

  std::uint64_t records() const { return records_; }      // decisions, recorded or counted
  std::uint64_t dropped() const { return dropped_; }      // records dropped because the disk was too slow
  std::uint64_t coalesced() const { return coalesced_; }  // decisions counted instead of recorded
  std::uint64_t anomalies() const { return anomalies_; }  // anomalies that have begun
  std::uint64_t failures() const;  // failed writes; blocks discarded in the pause after one are not counted

 private:
  struct Disk;  // the file writer; used by only one job at a time
  struct Job {
    uv_work_t work{};
    FlightRecorder* recorder = nullptr;
    std::string raw;
  };
  struct DumpJob {
    uv_work_t work{};
    FlightRecorder* recorder = nullptr;
    std::string path;
    std::uint64_t first = 0;  // number of the first block
    std::deque<std::string> raw_blocks;
    int error = 0;
  };
  template <class T>
  void Append(const T& record) {
    Encode(record, block_);
    OnAppended();
  }
  void OnAppended(std::uint64_t records = 1);  // counts records appended to the current block
  void AddReason(const decltype(ReasonRecord::reason)& reason);
  void FlushCoalesced();           // records the counts of coalesced decisions, if there are any
  void RepeatEndpoints(Time now);  // for readers of a record whose beginning has been deleted
  void QueueBlock();               // moves the current block to the queue and to the ring
  void WriteNextBlock();           // starts writing the next block of the queue
  void ScheduleFlush();            // sets the deadline at which the current block is queued

  const Runtime* run_;
  RecorderOptions options_;
  std::unique_ptr<Disk> disk_;
  std::string block_;                // the current block, raw
  std::uint64_t block_records_ = 0;  // records in it
  std::uint64_t lost_ = 0;           // records dropped since the last block that was queued
  std::deque<std::string> queue_;    // raw blocks waiting for the disk
  bool writing_ = false;             // a block is being written
  bool closed_ = false;
  DeadlineId flush_deadline_{};  // when the current block is queued even if it is not full
  std::uint64_t records_ = 0, dropped_ = 0, coalesced_ = 0, anomalies_ = 0;
  RecordBudget budget_;
  Coalescer coalescer_;
  std::string reasons_;             // encoded reasons of the decision in progress
  std::uint64_t reason_count_ = 0;  // number of reasons in reasons_
  AnomalyDetector detector_;
  std::map<policy::ReplicaId, EndpointRecord> endpoints_;  // the last record of each listed replica
  EndpointListRecord endpoint_list_;                       // the last one; `now` is 0 if there is none
  Time repeat_at_ = 0;                                     // time of the next RepeatEndpoints
  std::deque<std::string> ring_;                           // raw blocks
  std::size_t ring_size_ = 0;                              // bytes
  std::uint64_t ring_number_ = 0;                          // number of the next block
  bool dumping_ = false;
};

}  // namespace ryeglade::timeline
