#include "entry/entry_process.h"
#include "entry/options.h"
#include "mangoplank/process/program.h"

int main(int argc, char** argv) {
  using mangoplank::process::program;
  const program p{"mangoplank-entry", "HTTP for callers, workers and operators",
                  mangoplank::entry::Options(), mangoplank::entry::RunEntry};
  return mangoplank::process::Main(p, argc, argv);
}
