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
	for _, w := range f.allWorkers() {
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

// tooLong records an answer with a line that is too long.
func (f *fleet) tooLong(w *worker, longest int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.longest = max(f.longest, longest)
	f.record.add("worker %s: an answer has a line of %d bytes; it can't be read", w.machine.ref, longest)
}

// member is a piece of a gang with its worker.
type member struct {
	worker *worker
	piece  *piece
}

// gather adds a piece to its gang. The pieces start together once the last one has its
// image, and complete together. Nothing ends a machine of a gang in these cases.
func (f *fleet) gather(w *worker, p *piece) {
	f.mu.Lock()
	key := fmt.Sprintf("%s try %d", p.job.Ref, p.try)
	f.gangs[key] = append(f.gangs[key], member{w, p})
	gang := f.gangs[key]
	f.mu.Unlock()
	if len(gang) < p.job.Pieces {
		return
	}
	for _, m := range gang {
		go func() {
			m.worker.mu.Lock()
			defer m.worker.mu.Unlock()
			if m.worker.has(m.piece) {
				m.worker.execute(m.piece)
			}
		}()
	}
}

// onMachines returns how many pieces of a job are on machines.
func (f *fleet) onMachines(id string) (n int) {
	for _, w := range f.allWorkers() {
		w.mu.Lock()
		for _, p := range w.pieces {
			if p.job != nil && p.job.Ref == id && p.onMachine() {
				n++
			}
		}
		w.mu.Unlock()
	}
	return n
}

func (f *fleet) allWorkers() []*worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*worker(nil), f.workers...)
}
