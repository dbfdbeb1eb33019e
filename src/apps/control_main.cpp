#include "control/control_process.h"
#include "control/options.h"
#include "mangoplank/process/program.h"

int main(int argc, char** argv) {
  using mangoplank::process::program;
  const program p{"mangoplank-control",
                  "member of the replicated log, and the leader's work",
                  mangoplank::control::Options(),
                  mangoplank::control::RunControl};
  return mangoplank::process::Main(p, argc, argv);
}
