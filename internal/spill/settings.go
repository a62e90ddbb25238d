package spill

import (
	"encoding/xml"
	"fmt"
	"net/netip"
	"strings"

	"woadweir/internal/core/model"
)

// Defaults and limits of the spill settings file.
const (
	defaultWaitS      = 30
	defaultLeaseS     = 10
	defaultStayS      = 60
	defaultStartS     = 30
	defaultMostLent   = 64
	maxSeconds        = 3600
	minLeaseS         = 3 // a shorter execution lease would expire after one lost renewal
	maxMostLent       = 100_000
	maxCellNameLength = 63
	cellNameAlphabet  = "abcdefghijklmnopqrstuvwxyz0123456789-"
)

// unknownElement is an element that spill settings do not have.
type unknownElement struct{ XMLName xml.Name }

// neighbourSettings is a neighbour as written in the spill settings file.
type neighbourSettings struct {
	Cell        string           `xml:"cell,attr"`
	Controllers []string         `xml:"controller"`
	Unknown     []unknownElement `xml:",any"`
}

// settings is the spill settings file as operators write it. Numbers are lists, so that
// duplicate elements are detected.
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

// FieldError reports an invalid setting.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Neighbour is another cell of the same operator.
type Neighbour struct {
	Cell string
	// Controllers are the addresses at which its controllers answer calls of other controllers.
	Controllers []string
}

// Policy holds the validated spill settings.
type Policy struct {
	Cell         string
	Neighbours   []Neighbour
	MinWait      model.Micros // wait-s: a job that has waited for less is not lent
	Lease        model.Micros // lease-s: length of an execution lease
	MinStay      model.Micros // stay-s: a job that came back is not lent again before
	StartTimeout model.Micros // start-s: a borrowed job that has not started by then is returned
	MaxLent      int          // most-lent: maximum number of jobs lent at the same time
}

// HasNeighbour reports whether a cell is a neighbour.
func (p *Policy) HasNeighbour(cell string) bool {
	for i := range p.Neighbours {
		if p.Neighbours[i].Cell == cell {
			return true
		}
	}
	return false
}

// ParseSettings parses and validates a spill settings file. workerLease is the lease of this
// deployment's workers, and cancelTime the time that a cancellation may take.
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
		return nil, &FieldError{"lease-s", fmt.Sprintf("an execution lease of %v s, a worker lease of %v s and the safety margin do not fit into cancel_s = %v", policy.Lease.Seconds(), workerLease.Seconds(), cancelTime.Seconds())}
	}
	return policy, nil
}

func checkCellName(field, name string) error {
	switch {
	case name == "":
		return &FieldError{field, "missing"}
	case len(name) > maxCellNameLength || strings.Trim(name, cellNameAlphabet) != "":
		return &FieldError{field, fmt.Sprintf("%q is not made of lower-case letters, digits and hyphens, or is longer than %d characters", name, maxCellNameLength)}
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
			return &FieldError{field, "no controller is given"}
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

// readNumbers sets the policy's numbers from the file or, where the file has none, to their
// defaults.
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
			return &FieldError{number.field, "given twice"}
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
