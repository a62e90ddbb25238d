package spill

import (
	"encoding/xml"
	"fmt"
	"net/netip"
	"strings"

	"woadweir/internal/core/model"
)

// Defaults and bounds of the spill file.
const (
	defaultWaitS      = 30
	defaultLeaseS     = 10
	defaultStayS      = 60
	defaultStartS     = 30
	defaultMostLent   = 64
	maxSeconds        = 3600
	minLeaseS         = 3 // a shorter right does not outlive one lost question
	maxMostLent       = 100_000
	maxCellNameLength = 63
	cellNameAlphabet  = "abcdefghijklmnopqrstuvwxyz0123456789-"
)

// unknownElement is an element that the spill file does not have.
type unknownElement struct{ XMLName xml.Name }

// neighbourSettings is another cell in the spill file.
type neighbourSettings struct {
	Cell        string           `xml:"cell,attr"`
	Controllers []string         `xml:"controller"`
	Unknown     []unknownElement `xml:",any"`
}

// settings is the operators' spill file. Numbers are lists, so that an element that
// stands twice is seen.
type settings struct {
	XMLName    xml.Name            `xml:"spill"`
	Cell       string              `xml:"cell,attr"`
	Neighbours []neighbourSettings `xml:"neighbour"`
	WaitS      []float64           `xml:"wait-s"`
	LeaseS     []float64           `xml:"lease-s"`
	StayS      []float64           `xml:"stay-s"`
	StartS     []float64           `xml:"start-s"`
	MostLent   []float64           `xml:"most-lent"`
	Unknown    []unknownElement    `xml:",any"`
}

// FieldError is a setting that is wrong.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Neighbour is another cell of the operator.
type Neighbour struct {
	Cell string
	// Controllers are the addresses at which its controllers answer other controllers.
	Controllers []string
}

// Policy is a checked spill file.
type Policy struct {
	Cell         string
	Neighbours   []Neighbour
	MinWait      model.Micros // how long a job has to have waited before it is lent
	Lease        model.Micros // of a guest's right to run a job
	MinStay      model.Micros // how long what has come back stays
	StartTimeout model.Micros // how long a guest keeps what has not started
	MaxLent      int          // jobs lent at the same time
}

// HasNeighbour tells whether a cell is a neighbour.
func (p *Policy) HasNeighbour(cell string) bool {
	for i := range p.Neighbours {
		if p.Neighbours[i].Cell == cell {
			return true
		}
	}
	return false
}

// ParseSettings reads and checks a spill file against the deployment's own lease of
// workers and time for a cancellation.
func ParseSettings(raw []byte, workerLease, cancel model.Micros) (*Policy, error) {
	var s settings
	if err := xml.Unmarshal(raw, &s); err != nil {
		return nil, &FieldError{"spill", err.Error()}
	}
	if len(s.Unknown) > 0 {
		return nil, &FieldError{s.Unknown[0].XMLName.Local, "unknown element"}
	}
	p := &Policy{Cell: s.Cell}
	if err := checkCellName("cell", s.Cell); err != nil {
		return nil, err
	}
	if err := p.addNeighbours(s.Neighbours); err != nil {
		return nil, err
	}
	if err := p.readNumbers(&s); err != nil {
		return nil, err
	}
	if !FitsCancel(p.Lease, workerLease, cancel) {
		return nil, &FieldError{"lease-s", fmt.Sprintf("%v s of right, %v s of workers' lease and a margin do not fit into cancel_s = %v", p.Lease.Seconds(), workerLease.Seconds(), cancel.Seconds())}
	}
	return p, nil
}

func checkCellName(field, name string) error {
	switch {
	case name == "":
		return &FieldError{field, "missing"}
	case len(name) > maxCellNameLength || strings.Trim(name, cellNameAlphabet) != "":
		return &FieldError{field, fmt.Sprintf("%q is not made of small letters, digits and hyphens, at most %d", name, maxCellNameLength)}
	}
	return nil
}

func (p *Policy) addNeighbours(list []neighbourSettings) error {
	for _, n := range list {
		field := "neighbour " + n.Cell
		if err := checkCellName(field, n.Cell); err != nil {
			return err
		}
		switch {
		case len(n.Unknown) > 0:
			return &FieldError{field, "unknown element " + n.Unknown[0].XMLName.Local}
		case n.Cell == p.Cell:
			return &FieldError{field, "a cell can't be its own neighbour"}
		case p.HasNeighbour(n.Cell):
			return &FieldError{field, "named twice"}
		case len(n.Controllers) == 0:
			return &FieldError{field, "no controller"}
		}
		neighbour := Neighbour{Cell: n.Cell}
		for _, text := range n.Controllers {
			address := strings.TrimSpace(text)
			if _, err := netip.ParseAddrPort(address); err != nil {
				return &FieldError{field, fmt.Sprintf("controller: %q is not an address with a port", address)}
			}
			neighbour.Controllers = append(neighbour.Controllers, address)
		}
		p.Neighbours = append(p.Neighbours, neighbour)
	}
	return nil
}

// readNumbers takes the numbers of the file, or their defaults.
func (p *Policy) readNumbers(s *settings) error {
	var mostLent float64
	numbers := []struct {
		field            string
		values           []float64
		value, low, high float64
		span             *model.Micros
		count            *float64
	}{
		{"wait-s", s.WaitS, defaultWaitS, 1, maxSeconds, &p.MinWait, nil},
		{"lease-s", s.LeaseS, defaultLeaseS, minLeaseS, maxSeconds, &p.Lease, nil},
		{"stay-s", s.StayS, defaultStayS, 1, maxSeconds, &p.MinStay, nil},
		{"start-s", s.StartS, defaultStartS, 1, maxSeconds, &p.StartTimeout, nil},
		{"most-lent", s.MostLent, defaultMostLent, 1, maxMostLent, nil, &mostLent},
	}
	for _, n := range numbers {
		if len(n.values) > 1 {
			return &FieldError{n.field, "stands twice"}
		}
		if len(n.values) == 1 {
			n.value = n.values[0]
		}
		if !(n.value >= n.low && n.value <= n.high) {
			return &FieldError{n.field, fmt.Sprintf("%v is not between %v and %v", n.value, n.low, n.high)}
		}
		if n.span != nil {
			*n.span = model.Seconds(n.value)
		} else {
			*n.count = n.value
		}
	}
	p.MaxLent = int(mostLent)
	return nil
}
