package controller

import (
	"woadweir/internal/cloud"
	"woadweir/internal/core/autoscaler"
	"woadweir/internal/core/model"
	"woadweir/internal/core/shard"
	"woadweir/internal/state"
	"woadweir/internal/userapi"
)

// Requests to the controller actor. A reply channel must have a buffer of one, so that
// the actor never blocks on the reply.
type (
	// msgTick makes the controller check for due work.
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
		// relayed is set if a sibling relayed the heartbeat.
		relayed bool
	}
	// msgPing is a sibling's ping.
	msgPing struct{ reply chan<- pingReply }
)

// Outcomes of operations that the controller actor started.
type (
	// msgRelayFailed reports that a heartbeat could not be relayed to the leader.
	msgRelayFailed struct{}
	// msgSession reports a new session, a renewal of the session, or its end (id 0).
	msgSession struct {
		id     uint64
		sentAt model.Micros
	}
	// msgSynced is the outcome of a synchronization of the view.
	msgSynced struct {
		sentAt  model.Micros
		changes *state.Changes
		view    *state.View // the new view after a complete listing, nil otherwise
		err     error
	}
	// msgCommitted is a transaction with its outcome.
	msgCommitted struct {
		lane       lane
		txn        *state.Txn
		result     *state.Result
		err        error
		writes     []shard.Write // from the leader's scheduler
		userWrites []userWrite   // in the order of the transaction's operations
		// token is the fencing token under which the transaction was sent: the revision of
		// the leader's grant or of a duty's lease.
		token uint64
		// session is the session to which an election binds the leader's key.
		session uint64
	}
	// msgMachineTypes contains the cloud's machine types.
	msgMachineTypes struct {
		machineTypes []model.MachineType
		err          error
	}
	// msgListed contains the cloud's list of machines.
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
	// msgPinged contains the answers to a round of pings.
	msgPinged struct {
		alive   int      // number of siblings that answered
		serving []string // siblings that reach the state service
		workers int      // number of workers that recently sent heartbeats to siblings
		relays  []string // siblings that relay heartbeats, those with the fewest workers first
	}
)

// pingReply is the answer to a sibling's ping.
type pingReply struct {
	stateReached bool
	workers      int
}

// workerAnswer is a response to a worker. If relayTo is set, the heartbeat may be relayed
// to that sibling, which is the leader; its answer then replaces this one.
type workerAnswer struct {
	code    int
	body    []byte
	relayTo string
}

// intentRef identifies the intent that a call to the cloud carries out, if any.
type intentRef struct {
	intentKey      string // the key of the intent's record, "" if there is no intent
	intentRevision uint64 // the revision of that record
	// sendBefore is the time from which the call must not be sent: the authority for the
	// call expires then.
	sendBefore model.Micros
}
