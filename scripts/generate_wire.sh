#!/usr/bin/env bash
# Generates the C++ code of the Cap'n Proto schemas. The result is committed, so
# that the build does not need the schema compiler.
set -euo pipefail
cd "$(dirname "$0")/../src/wire"
capnp compile -oc++ ./*.capnp
for f in *.capnp.c++; do
  mv "$f" "${f%.c++}.cpp"
done
# The linter leaves out what it takes for a header of the system.
sed -i 's/^#pragma once$/#pragma once\n#pragma GCC system_header/' ./*.capnp.h
