package controller

import (
	"woadweir/internal/cloud"
	"woadweir/internal/core/autoscaler"
	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/state"
	"woadweir/internal/userapi"
)

// Requests to the controller actor. Whoever sends one with a reply channel gives it a
// buffer of one, so that the actor never blocks.
type (
	// msgTick has the controller look for what is due.
	msgTick struct{}
	// msgStatusRequest is a user's read of a job's status.
	msgStatusRequest struct {
		jobID string
		reply chan<- userapi.Answer
	}
	// msgSubmit is a user's submission of a job.
	msgSubmit struct {
		jobID      string
		submission *model.Submission
		err        error // why the submission is not valid
		reply      chan<- userapi.Answer
	}
	// msgCancel is a user's cancellation of a job.
	msgCancel struct {
		jobID string
		reply chan<- userapi.Answer
	}
	// msgHealthCheck is a health check of the load balancer.
	msgHealthCheck struct{ reply chan<- bool }
	// msgHeartbeat is a worker's heartbeat.
	msgHeartbeat struct {
		heartbeat *shard.Heartbeat
		reply     chan<- workerAnswer
		// relayed tells that a sibling has relayed it.
		relayed bool
	}
	// msgPing is a sibling's ping.
	msgPing struct{ reply chan<- pingReply }
)

// Outcomes of what the controller actor has asked for.
type (
	// msgRelayFailed tells that a heartbeat could not be relayed to the leader.
	msgRelayFailed struct{}
	// msgSession tells of the session: a new one, a renewal, or its end (id 0).
	msgSession struct {
		id     uint64
		sentAt model.Micros
	}
	// msgSynced is the end of a synchronization of the view.
	msgSynced struct {
		sentAt  model.Micros
		changes *state.Changes
		view    *state.View // after a listing
		err     error
	}
	// msgCommitted is the outcome of a transaction.
	msgCommitted struct {
		lane       lane
		txn        *state.Txn
		result     *state.Result
		err        error
		writes     []shard.Write // of the leader's scheduler
		userWrites []userWrite   // in the order of the transaction's operations
		// token is the fencing token that the transaction was sent under: the revision of
		// the leader's grant or of a duty's lease.
		token uint64
		// session is the session that an election binds the leader's key to.
		session uint64
	}
	// msgMachineTypes has the cloud's machine types.
	msgMachineTypes struct {
		machineTypes []model.MachineType
		err          error
	}
	// msgListed has the cloud's list of machines.
	msgListed struct {
		sentAt   model.Micros
		machines []cloud.Machine
		err      error
	}
	// msgRented is the outcome of a rental.
	msgRented struct {
		rental   cloud.Rental
		offer    autoscaler.Offer
		machines []string
		err      error
		token    uint64 // the leader's fencing token
		intentRef
	}
	// msgDeleted is the outcome of a deletion of machines.
	msgDeleted struct {
		machineIDs []string
		err        error
		token      uint64 // the leader's fencing token
		intentRef
	}
	// msgPinged has the answers to a round of pings.
	msgPinged struct {
		alive   int      // siblings that answered
		serving []string // siblings that reach the state service
		workers int      // that have sent heartbeats to siblings lately
		relays  []string // siblings that relay heartbeats, those with fewest workers first
	}
)

// pingReply is the answer to a sibling's ping.
type pingReply struct {
	stateReached bool
	workers      int
}

// workerAnswer is a response to a worker. If relay is set, the heartbeat may be relayed
// to that sibling, which leads: its answer then replaces this one.
type workerAnswer struct {
	code    int
	body    []byte
	relayTo string
}

// intentRef marks a call of the cloud that carries out an intent.
type intentRef struct {
	intentKey      string // its key, "": none
	intentRevision uint64 // its revision
	// sendBefore is when the call must not be sent any more: the authority that it rests on
	// is over then.
	sendBefore model.Micros
}
