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

// effects is what the controller actor may ask of the world. Every outcome comes back
// as a message; tests put simulated services in its place.
type effects interface {
	// sync reads the changes of records after a revision, or lists all records.
	sync(from uint64, list bool)
	// commit sends a transaction to the state service.
	commit(m msgCommitted)
	// fetchMachineTypes, listMachines, rentMachines and deleteMachines call the cloud.
	fetchMachineTypes()
	listMachines()
	rentMachines(m msgRented)
	deleteMachines(m msgDeleted)
	// ping asks the siblings what they reach.
	ping()
	// resign has a session ended, by a sibling if one is named.
	resign(session uint64, sibling string)
}

// How long a call may take.
const (
	syncTimeout       = 800 * model.Millisecond // of changes; a listing may take twice as long
	commitTimeout     = 1500 * model.Millisecond
	cloudTimeout      = 5 * model.Second
	pingTimeout       = 400 * model.Millisecond
	resignCallTimeout = 2 * time.Second
)

const (
	rentAttempts   = 5 // of a rental without an answer
	rentRetryPause = model.Second
)

// errTooLate means that a call was not sent, as its authority was over.
var errTooLate = errors.New("the authority for this call is over")

// asyncEffects executes the effects, each in a goroutine of its own.
type asyncEffects struct {
	mailbox chan<- any
	clock   Clock
	state   *state.Client
	cloud   *cloud.Client
	peers   []*peer.Client
	name    string
	ctx     context.Context
	// abandon tells the session actor of sessions that are given up.
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

// tooLate reports whether a call must not be sent any more.
func (e *asyncEffects) tooLate(call intentRef) bool {
	return call.intentKey != "" && e.clock() >= call.sendBefore
}

// rentMachines repeats a rental without an answer under its own name, which rents
// nothing twice. A rental that carries out an intent is repeated by whoever holds it.
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

// collectPings sums up the answers to a round of pings.
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
	default: // too many wait to be ended; they expire
	}
	go func() {
		if sibling == "" {
			if err := e.state.RevokeLease(session, endSessionTimeout); err != nil {
				slog.Info("resign", "err", err)
			}
			return
		}
		e.resignThrough(session, sibling)
	}()
}

// resignThrough has a sibling end a session.
func (e *asyncEffects) resignThrough(session uint64, sibling string) {
	ctx, cancel := context.WithTimeout(e.ctx, resignCallTimeout)
	defer cancel()
	for _, client := range e.peers {
		if client.Name != sibling {
			continue
		}
		if err := client.Resign(ctx, session); err != nil {
			slog.Info("resign", "helper", sibling, "err", err)
		}
	}
}
