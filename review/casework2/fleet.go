package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// find returns the submitted job of a piece, nil if there is no such job or piece.
func (f *fleet) find(name string) *job {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, number, _ := strings.Cut(name, "/")
	j := f.jobs[id]
	if index, err := strconv.Atoi(number); j == nil || err != nil || index < 0 || index >= j.Pieces {
		return nil
	}
	return j
}

// machinesOf returns the other machines on which a piece is.
func (f *fleet) machinesOf(name string, except *worker) (machines []string) {
	f.mu.Lock()
	workers := append([]*worker(nil), f.workers...)
	f.mu.Unlock()
	for _, w := range workers {
		if w == except {
			continue
		}
		w.mu.Lock()
		for _, p := range w.pieces {
			if p.name == name && p.onMachine() {
				machines = append(machines, w.machine.ref)
			}
		}
		w.mu.Unlock()
	}
	return machines
}

// started records that a piece came to run, and whether that breaks a rule.
func (f *fleet) started(w *worker, p *piece, elsewhere []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record.add("worker %s: %s try %d runs", w.machine.ref, p.name, p.try)
	p.job.starts++
	if len(elsewhere) > 0 {
		f.breaks("ran_twice: %s started on %s while on %v", p.name, w.machine.ref, elsewhere)
	}
	if !p.job.withdrawn.IsZero() && time.Since(p.job.withdrawn) > f.settings.cancel {
		f.breaks("ran_cancelled: %s started on %s", p.name, w.machine.ref)
	}
}

func (f *fleet) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.broken = append(f.broken, text)
	f.record.add("RULE BROKEN %s", text)
}

func (f *fleet) isDone(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[name]
}

func (f *fleet) complete(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.done[name] = true
}

// completed returns how many pieces of a job have completed.
func (f *fleet) completed(id string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.done {
		if strings.HasPrefix(name, id+"/") {
			n++
		}
	}
	return n
}
