package duty

import (
	"maps"
	"slices"

	"woadweir/internal/core/model"
)

// Times of a keeper.
const (
	acquireStagger              = 500 * model.Millisecond // each further controller of the order waits so much longer
	cloudFailureTimeout         = 10 * model.Second       // without an answer of the cloud before a first hand-over
	maxDoublings                = 5                       // of cloudFailure and of the policy's cooldown
	avoidanceRetentionCooldowns = 10                      // in cooldowns: failures after that count from one again
)

// Node is a live controller.
type Node struct {
	Name     string
	Session  uint64
	Revision uint64       // revision of its key
	Since    model.Micros // when this process first saw it live
	// Candidate tells that it may hold duties without being the leader.
	Candidate bool
}

// Snapshot is what a keeper looks at.
type Snapshot struct {
	Now    model.Micros
	WallMs int64 // time of day
	Self   string
	// Session is this process's, 0 if it has none or may not act.
	Session    uint64
	Leader     string
	Overloaded bool
	// CloudFailingSince is when the cloud began not to answer this process, 0: it
	// answers, or was not asked.
	CloudFailingSince model.Micros
	Nodes             map[string]Node
	Leases            map[Name]StoredLease
}

// ActionKind tells what a keeper proposes.
type ActionKind uint8

// What a keeper proposes.
const (
	Acquire ActionKind = iota
	HandOver
)

// Action is a write to a duty's lease. It must be guarded by the revision of the lease's
// key (Token), and a hand-over also by that of the successor's node key.
type Action struct {
	Kind  ActionKind
	Name  Name
	Token uint64 // 0: the key does not exist
	Lease Lease
	// Successor is the controller that a duty is handed over to.
	Successor Node
}

// LeasePlanner proposes, for one controller, when to acquire duties and when to hand them over.
type LeasePlanner struct {
	policy      *Policy
	vacantSince map[Name]model.Micros
	heldSince   map[Name]model.Micros
	heldToken   map[Name]uint64
	lastLeases  map[Name]StoredLease // the last lease that was seen of each duty
}

// NewLeasePlanner makes a keeper that holds nothing.
func NewLeasePlanner(policy *Policy) *LeasePlanner {
	return &LeasePlanner{
		policy:      policy,
		vacantSince: map[Name]model.Micros{},
		heldSince:   map[Name]model.Micros{},
		heldToken:   map[Name]uint64{},
		lastLeases:  map[Name]StoredLease{},
	}
}

// Holds tells whether this controller holds a duty, and under which token.
func (s *Snapshot) Holds(name Name) (token uint64, ok bool) {
	held := s.Leases[name]
	if held.Token == 0 || s.Session == 0 || held.Holder != s.Self || held.Session != s.Session {
		return 0, false
	}
	return held.Token, true
}

// Decide proposes the next write, if any is due. At most one is proposed, as its outcome
// may change what else is to be done.
func (k *LeasePlanner) Decide(s *Snapshot) (Action, bool) {
	var found Action
	ok := false
	for _, name := range Movable {
		k.observe(s, name)
		if ok {
			continue
		}
		if s.Leases[name].Token == 0 {
			found, ok = k.acquire(s, name)
		} else if _, mine := s.Holds(name); mine {
			found, ok = k.handOver(s, name)
		}
	}
	return found, ok
}

// observe notes since when a duty is vacant or held.
func (k *LeasePlanner) observe(s *Snapshot, name Name) {
	held := s.Leases[name]
	if held.Token == 0 {
		if _, known := k.vacantSince[name]; !known {
			k.vacantSince[name] = s.Now
		}
		return
	}
	delete(k.vacantSince, name)
	k.lastLeases[name] = held
	if k.heldToken[name] != held.Token {
		k.heldToken[name], k.heldSince[name] = held.Token, s.Now
	}
}

// candidates are the live controllers that may hold a duty.
func (s *Snapshot) candidates() []string {
	var names []string
	for name, node := range s.Nodes {
		if node.Candidate || name == s.Leader {
			names = append(names, name)
		}
	}
	return names
}

// candidateOrder lists the candidates for a duty; those to be avoided come last.
func (k *LeasePlanner) candidateOrder(s *Snapshot, name Name, avoid map[string]Avoidance) []string {
	order := k.policy.Order(name, s.candidates(), s.Leader)
	slices.SortStableFunc(order, func(a, b string) int { return avoidanceRank(s, avoid, a) - avoidanceRank(s, avoid, b) })
	return order
}

