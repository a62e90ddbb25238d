package duty

import (
	"maps"
	"slices"

	"woadweir/internal/core/model"
)

// Timing of a planner's decisions.
const (
	acquireStagger      = 500 * model.Millisecond // extra delay before acquiring, for each candidate in front
	cloudFailureTimeout = 10 * model.Second       // without an answer of the cloud, before the first hand-over
	maxDoublings        = 5                       // of cloudFailureTimeout and of the policy's cooldown
	// avoidanceRetentionCooldowns is how many cooldowns an avoidance is remembered after its end.
	// A failure after that counts as the first one again.
	avoidanceRetentionCooldowns = 10
)

// Node is a live controller.
type Node struct {
	Name     string
	Session  uint64
	Revision uint64       // revision of its node key
	Since    model.Micros // when this process first saw it live
	// Candidate is set if it may hold duties without being the leader.
	Candidate bool
}

// Snapshot is the input of a planner's decision.
type Snapshot struct {
	Now    model.Micros
	WallMs int64  // wall-clock time
	Self   string // name of this process's node
	// Session is this process's session, 0 if it has none or may not act.
	Session    uint64
	Leader     string
	Overloaded bool
	// CloudFailingSince is the time since when the cloud has not answered this process, 0 if it
	// answers or was not called.
	CloudFailingSince model.Micros
	Nodes             map[string]Node
	Leases            map[Name]StoredLease
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	Acquire ActionKind = iota
	HandOver
)

// Action is a proposed write to a duty's lease. The write must be conditional on the revision of the
// lease's key (Token), and for a hand-over also on the revision of the successor's node key.
type Action struct {
	Kind  ActionKind
	Name  Name
	Token uint64 // 0: the key does not exist
	Lease Lease
	// Successor is the controller that a duty is handed over to.
	Successor Node
}

// LeasePlanner decides, for one controller, when to acquire duties and when to hand them over.
type LeasePlanner struct {
	policy      *Policy
	vacantSince map[Name]model.Micros
	heldSince   map[Name]model.Micros
	heldToken   map[Name]uint64
	lastLeases  map[Name]StoredLease // the last lease seen of each duty
}

// NewLeasePlanner returns a planner that has seen no leases.
func NewLeasePlanner(policy *Policy) *LeasePlanner {
	return &LeasePlanner{
		policy:      policy,
		vacantSince: map[Name]model.Micros{},
		heldSince:   map[Name]model.Micros{},
		heldToken:   map[Name]uint64{},
		lastLeases:  map[Name]StoredLease{},
	}
}

// Holds reports whether this controller holds a duty, and returns the lease's fencing token.
func (s *Snapshot) Holds(name Name) (token uint64, ok bool) {
	held := s.Leases[name]
	if held.Token == 0 || s.Session == 0 || held.Holder != s.Self || held.Session != s.Session {
		return 0, false
	}
	return held.Token, true
}

// Decide returns the next write, if any is due. It proposes only one write at a time, as the outcome
// may change what else has to be done.
func (p *LeasePlanner) Decide(snapshot *Snapshot) (Action, bool) {
	var action Action
	due := false
	for _, name := range Movable {
		p.observe(snapshot, name)
		if due {
			continue
		}
		if snapshot.Leases[name].Token == 0 {
			action, due = p.acquire(snapshot, name)
		} else if _, held := snapshot.Holds(name); held {
			action, due = p.handOver(snapshot, name)
		}
	}
	return action, due
}

// observe records since when a duty is vacant or held.
func (p *LeasePlanner) observe(snapshot *Snapshot, name Name) {
	held := snapshot.Leases[name]
	if held.Token == 0 {
		if _, known := p.vacantSince[name]; !known {
			p.vacantSince[name] = snapshot.Now
		}
		return
	}
	delete(p.vacantSince, name)
	p.lastLeases[name] = held
	if p.heldToken[name] != held.Token {
		p.heldToken[name], p.heldSince[name] = held.Token, snapshot.Now
	}
}

// candidates returns the names of the live controllers that may hold a duty.
func (s *Snapshot) candidates() []string {
	var names []string
	for name, node := range s.Nodes {
		if node.Candidate || name == s.Leader {
			names = append(names, name)
		}
	}
	return names
}

// candidateOrder returns the candidates for a duty in the policy's order, with those to be avoided
// last.
func (p *LeasePlanner) candidateOrder(snapshot *Snapshot, name Name, avoid map[string]Avoidance) []string {
	order := p.policy.Order(name, snapshot.candidates(), snapshot.Leader)
	slices.SortStableFunc(order, func(a, b string) int { return avoidanceRank(snapshot, avoid, a) - avoidanceRank(snapshot, avoid, b) })
	return order
}

