#include <iostream>
#include <map>
#include <string>

#include "bench.h"

int main(int argc, char** argv) {
  using namespace mangoplank::bench;  // NOLINT(google-build-using-namespace)
  const std::map<std::string, int (*)()> areas = {
      {"calls", RunCallsBench},
      {"capacity", RunCapacityBench},
      {"state", RunStateBench},
      {"placement", RunPlacementBench},
  };
  if (argc == 2 && areas.count(argv[1]) != 0) return areas.at(argv[1])();
  std::cerr << "usage: mangoplank-bench AREA\nareas:";
  for (const auto& [name, run] : areas) std::cerr << " " << name;
  std::cerr << "\n";
  return 2;
}
