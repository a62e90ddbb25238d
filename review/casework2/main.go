// Command casework2 runs the cases of the second review: the project's controllers as
// separate processes on loopback, with stand-ins for what stands round them.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	heldCode   = 0
	brokenCode = 1
	failedCode = 2 // the case could not run
)

// cases are the cases by name.
var cases = map[string]func(b *bench) error{
	"line-limit":    lineLimit,
	"team-limit":    teamLimit,
	"unknown-field": unknownField,
}

// bench is what a case works with.
type bench struct {
	trouble bool
	binary  string
	folder  string // temporary
	record  *record
	*deployment
	state  *stateService
	cloud  *cloudService
	fleet  *fleet
	users  *users
	broken []string
}

// breaks records that a rule was broken.
func (b *bench) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.broken = append(b.broken, text)
	b.record.add("RULE BROKEN %s", text)
}

// open prepares the deployment and its stand-ins; no controller runs yet.
func (b *bench) open(d *deployment, nodes int, latency time.Duration) error {
	b.deployment = d
	d.binary, d.folder, d.record = b.binary, b.folder, b.record
	if err := d.addNodes(nodes); err != nil {
		return err
	}
	b.fleet = newFleet(d, b.record)
	b.state, b.cloud = newStateService(d, latency), newCloudService(d, b.fleet, b.record)
	var err error
	if d.stateAddress, err = serve(b.state); err != nil {
		return err
	}
	if d.cloudAddress, err = serve(b.cloud); err != nil {
		return err
	}
	return nil
}

// waitHealthy waits until controllers are healthy in the eyes of the load balancer.
func (b *bench) waitHealthy(names []string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		missing := false
		for _, name := range names {
			missing = missing || !b.users.isHealthy(name)
		}
		if !missing {
			return true
		}
	}
	return false
}

var errUsage = errors.New("usage: casework2 CASE PROGRAM RECORD")

func main() {
	code, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run(args []string) (int, error) {
	if len(args) != 3 || cases[args[0]] == nil {
		return failedCode, errUsage
	}
	rec, err := newRecord(args[2])
	if err != nil {
		return failedCode, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return failedCode, err
	}
	defer os.RemoveAll(folder)
	b := &bench{trouble: os.Getenv("TROUBLE") != "0", binary: args[1], folder: folder, record: rec}
	rec.add("case %s, trouble: %v", args[0], b.trouble)
	err = cases[args[0]](b)
	if b.deployment != nil {
		b.killAll()
		keepLogs(b.folder)
	}
	if err != nil {
		rec.add("the case could not run: %v", err)
		return failedCode, err
	}
	if b.fleet != nil {
		b.broken = append(b.broken, b.fleet.broken...)
	}
	for _, text := range b.broken {
		fmt.Println("rule broken:", text)
	}
	if len(b.broken) > 0 {
		rec.add("result: broken")
		return brokenCode, nil
	}
	rec.add("result: held")
	fmt.Println("rule held")
	return heldCode, nil
}

// keepLogs moves the controllers' logs and settings to the folder KEEP_LOGS, if that is set.
func keepLogs(folder string) {
	if to := os.Getenv("KEEP_LOGS"); to != "" {
		_ = os.CopyFS(to, os.DirFS(folder)) // a convenience
	}
}