// avoidanceRank ranks controllers: 1 if one is to be avoided now, else 0.
func avoidanceRank(s *Snapshot, avoid map[string]Avoidance, node string) int {
	if s.WallMs < avoid[node].UntilMs {
		return 1
	}
	return 0
}

// acquire proposes to take a vacant duty when it is this controller's turn.
func (k *LeasePlanner) acquire(s *Snapshot, name Name) (Action, bool) {
	last := k.lastLeases[name]
	rank := slices.Index(k.candidateOrder(s, name, last.Avoid), s.Self)
	if s.Session == 0 || rank < 0 || s.Now-k.vacantSince[name] < model.Micros(rank)*acquireStagger {
		return Action{}, false
	}
	lease := Lease{Holder: s.Self, Session: s.Session, SinceMs: s.WallMs, Avoid: k.relevantAvoidances(s, last.Avoid)}
	if last.Token != 0 {
		lease.Previous, lease.PreviousToken, lease.Why = last.Holder, last.Token, ReasonSessionOver
	}
	return Action{Kind: Acquire, Name: name, Lease: lease}, true
}

// unfitReason is why this controller can't perform a duty that it holds, ReasonNone if it can.
func (k *LeasePlanner) unfitReason(s *Snapshot, name Name) Reason {
	if name.NeedsCloud() && s.CloudFailingSince != 0 {
		failing := s.Now - max(s.CloudFailingSince, k.heldSince[name])
		if failing >= k.cloudTimeout(s, s.Leases[name].Avoid) {
			return ReasonNoCloud
		}
	}
	if s.Overloaded {
		return ReasonOverloaded
	}
	return ReasonNone
}

// handOver proposes to pass a duty on to a controller that can or should hold it.
func (k *LeasePlanner) handOver(s *Snapshot, name Name) (Action, bool) {
	held := s.Leases[name]
	why := k.unfitReason(s, name)
	for _, node := range k.candidateOrder(s, name, held.Avoid) {
		if avoidanceRank(s, held.Avoid, node) != 0 {
			break
		}
		if node == s.Self {
			if why != ReasonNone {
				continue
			}
			break
		}
		settled := s.Now-s.Nodes[node].Since >= k.policy.Settle && s.Now-k.heldSince[name] >= k.policy.Settle
		if why == ReasonNone && !settled {
			continue
		}
		return k.handOverTo(s, name, s.Nodes[node], why), true
	}
	return Action{}, false
}

// cloudTimeout is how long a holder waits for the cloud before it hands over: longer
// with each hand-over not long ago, as it may be that the cloud answers nobody.
func (k *LeasePlanner) cloudTimeout(s *Snapshot, avoid map[string]Avoidance) model.Micros {
	times := 0
	for _, a := range k.relevantAvoidances(s, avoid) {
		times += a.Times
	}
	return cloudFailureTimeout << min(times, maxDoublings)
}

// handOverTo is the hand-over to a successor. A holder that could not perform the duty is
// avoided for a while.
func (k *LeasePlanner) handOverTo(s *Snapshot, name Name, successor Node, why Reason) Action {
	held := s.Leases[name]
	avoid := k.relevantAvoidances(s, held.Avoid)
	if why == ReasonNone {
		why = ReasonPreferred
	} else {
		if avoid == nil {
			avoid = map[string]Avoidance{}
		}
		times := avoid[s.Self].Times + 1
		pause := k.policy.Cooldown << min(times-1, maxDoublings)
		avoid[s.Self] = Avoidance{UntilMs: s.WallMs + int64(pause/model.Millisecond), Times: times}
	}
	lease := Lease{
		Holder:        successor.Name,
		Session:       successor.Session,
		SinceMs:       s.WallMs,
		Previous:      s.Self,
		PreviousToken: held.Token,
		Why:           why,
		Avoid:         avoid,
	}
	return Action{Kind: HandOver, Name: name, Token: held.Token, Successor: successor, Lease: lease}
}

// relevantAvoidances are the avoidances that still matter: those in force, and those so recent
// that another failure is to be avoided for longer.
func (k *LeasePlanner) relevantAvoidances(s *Snapshot, avoid map[string]Avoidance) map[string]Avoidance {
	memory := avoidanceRetentionCooldowns * int64(k.policy.Cooldown/model.Millisecond)
	left := maps.Clone(avoid)
	maps.DeleteFunc(left, func(_ string, a Avoidance) bool { return s.WallMs > a.UntilMs+memory })
	return left
}
