package duty

import (
	"encoding/xml"
	"fmt"
	"slices"
	"strings"

	"woadweir/internal/core/model"
)

// Place tells which controllers are to hold a duty.
type Place string

// The places of a duty.
const (
	PlaceLeader Place = "leader" // the leader, others only if it cannot
	PlaceSpread Place = "spread" // all controllers, each duty beginning with another one
	PlaceListed Place = "listed" // as listed, then all others
)

// Placement is what the operators say of one duty.
type Placement struct {
	Name   string   `xml:"name,attr"`
	Place  string   `xml:"place,attr"`
	Prefer []string `xml:"prefer"`
}

// Settings is the operators' duties file.
type Settings struct {
	XMLName       xml.Name    `xml:"duties"`
	Duties        []Placement `xml:"duty"`
	SettleS       float64     `xml:"settle-s"`
	CooldownS     float64     `xml:"cooldown-s"`
	LeaseS        float64     `xml:"lease-s"`
	TraceEndpoint string      `xml:"trace-endpoint"`
}

// Defaults and bounds of the duties file.
const (
	defaultSettleS   = 30
	defaultCooldownS = 60
	maxSettleS       = 3600
	maxCooldownS     = 3600
	minLeaseS        = 2 // a shorter session does not outlive one lost request
)

// FieldError is a setting that is wrong.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Policy is a checked duties file.
type Policy struct {
	Places   map[Name]Place
	Listed   map[Name][]string
	Settle   model.Micros // how long a preferred controller has to be live
	Cooldown model.Micros // how long a controller that failed is avoided
	Lease    model.Micros // upper bound of the session, 0: none
	// TraceEndpoint is where spans are sent, "": nowhere.
	TraceEndpoint string
}

// LeaderOnly is the policy without a duties file: the leader holds everything.
func LeaderOnly() *Policy {
	policy := &Policy{Places: map[Name]Place{}, Listed: map[Name][]string{}, Settle: model.Seconds(defaultSettleS), Cooldown: model.Seconds(defaultCooldownS)}
	for _, name := range Movable {
		policy.Places[name] = PlaceLeader
	}
	return policy
}

// ParseSettings reads and checks a duties file. Nodes are the controllers of the
// deployment, and maxLease is the longest session that is safe there.
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

// checkDurations checks the times of the file.
func (s *Settings) checkDurations(maxLease model.Micros) error {
	switch {
	case !(s.SettleS >= 1 && s.SettleS <= maxSettleS):
		return &FieldError{"settle-s", fmt.Sprintf("%v is not between 1 and %v", s.SettleS, maxSettleS)}
	case !(s.CooldownS >= 1 && s.CooldownS <= maxCooldownS):
		return &FieldError{"cooldown-s", fmt.Sprintf("%v is not between 1 and %v", s.CooldownS, maxCooldownS)}
	case s.LeaseS == 0:
		return nil
	case !(s.LeaseS >= minLeaseS):
		return &FieldError{"lease-s", fmt.Sprintf("%v is shorter than is useful: one lost request would end it; at least %v", s.LeaseS, minLeaseS)}
	case model.Seconds(s.LeaseS) > maxLease:
		return &FieldError{"lease-s", fmt.Sprintf("%v is longer than is safe with these settings; at most %v", s.LeaseS, maxLease.Seconds())}
	}
	return nil
}

// add checks what the file says of a duty and adds it to the policy.
func (p *Policy) add(placement *Placement, nodes []string) error {
	field, name := "duty "+placement.Name, Name(placement.Name)
	if name == Reclaiming {
		return &FieldError{field, "stays with the holder of the machines' block and can't be placed"}
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

// place is the place that the file gives or implies.
func (p *Placement) place() Place {
	switch {
	case p.Place != "":
		return Place(p.Place)
	case len(p.Prefer) > 0:
		return PlaceListed
	}
	return PlaceLeader
}

// checkPlace checks that a duty's place is known and agrees with the preferred controllers.
func (p *Placement) checkPlace(field string, place Place) error {
	switch place {
	case PlaceLeader, PlaceSpread:
		if len(p.Prefer) > 0 {
			return &FieldError{field, fmt.Sprintf("place %q names no controllers, but some are preferred", place)}
		}
	case PlaceListed:
		if len(p.Prefer) == 0 {
			return &FieldError{field, "nobody may hold it: place \"listed\" without a preferred controller"}
		}
	default:
		return &FieldError{field, fmt.Sprintf("unknown place %q", p.Place)}
	}
	return nil
}

// Order lists the candidates for a duty, the preferred ones first. The leader comes last
// where it is not preferred, as it has the most to do.
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
