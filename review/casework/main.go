// Command casework runs the cases of the review: controllers as processes of their own,
// beside stand-ins for the state service, the cloud, the workers and the users.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the cases by name. Each returns the exit code.
var cases = map[string]func(trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casework CASE FOLDER")
		os.Exit(notRun)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	recordFile = file
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-signals; cannotRun("ended by a signal") }()
	trouble := os.Getenv("TROUBLE") != "0"
	note("case %s, with the disruption: %v", os.Args[1], trouble)
	exit(cases[os.Args[1]](trouble))
}
