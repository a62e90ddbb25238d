// Package woadweir is left for programs that will embed the scheduler; the
// daemon lives in cmd/woadweir.
package woadweir

// Version is the release that this source tree builds.
const Version = "0.1.0"
