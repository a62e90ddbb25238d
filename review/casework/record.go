package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

var (
	startedAt  = time.Now()
	recordMu   sync.Mutex
	recordFile *os.File
	cleanups   []func()
)

// note writes a line to record.txt, with the time since the start.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(startedAt).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	if recordFile != nil {
		_, _ = recordFile.WriteString(line)
	}
	fmt.Print(line)
}

// quiet is note without a copy on standard output.
func quiet(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordFile != nil {
		_, _ = fmt.Fprintf(recordFile, "%8.3f %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// exit ends all processes that were started, and then this one.
func exit(code int) {
	for _, cleanup := range cleanups {
		cleanup()
	}
	note("exit %d", code)
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	note("the case could not run: "+format, args...)
	exit(notRun)
}

// envInt returns a number from the environment, for experiments.
func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}
