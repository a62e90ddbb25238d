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
func ParseSettings(raw []byte, workerLease, cancelTime model.Micros) (*Policy, error) {
	var file settings
	if err := xml.Unmarshal(raw, &file); err != nil {
		return nil, &FieldError{"spill", err.Error()}
	}
	if len(file.Unknown) > 0 {
		return nil, &FieldError{file.Unknown[0].XMLName.Local, "unknown element"}
	}
	policy := &Policy{Cell: file.Cell}
	if err := checkCellName("cell", file.Cell); err != nil {
		return nil, err
	}
	if err := policy.addNeighbours(file.Neighbours); err != nil {
		return nil, err
	}
	if err := policy.readNumbers(&file); err != nil {
		return nil, err
	}
	if !FitsCancel(policy.Lease, workerLease, cancelTime) {
		return nil, &FieldError{"lease-s", fmt.Sprintf("%v s of right, %v s of workers' lease and a margin do not fit into cancel_s = %v", policy.Lease.Seconds(), workerLease.Seconds(), cancelTime.Seconds())}
	}
	return policy, nil
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

func (p *Policy) addNeighbours(entries []neighbourSettings) error {
	for _, entry := range entries {
		field := "neighbour " + entry.Cell
		if err := checkCellName(field, entry.Cell); err != nil {
			return err
		}
		switch {
		case len(entry.Unknown) > 0:
			return &FieldError{field, "unknown element " + entry.Unknown[0].XMLName.Local}
		case entry.Cell == p.Cell:
			return &FieldError{field, "a cell can't be its own neighbour"}
		case p.HasNeighbour(entry.Cell):
			return &FieldError{field, "named twice"}
		case len(entry.Controllers) == 0:
			return &FieldError{field, "no controller"}
		}
		neighbour := Neighbour{Cell: entry.Cell}
		for _, text := range entry.Controllers {
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
func (p *Policy) readNumbers(file *settings) error {
	var mostLent float64
	numbers := []struct {
		field            string
		values           []float64
		value, low, high float64
		duration         *model.Micros
		count            *float64
	}{
		{"wait-s", file.WaitS, defaultWaitS, 1, maxSeconds, &p.MinWait, nil},
		{"lease-s", file.LeaseS, defaultLeaseS, minLeaseS, maxSeconds, &p.Lease, nil},
		{"stay-s", file.StayS, defaultStayS, 1, maxSeconds, &p.MinStay, nil},
		{"start-s", file.StartS, defaultStartS, 1, maxSeconds, &p.StartTimeout, nil},
		{"most-lent", file.MostLent, defaultMostLent, 1, maxMostLent, nil, &mostLent},
	}
	for _, number := range numbers {
		if len(number.values) > 1 {
			return &FieldError{number.field, "stands twice"}
		}
		if len(number.values) == 1 {
			number.value = number.values[0]
		}
		if !(number.value >= number.low && number.value <= number.high) {
			return &FieldError{number.field, fmt.Sprintf("%v is not between %v and %v", number.value, number.low, number.high)}
		}
		if number.duration != nil {
			*number.duration = model.Seconds(number.value)
		} else {
			*number.count = number.value
		}
	}
	p.MaxLent = int(mostLent)
	return nil
}
