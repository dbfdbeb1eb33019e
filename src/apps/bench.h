#ifndef MANGOPLANK_APPS_BENCH_H_
#define MANGOPLANK_APPS_BENCH_H_

/// Areas of mangoplank-bench. Each prints `name value unit` lines and returns
/// the exit code of the process.
namespace mangoplank::bench {

/// Sizes and costs per worker, task, department, call and message.
int RunCapacityBench();
/// Commit throughput and latency, failover and catching up of the replicated
/// log, with real disks in a temporary folder and links in memory.
int RunStateBench();

/// Slot shares, overload, quick calls beside bulk work, CPU per call.
int RunCallsBench();

/// Speed, packing, waiting times and fairness of placement decisions.
int RunPlacementBench();

}  // namespace mangoplank::bench

#endif  // MANGOPLANK_APPS_BENCH_H_
