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
	"woadweir/internal/core/shard"
	"woadweir/internal/peer"
	"woadweir/internal/state"
)

// effects is what the controller actor may ask of the world. Every answer comes
// back as a message; tests put scripted peers in its place.
type effects interface {
	sync(from uint64, list bool)
	commit(m msgCommitted)
	flavors()
	list()
	rent(m msgRented)
	remove(m msgDeleted)
	ping()
	// resign has a session ended, by a sibling if one is named.
	resign(session uint64, helper string)
}

// inputOutput carries the effects out, each in a goroutine of its own.
type inputOutput struct {
	mail  chan<- any
	clock Clock
	state *state.Client
	cloud *cloud.Client
	peers []*peer.Client
	name  string
	ctx   context.Context
	// abandon tells the session actor of sessions that are given up.
	abandon chan<- uint64
}

func (io *inputOutput) send(m any) {
	select {
	case io.mail <- m:
	case <-io.ctx.Done():
	}
}

const (
	syncPatience   = 800 * model.Millisecond
	commitPatience = 1500 * model.Millisecond
	cloudPatience  = 5 * model.Second
	pingPatience   = 400 * model.Millisecond
)

func (io *inputOutput) sync(from uint64, list bool) {
	go func() {
		m := msgSynced{sent: io.clock()}
		if list {
			v := state.NewView()
			m.view = v
			v.Revision, m.err = io.state.List(2*syncPatience, func(e state.Entry) error {
				_, err := v.Set(e.Path, e.Value, e.Revision)
				return err
			})
		} else {
			m.changes, m.err = io.state.Watch(from, syncPatience)
		}
		io.send(m)
	}()
}

func (io *inputOutput) commit(m msgCommitted) {
	go func() {
		m.res, m.err = io.state.Commit(m.txn, commitPatience)
		io.send(m)
	}()
}

func (io *inputOutput) flavors() {
	go func() {
		fs, err := io.cloud.MachineTypes(cloudPatience)
		io.send(msgMachineTypes{fs, err})
	}()
}

func (io *inputOutput) list() {
	go func() {
		sent := io.clock()
		ms, err := io.cloud.List(cloudPatience)
		io.send(msgListed{sent, ms, err})
	}()
}

// errTooLate means that a call was not sent, as its authority was over.
var errTooLate = errors.New("the authority for this call is over")

// tooLate tells that a call must not be sent any more.
func (io *inputOutput) tooLate(call carryOut) bool {
	return call.intent != "" && io.clock() >= call.until
}

// rent repeats a request without an answer under its own name, which rents
// nothing twice. Whoever carries an intent out repeats it himself.
func (io *inputOutput) rent(m msgRented) {
	go func() {
		for attempt := 0; ; attempt++ {
			if io.tooLate(m.carryOut) {
				m.err = errTooLate
				break
			}
			m.machines, m.err = io.cloud.Rent(&m.rental, cloudPatience)
			if m.err == nil || errors.Is(m.err, cloud.ErrNoCapacity) || attempt == 4 || m.intent != "" {
				break
			}
			if !pause(io.ctx, model.Second) {
				break
			}
		}
		io.send(m)
	}()
}

func (io *inputOutput) remove(m msgDeleted) {
	go func() {
		if m.err = errTooLate; !io.tooLate(m.carryOut) {
			m.err = io.cloud.Delete(m.refs, cloudPatience)
		}
		io.send(m)
	}()
}

func (io *inputOutput) ping() {
	go func() {
		ctx, cancel := context.WithTimeout(io.ctx, pingPatience.Duration())
		defer cancel()
		type result struct {
			name  string
			alive bool
			peer.Status
		}
		results := make(chan result, len(io.peers))
		for _, p := range io.peers {
			go func() {
				pinged, err := p.Ping(ctx, io.name)
				results <- result{p.Name, err == nil, pinged}
			}()
		}
		var m msgPinged
		workers := map[string]int{}
		for range io.peers {
			r := <-results
			if r.alive {
				m.alive++
			}
			m.workers += r.Workers
			if r.ReachesState {
				m.helpers = append(m.helpers, r.name)
			}
			if r.RelaysReports {
				m.relays = append(m.relays, r.name)
				workers[r.name] = r.Workers
			}
		}
		slices.SortFunc(m.relays, func(a, b string) int { return cmp.Or(workers[a]-workers[b], strings.Compare(a, b)) })
		io.send(m)
	}()
}

func (io *inputOutput) resign(session uint64, helper string) {
	select {
	case io.abandon <- session:
	default: // it has more to end than it can; their leases run out
	}
	go func() {
		if helper == "" {
			if err := io.state.RevokeLease(session, 2*model.Second); err != nil {
				slog.Info("resign", "err", err)
			}
			return
		}
		ctx, cancel := context.WithTimeout(io.ctx, 2*time.Second)
		defer cancel()
		for _, p := range io.peers {
			if p.Name == helper {
				if err := p.Resign(ctx, session); err != nil {
					slog.Info("resign", "helper", helper, "err", err)
				}
			}
		}
	}()
}

// holderTxn makes a holder's transaction: it is guarded by the grant, and every
// key by the version of it that we know, so that a copy that is carried out
// late changes nothing.
func holderTxn(blk string, ws []shard.Write, stamps map[string]uint64, grant state.Condition) *state.Txn {
	t := &state.Txn{Conditions: []state.Condition{grant}}
	for _, w := range ws {
		key := w.Key
		if key == "" {
			key = state.BundleKey(blk, w.Slot)
		}
		t.Conditions = append(t.Conditions, state.Condition{Path: key, Revision: stamps[key]})
		t.Then = append(t.Then, state.Op{Set: key, Value: w.Value})
	}
	return t
}
