// Package woadweir is reserved for programs that embed the scheduler. The daemon is
// cmd/woadweir.
package woadweir

// Version is the version of the release that this source tree builds.
const Version = "0.1.0"
