package controller

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"time"

	"woadweir/internal/cloud"
	"woadweir/internal/core/model"
	"woadweir/internal/peer"
	"woadweir/internal/state"
)

// effects are the operations that the controller actor starts outside of itself. Every
// outcome comes back as a message. Tests replace them by simulated services.
type effects interface {
	// sync reads the changes of records since a revision, or lists all records.
	sync(from uint64, list bool)
	// commit sends a transaction to the state service.
	commit(m msgCommitted)
	// fetchMachineTypes, listMachines, rentMachines and deleteMachines call the cloud.
	fetchMachineTypes()
	listMachines()
	rentMachines(m msgRented)
	deleteMachines(m msgDeleted)
	// ping asks the siblings whether they reach the state service and the workers.
	ping()
	// resign ends a session, through a sibling if one is named.
	resign(session uint64, sibling string)
}

// Timeouts of calls.
const (
	syncTimeout       = 800 * model.Millisecond // for changes; a listing may take twice as long
	commitTimeout     = 1500 * model.Millisecond
	cloudTimeout      = 5 * model.Second
	pingTimeout       = 400 * model.Millisecond
	resignCallTimeout = 2 * time.Second
)

const (
	rentAttempts   = 5 // maximum attempts at a rental that gets no answer
	rentRetryPause = model.Second
)

// errTooLate means that a call was not sent because its authority had expired.
var errTooLate = errors.New("request to the cloud not sent: the authority for it has expired")

// asyncEffects implements effects. It runs each operation in a goroutine of its own.
type asyncEffects struct {
	mailbox chan<- any
	clock   Clock
	state   *state.Client
	cloud   *cloud.Client
	peers   []*peer.Client
	name    string
	ctx     context.Context
	// abandon passes sessions that are given up to the session actor.
	abandon chan<- uint64
}

// send sends the outcome of an effect to the controller actor.
func (e *asyncEffects) send(m any) {
	select {
	case e.mailbox <- m:
	case <-e.ctx.Done():
	}
}

func (e *asyncEffects) sync(from uint64, list bool) {
	go func() {
		m := msgSynced{sentAt: e.clock()}
		if list {
			view := state.NewView()
			m.view = view
			view.Revision, m.err = e.state.List(2*syncTimeout, func(entry state.Entry) error {
				_, err := view.Set(entry.Path, entry.Value, entry.Revision)
				return err
			})
		} else {
			m.changes, m.err = e.state.Watch(from, syncTimeout)
		}
		e.send(m)
	}()
}

func (e *asyncEffects) commit(m msgCommitted) {
	go func() {
		m.result, m.err = e.state.Commit(m.txn, commitTimeout)
		e.send(m)
	}()
}

func (e *asyncEffects) fetchMachineTypes() {
	go func() {
		machineTypes, err := e.cloud.MachineTypes(cloudTimeout)
		e.send(msgMachineTypes{machineTypes, err})
	}()
}

func (e *asyncEffects) listMachines() {
	go func() {
		sentAt := e.clock()
		machines, err := e.cloud.List(cloudTimeout)
		e.send(msgListed{sentAt, machines, err})
	}()
}

// tooLate reports whether the authority for a call has expired, so that it must not be
// sent.
func (e *asyncEffects) tooLate(call intentRef) bool {
	return call.intentKey != "" && e.clock() >= call.sendBefore
}

// rentMachines retries a rental that gets no answer with the same request ID, so that
// nothing is rented twice. A rental that carries out an intent is not retried here but by
// the holder of the duty that executes the intent.
func (e *asyncEffects) rentMachines(m msgRented) {
	go func() {
		for attempt := 1; ; attempt++ {
			if e.tooLate(m.intentRef) {
				m.err = errTooLate
				break
			}
			m.machines, m.err = e.cloud.Rent(&m.rental, cloudTimeout)
			if m.err == nil || errors.Is(m.err, cloud.ErrNoCapacity) || attempt == rentAttempts || m.intentKey != "" {
				break
			}
			if !sleep(e.ctx, rentRetryPause) {
				break
			}
		}
		e.send(m)
	}()
}

func (e *asyncEffects) deleteMachines(m msgDeleted) {
	go func() {
		if m.err = errTooLate; !e.tooLate(m.intentRef) {
			m.err = e.cloud.Delete(m.machineIDs, cloudTimeout)
		}
		e.send(m)
	}()
}

// pingResult is a sibling's answer to a ping.
type pingResult struct {
	name  string
	alive bool
	peer.Status
}

func (e *asyncEffects) ping() {
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, pingTimeout.Duration())
		defer cancel()
		results := make(chan pingResult, len(e.peers))
		for _, sibling := range e.peers {
			go func() {
				status, err := sibling.Ping(ctx, e.name)
				results <- pingResult{sibling.Name, err == nil, status}
			}()
		}
		e.send(collectPings(results, len(e.peers)))
	}()
}

// collectPings combines the answers to a round of pings.
func collectPings(results <-chan pingResult, pings int) msgPinged {
	var m msgPinged
	workers := map[string]int{}
	for range pings {
		result := <-results
		if result.alive {
			m.alive++
		}
		m.workers += result.Workers
		if result.ReachesState {
			m.serving = append(m.serving, result.name)
		}
		if result.RelaysHeartbeats {
			m.relays = append(m.relays, result.name)
			workers[result.name] = result.Workers
		}
	}
	slices.SortFunc(m.relays, func(a, b string) int { return cmp.Or(workers[a]-workers[b], strings.Compare(a, b)) })
	return m
}

func (e *asyncEffects) resign(session uint64, sibling string) {
	select {
	case e.abandon <- session:
	default: // too many sessions are queued to be ended; this one expires by itself
	}
	go func() {
		if sibling == "" {
			if err := e.state.RevokeLease(session, endSessionTimeout); err != nil {
				slog.Info("could not end this controller's session after resigning", "err", err)
			}
			return
		}
		e.resignThrough(session, sibling)
	}()
}

// resignThrough asks a sibling to end a session.
func (e *asyncEffects) resignThrough(session uint64, sibling string) {
	ctx, cancel := context.WithTimeout(e.ctx, resignCallTimeout)
	defer cancel()
	for _, client := range e.peers {
		if client.Name != sibling {
			continue
		}
		if err := client.Resign(ctx, session); err != nil {
			slog.Info("could not end this controller's session through a sibling after resigning", "helper", sibling, "err", err)
		}
	}
}
