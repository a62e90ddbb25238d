package duty

import (
	"encoding/xml"
	"fmt"
	"slices"
	"strings"

	"woadweir/internal/core/model"
)

// Place says which controllers are to hold a duty.
type Place string

// The places of a duty.
const (
	PlaceLeader Place = "leader" // the leader; others only if it cannot
	PlaceSpread Place = "spread" // all controllers, starting with a different one for each duty
	PlaceListed Place = "listed" // the preferred controllers in their order, then all others
)

// Placement is the operators' setting for one duty.
type Placement struct {
	Name   string   `xml:"name,attr"`
	Place  string   `xml:"place,attr"`
	Prefer []string `xml:"prefer"`
}

// Settings is the duties settings file as operators write it.
type Settings struct {
	XMLName       xml.Name    `xml:"duties"`
	Duties        []Placement `xml:"duty"`
	SettleS       float64     `xml:"settle-s"`
	CooldownS     float64     `xml:"cooldown-s"`
	LeaseS        float64     `xml:"lease-s"`
	TraceEndpoint string      `xml:"trace-endpoint"`
}

// Defaults and limits of the duties settings file.
const (
	defaultSettleS   = 30
	defaultCooldownS = 60
	maxSettleS       = 3600
	maxCooldownS     = 3600
	minLeaseS        = 2 // a shorter session would expire after one lost request
)

// FieldError reports an invalid setting.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Policy holds the validated duties settings.
type Policy struct {
	Places map[Name]Place
	Listed map[Name][]string // preferred controllers, in order
	// Settle is how long a preferred controller has to be live, and the present holder to have held
	// the duty, before the duty is handed over to the preferred controller.
	Settle   model.Micros
	Cooldown model.Micros // how long a controller is avoided after its first failure
	Lease    model.Micros // upper bound for the length of the session lease, 0: none
	// TraceEndpoint is the address to which spans are sent, "" for none.
	TraceEndpoint string
}

// LeaderOnly returns the policy without a duties settings file: the leader holds all duties.
func LeaderOnly() *Policy {
	policy := &Policy{Places: map[Name]Place{}, Listed: map[Name][]string{}, Settle: model.Seconds(defaultSettleS), Cooldown: model.Seconds(defaultCooldownS)}
	for _, name := range Movable {
		policy.Places[name] = PlaceLeader
	}
	return policy
}

// ParseSettings parses and validates a duties settings file. nodes are the controllers of the
// deployment, and maxLease is the longest session lease that is safe there.
func ParseSettings(raw []byte, nodes []string, maxLease model.Micros) (*Policy, error) {
	settings := Settings{SettleS: defaultSettleS, CooldownS: defaultCooldownS}
	if err := xml.Unmarshal(raw, &settings); err != nil {
		return nil, &FieldError{"duties", err.Error()}
	}
	policy := LeaderOnly()
	policy.TraceEndpoint = strings.TrimSpace(settings.TraceEndpoint)
	if err := settings.checkDurations(maxLease); err != nil {
		return nil, err
	}
	policy.Settle, policy.Cooldown, policy.Lease = model.Seconds(settings.SettleS), model.Seconds(settings.CooldownS), model.Seconds(settings.LeaseS)
	seen := map[Name]bool{}
	for i := range settings.Duties {
		placement := &settings.Duties[i]
		if seen[Name(placement.Name)] {
			return nil, &FieldError{"duty " + placement.Name, "named twice"}
		}
		seen[Name(placement.Name)] = true
		if err := policy.add(placement, nodes); err != nil {
			return nil, err
		}
	}
	return policy, nil
}

// checkDurations checks the durations of the file.
func (s *Settings) checkDurations(maxLease model.Micros) error {
	switch {
	case !(s.SettleS >= 1 && s.SettleS <= maxSettleS):
		return &FieldError{"settle-s", fmt.Sprintf("%v is not between 1 and %v", s.SettleS, maxSettleS)}
	case !(s.CooldownS >= 1 && s.CooldownS <= maxCooldownS):
		return &FieldError{"cooldown-s", fmt.Sprintf("%v is not between 1 and %v", s.CooldownS, maxCooldownS)}
	case s.LeaseS == 0:
		return nil
	case !(s.LeaseS >= minLeaseS):
		return &FieldError{"lease-s", fmt.Sprintf("%v is shorter than is useful: one lost request would let the session expire; at least %v", s.LeaseS, minLeaseS)}
	case model.Seconds(s.LeaseS) > maxLease:
		return &FieldError{"lease-s", fmt.Sprintf("%v is longer than is safe with these settings; at most %v", s.LeaseS, maxLease.Seconds())}
	}
	return nil
}

// add validates the setting for one duty and adds it to the policy.
func (p *Policy) add(placement *Placement, nodes []string) error {
	field, name := "duty "+placement.Name, Name(placement.Name)
	if name == Reclaiming {
		return &FieldError{field, "stays with the shard's holder and can't be placed"}
	}
	if !slices.Contains(Movable, name) {
		return &FieldError{field, "unknown duty"}
	}
	place := placement.place()
	if err := placement.checkPlace(field, place); err != nil {
		return err
	}
	for _, preferred := range placement.Prefer {
		node := strings.TrimSpace(preferred)
		if !slices.Contains(nodes, node) {
			return &FieldError{field, fmt.Sprintf("unknown controller %q", node)}
		}
		if slices.Contains(p.Listed[name], node) {
			return &FieldError{field, fmt.Sprintf("controller %q is preferred twice", node)}
		}
		p.Listed[name] = append(p.Listed[name], node)
	}
	p.Places[name] = place
	return nil
}

// place returns the place that the file gives or implies.
func (p *Placement) place() Place {
	switch {
	case p.Place != "":
		return Place(p.Place)
	case len(p.Prefer) > 0:
		return PlaceListed
	}
	return PlaceLeader
}

// checkPlace checks that a duty's place is known and consistent with the preferred controllers.
func (p *Placement) checkPlace(field string, place Place) error {
	switch place {
	case PlaceLeader, PlaceSpread:
		if len(p.Prefer) > 0 {
			return &FieldError{field, fmt.Sprintf("place %q names no controllers, but <prefer> elements are given", place)}
		}
	case PlaceListed:
		if len(p.Prefer) == 0 {
			return &FieldError{field, "place \"listed\" without a preferred controller"}
		}
	default:
		return &FieldError{field, fmt.Sprintf("unknown place %q", p.Place)}
	}
	return nil
}

// Order returns the candidates for a duty, the preferred ones first. The leader comes last unless it
// is preferred, as it has the highest load.
func (p *Policy) Order(name Name, candidates []string, leader string) []string {
	sorted := slices.Clone(candidates)
	slices.Sort(sorted)
	var order []string
	add := func(node string) {
		if slices.Contains(candidates, node) && !slices.Contains(order, node) {
			order = append(order, node)
		}
	}
	switch p.Places[name] {
	case PlaceListed:
		for _, node := range p.Listed[name] {
			add(node)
		}
	case PlaceSpread:
	default:
		add(leader)
	}
	others := slices.DeleteFunc(sorted, func(node string) bool { return node == leader })
	offset := slices.Index(Movable, name)
	for i := range others {
		add(others[(i+offset)%len(others)])
	}
	add(leader)
	return order
}
