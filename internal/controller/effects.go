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
func (io *asyncEffects) send(m any) {
	select {
	case io.mailbox <- m:
	case <-io.ctx.Done():
	}
}

func (io *asyncEffects) sync(from uint64, list bool) {
	go func() {
		m := msgSynced{sentAt: io.clock()}
		if list {
			v := state.NewView()
			m.view = v
			v.Revision, m.err = io.state.List(2*syncTimeout, func(e state.Entry) error {
				_, err := v.Set(e.Path, e.Value, e.Revision)
				return err
			})
		} else {
			m.changes, m.err = io.state.Watch(from, syncTimeout)
		}
		io.send(m)
	}()
}

func (io *asyncEffects) commit(m msgCommitted) {
	go func() {
		m.result, m.err = io.state.Commit(m.txn, commitTimeout)
		io.send(m)
	}()
}

func (io *asyncEffects) fetchMachineTypes() {
	go func() {
		machineTypes, err := io.cloud.MachineTypes(cloudTimeout)
		io.send(msgMachineTypes{machineTypes, err})
	}()
}

func (io *asyncEffects) listMachines() {
	go func() {
		sent := io.clock()
		machines, err := io.cloud.List(cloudTimeout)
		io.send(msgListed{sent, machines, err})
	}()
}

// tooLate reports whether a call must not be sent any more.
func (io *asyncEffects) tooLate(call intentRef) bool {
	return call.intentKey != "" && io.clock() >= call.sendBefore
}

// rentMachines repeats a rental without an answer under its own name, which rents
// nothing twice. A rental that carries out an intent is repeated by whoever holds it.
func (io *asyncEffects) rentMachines(m msgRented) {
	go func() {
		for attempt := 1; ; attempt++ {
			if io.tooLate(m.intentRef) {
				m.err = errTooLate
				break
			}
			m.machines, m.err = io.cloud.Rent(&m.rental, cloudTimeout)
			if m.err == nil || errors.Is(m.err, cloud.ErrNoCapacity) || attempt == rentAttempts || m.intentKey != "" {
				break
			}
			if !sleep(io.ctx, rentRetryPause) {
				break
			}
		}
		io.send(m)
	}()
}

func (io *asyncEffects) deleteMachines(m msgDeleted) {
	go func() {
		if m.err = errTooLate; !io.tooLate(m.intentRef) {
			m.err = io.cloud.Delete(m.machineIDs, cloudTimeout)
		}
		io.send(m)
	}()
}

// pingResult is a sibling's answer to a ping.
type pingResult struct {
	name  string
	alive bool
	peer.Status
}

func (io *asyncEffects) ping() {
	go func() {
		ctx, cancel := context.WithTimeout(io.ctx, pingTimeout.Duration())
		defer cancel()
		results := make(chan pingResult, len(io.peers))
		for _, p := range io.peers {
			go func() {
				answer, err := p.Ping(ctx, io.name)
				results <- pingResult{p.Name, err == nil, answer}
			}()
		}
		io.send(collectPings(results, len(io.peers)))
	}()
}

// collectPings sums up the answers to a round of pings.
func collectPings(results <-chan pingResult, pings int) msgPinged {
	var m msgPinged
	workers := map[string]int{}
	for range pings {
		r := <-results
		if r.alive {
			m.alive++
		}
		m.workers += r.Workers
		if r.ReachesState {
			m.serving = append(m.serving, r.name)
		}
		if r.RelaysHeartbeats {
			m.relays = append(m.relays, r.name)
			workers[r.name] = r.Workers
		}
	}
	slices.SortFunc(m.relays, func(a, b string) int { return cmp.Or(workers[a]-workers[b], strings.Compare(a, b)) })
	return m
}

func (io *asyncEffects) resign(session uint64, sibling string) {
	select {
	case io.abandon <- session:
	default: // too many wait to be ended; they expire
	}
	go func() {
		if sibling == "" {
			if err := io.state.RevokeLease(session, endSessionTimeout); err != nil {
				slog.Info("resign", "err", err)
			}
			return
		}
		io.resignThrough(session, sibling)
	}()
}

// resignThrough has a sibling end a session.
func (io *asyncEffects) resignThrough(session uint64, sibling string) {
	ctx, cancel := context.WithTimeout(io.ctx, resignCallTimeout)
	defer cancel()
	for _, p := range io.peers {
		if p.Name != sibling {
			continue
		}
		if err := p.Resign(ctx, session); err != nil {
			slog.Info("resign", "helper", sibling, "err", err)
		}
	}
}
