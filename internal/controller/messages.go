package controller

import (
	"woadweir/internal/cloud"
	"woadweir/internal/core/autoscaler"
	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/state"
	"woadweir/internal/userapi"
)

// The messages that the controller actor takes. Whoever sends one with a reply
// channel gives it a buffer of one, so that the actor never waits.
type (
	// msgStatusRequest, msgSubmit and msgCancel are users' requests.
	msgStatusRequest struct {
		ref   string
		reply chan<- userapi.Answer
	}
	msgSubmit struct {
		ref   string
		sub   *model.Submission
		err   error
		reply chan<- userapi.Answer
	}
	msgCancel struct {
		ref   string
		reply chan<- userapi.Answer
	}
	// msgUp is a health check.
	msgUp struct{ reply chan<- bool }
	// msgHeartbeat is a worker's report.
	msgHeartbeat struct {
		report *shard.Heartbeat
		reply  chan<- workerAnswer
		// relayed tells that it came through a sibling.
		relayed bool
	}
	// msgRelayFailed tells that a report could not be handed on to the leader.
	msgRelayFailed struct{}
	// msgSession tells of the session: a new one, a touch, or its end (id 0).
	msgSession struct {
		id   uint64
		sent model.Micros
	}
	// msgSynced is the end of a catch-up.
	msgSynced struct {
		sent    model.Micros
		changes *state.Changes
		view    *state.View // after a listing
		err     error
	}
	// msgCommitted is the end of a transaction.
	msgCommitted struct {
		lane   int
		res    *state.Result
		err    error
		writes []shard.Write
		users  []userWrite
		txn    *state.Txn
		token  uint64 // the grant it ran under
	}
	// Answers of the cloud.
	msgMachineTypes struct {
		builds []model.MachineType
		err    error
	}
	msgListed struct {
		sent     model.Micros
		machines []cloud.Machine
		err      error
	}
	msgRented struct {
		rental   cloud.Rental
		offer    autoscaler.Offer
		machines []string
		err      error
		term     uint64
		carryOut
	}
	msgDeleted struct {
		refs []string
		err  error
		term uint64
		carryOut
	}
	msgTick struct{}
	// msgPinged tells which siblings answer, and which of them reach the state
	// service.
	msgPinged struct {
		alive   int
		helpers []string
		workers int      // that reported to siblings lately
		relays  []string // siblings that hand reports on, those with fewest workers first
	}
	// msgReached is a sibling's ping.
	msgReached struct{ reply chan<- pinged }
)

// pinged is the answer to a sibling's ping.
type pinged struct {
	reached bool
	workers int
}

// workerAnswer is a response to a worker. If relay is set, the report may be handed on
// to that sibling, which leads: its answer then counts instead.
type workerAnswer struct {
	code  int
	body  []byte
	relay string
}

// userWrite is an acceptance or a cancellation on its way to being durable.
type userWrite struct {
	ref    string
	sub    *model.Submission // nil: a cancellation
	reply  []chan<- userapi.Answer
	expiry model.Micros
}

// carryOut marks a call of the cloud that carries an intent out.
type carryOut struct {
	intent string // its key, "": none
	stamp  uint64 // its revision
	// until is when the call must not be sent any more: the authority that it rests on
	// is over then.
	until model.Micros
}
