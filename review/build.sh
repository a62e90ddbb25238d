#!/bin/sh
# Builds the stand-ins of the review's cases. The controllers are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/casework ./review/casework
