#!/usr/bin/env bash
# Makes cell.pb.go and cell_grpc.pb.go anew. Needs protoc, protoc-gen-go and
# protoc-gen-go-grpc.
set -euo pipefail
cd "$(dirname "$0")/../.."
imports=$(mktemp)
trap 'rm -f "$imports"' EXIT
go run ./internal/cellrpc/protodeps >"$imports"
protoc --descriptor_set_in="$imports" -I . --go_out=. --go_opt=module=woadweir --go-grpc_out=. --go-grpc_opt=module=woadweir internal/cellrpc/cell.proto
