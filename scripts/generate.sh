#!/usr/bin/env bash
# Regenerates the committed protobuf code from the schemas beside it.
set -euo pipefail
cd "$(dirname "$0")/../src/libs/wire"
protoc --cpp_out=. caller.proto platform.proto peer.proto