// avoidanceRank returns 1 if a controller is to be avoided now, else 0.
func avoidanceRank(snapshot *Snapshot, avoid map[string]Avoidance, node string) int {
	if snapshot.WallMs < avoid[node].UntilMs {
		return 1
	}
	return 0
}

// acquire proposes to acquire a vacant duty when the candidates in front of this controller have had
// their time.
func (p *LeasePlanner) acquire(snapshot *Snapshot, name Name) (Action, bool) {
	last := p.lastLeases[name]
	rank := slices.Index(p.candidateOrder(snapshot, name, last.Avoid), snapshot.Self)
	if snapshot.Session == 0 || rank < 0 || snapshot.Now-p.vacantSince[name] < model.Micros(rank)*acquireStagger {
		return Action{}, false
	}
	lease := Lease{Holder: snapshot.Self, Session: snapshot.Session, SinceMs: snapshot.WallMs, Avoid: p.relevantAvoidances(snapshot, last.Avoid)}
	if last.Token != 0 {
		lease.Previous, lease.PreviousToken, lease.Why = last.Holder, last.Token, ReasonSessionOver
	}
	return Action{Kind: Acquire, Name: name, Lease: lease}, true
}

// unfitReason returns why this controller can't perform a duty that it holds, ReasonNone if it can.
func (p *LeasePlanner) unfitReason(snapshot *Snapshot, name Name) Reason {
	if name.NeedsCloud() && snapshot.CloudFailingSince != 0 {
		failing := snapshot.Now - max(snapshot.CloudFailingSince, p.heldSince[name])
		if failing >= p.cloudTimeout(snapshot, snapshot.Leases[name].Avoid) {
			return ReasonNoCloud
		}
	}
	if snapshot.Overloaded {
		return ReasonOverloaded
	}
	return ReasonNone
}

// handOver proposes to hand a duty over to a controller that is preferred, or that may hold it if
// this one can't perform it.
func (p *LeasePlanner) handOver(snapshot *Snapshot, name Name) (Action, bool) {
	held := snapshot.Leases[name]
	why := p.unfitReason(snapshot, name)
	for _, node := range p.candidateOrder(snapshot, name, held.Avoid) {
		if avoidanceRank(snapshot, held.Avoid, node) != 0 {
			break
		}
		if node == snapshot.Self {
			if why != ReasonNone {
				continue
			}
			break
		}
		settled := snapshot.Now-snapshot.Nodes[node].Since >= p.policy.Settle && snapshot.Now-p.heldSince[name] >= p.policy.Settle
		if why == ReasonNone && !settled {
			continue
		}
		return p.handOverTo(snapshot, name, snapshot.Nodes[node], why), true
	}
	return Action{}, false
}

// cloudTimeout returns how long a holder waits for an answer of the cloud before it hands the duty
// over. The time doubles with each recent hand-over, as the cloud may not answer any controller.
func (p *LeasePlanner) cloudTimeout(snapshot *Snapshot, avoid map[string]Avoidance) model.Micros {
	times := 0
	for _, avoidance := range p.relevantAvoidances(snapshot, avoid) {
		times += avoidance.Times
	}
	return cloudFailureTimeout << min(times, maxDoublings)
}

// handOverTo returns the hand-over of a duty to a successor. If this holder could not perform the
// duty, the new lease says that it is to be avoided for some time.
func (p *LeasePlanner) handOverTo(snapshot *Snapshot, name Name, successor Node, why Reason) Action {
	held := snapshot.Leases[name]
	avoid := p.relevantAvoidances(snapshot, held.Avoid)
	if why == ReasonNone {
		why = ReasonPreferred
	} else {
		if avoid == nil {
			avoid = map[string]Avoidance{}
		}
		times := avoid[snapshot.Self].Times + 1
		pause := p.policy.Cooldown << min(times-1, maxDoublings)
		avoid[snapshot.Self] = Avoidance{UntilMs: snapshot.WallMs + int64(pause/model.Millisecond), Times: times}
	}
	lease := Lease{
		Holder:        successor.Name,
		Session:       successor.Session,
		SinceMs:       snapshot.WallMs,
		Previous:      snapshot.Self,
		PreviousToken: held.Token,
		Why:           why,
		Avoid:         avoid,
	}
	return Action{Kind: HandOver, Name: name, Token: held.Token, Successor: successor, Lease: lease}
}

// relevantAvoidances returns the avoidances that are in force, and those that ended so recently that
// another failure of the same controller has to count as a further one.
func (p *LeasePlanner) relevantAvoidances(snapshot *Snapshot, avoid map[string]Avoidance) map[string]Avoidance {
	retentionMs := avoidanceRetentionCooldowns * int64(p.policy.Cooldown/model.Millisecond)
	relevant := maps.Clone(avoid)
	maps.DeleteFunc(relevant, func(_ string, a Avoidance) bool { return snapshot.WallMs > a.UntilMs+retentionMs })
	return relevant
}
