// Package config reads the settings: the platform's TOML file and the
// operators' own XML file.
package config

import (
	"cmp"
	"encoding/xml"
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"woadweir/internal/core/leadership"
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
	"woadweir/internal/spill"
)

// Sibling is another controller.
type Sibling struct {
	NodeName string `toml:"node_name"`
	Area     string `toml:"area"`
	Endpoint string `toml:"endpoint"`
}

// Team is a team's guarantee and limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is what is expected of a class.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"` // of its deadline
}

// Limits are what the state service bears.
type Limits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Settings is the platform's file. Fields it does not name are ignored.
type Settings struct {
	NodeName string    `toml:"node_name"`
	Area     string    `toml:"area"`
	ServeOn  string    `toml:"serve_on"`
	Back     string    `toml:"back"`
	Siblings []Sibling `toml:"siblings"`
	Services struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"services"`
	Params struct {
		Zones        []string    `toml:"zones"`
		ClockErrorMs float64     `toml:"clock_error_ms"`
		Teams        []Team      `toml:"teams"`
		Objectives   []Objective `toml:"objectives"`
		Workers      struct {
			ReportS   float64 `toml:"report_s"`
			LeaseS    float64 `toml:"lease_s"`
			GangWaitS float64 `toml:"gang_wait_s"`
			GangPeerS float64 `toml:"gang_peer_s"`
			CancelS   float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			Limits
			// Next holds the limits that the state service will have from some
			// unannounced moment on; what it does not name stays.
			Next struct {
				RPS      *float64 `toml:"rps"`
				WriteRPS *float64 `toml:"write_rps"`
				ValueKB  *float64 `toml:"value_kb"`
				TxnOps   *int     `toml:"txn_ops"`
			} `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Quota struct {
			Cores   float64 `toml:"cores"`
			RAMMB   float64 `toml:"ram_mb"`
			FDLimit int     `toml:"fd_limit"`
		} `toml:"quota"`
	} `toml:"params"`
}

// Load reads and checks the platform's file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse reads and checks settings. The error names the first field at fault.
func Parse(raw []byte) (*Settings, error) {
	s := new(Settings)
	if err := toml.Unmarshal(raw, s); err != nil {
		return nil, err
	}
	return s, s.check()
}

type bound struct {
	name    string
	v       float64
	lo, hi  float64
	include bool // lo itself is allowed
}

func checkBounds(bs []bound) error {
	for _, b := range bs {
		if math.IsNaN(b.v) || b.v > b.hi || b.v < b.lo || b.v == b.lo && !b.include {
			return fmt.Errorf("%s: %v is out of range", b.name, b.v)
		}
	}
	return nil
}

func (s *Settings) check() error {
	if s.NodeName == "" {
		return fmt.Errorf("node_name: missing")
	}
	type addr struct{ name, v string }
	addrs := []addr{{"serve_on", s.ServeOn}, {"back", s.Back}, {"services.cloud", s.Services.Cloud}, {"services.state", s.Services.State}}
	for i, b := range s.Siblings {
		if b.NodeName == "" {
			return fmt.Errorf("siblings[%d].node_name: missing", i)
		}
		addrs = append(addrs, addr{fmt.Sprintf("siblings[%d].endpoint", i), b.Endpoint})
	}
	for _, a := range addrs {
		if a.v == "" {
			return fmt.Errorf("%s: missing", a.name)
		}
		if _, err := netip.ParseAddrPort(a.v); err != nil {
			return fmt.Errorf("%s: %q is not an address with a port", a.name, a.v)
		}
	}
	p := &s.Params
	bounds := []bound{
		{"params.workers.report_s", p.Workers.ReportS, 0, 3600, false},
		{"params.workers.lease_s", p.Workers.LeaseS, 0, 86400, false},
		{"params.workers.gang_wait_s", p.Workers.GangWaitS, 0, 86400, true},
		{"params.workers.gang_peer_s", p.Workers.GangPeerS, 0, 86400, true},
		{"params.workers.cancel_s", p.Workers.CancelS, 0, 86400, false},
		{"params.cloud.rps", p.Cloud.RPS, 0, 1e6, false},
		{"params.cloud.list_lag_s", p.Cloud.ListLagS, 0, 3600, true},
		{"params.clock_error_ms", p.ClockErrorMs, 0, 1e7, true},
		{"params.quota.cores", p.Quota.Cores, 0, 1e4, true},
		{"params.quota.ram_mb", p.Quota.RAMMB, 0, 1e7, true},
	}
	limits := func(at string, l Limits) {
		bounds = append(bounds, bound{at + ".rps", l.RPS, 0, 1e9, false}, bound{at + ".write_rps", l.WriteRPS, 0, 1e9, false},
			bound{at + ".value_kb", l.ValueKB, 1, 1e6, true}, bound{at + ".txn_ops", float64(l.TxnOps), 2, 1e6, true})
	}
	limits("params.state", p.State.Limits)
	limits("params.state.next", s.nextLimits())
	if len(p.Teams) == 0 {
		return fmt.Errorf("params.teams: missing")
	}
	for i, t := range p.Teams {
		at := func(f string) string { return fmt.Sprintf("params.teams[%d].%s", i, f) }
		if t.Name == "" {
			return fmt.Errorf("%s: missing", at("name"))
		}
		bounds = append(bounds, bound{at("cpus"), t.CPUs, 0, 1e9, true}, bound{at("cpus_max"), t.CPUsMax, 0, 1e9, true},
			bound{at("gpus"), t.GPUs, 0, 1e9, true}, bound{at("gpus_max"), t.GPUsMax, 0, 1e9, true})
	}
	if err := checkBounds(bounds); err != nil {
		return err
	}
	// With these nothing safe could be done. All else starts, however unusual.
	if w := &p.Workers; w.ReportS*5/4 >= w.LeaseS {
		return fmt.Errorf("params.workers.report_s: %v leaves no lease of %v s", w.ReportS, w.LeaseS)
	} else if !leadership.IsFeasible(model.Seconds(w.LeaseS), model.Seconds(w.CancelS)) {
		return fmt.Errorf("params.workers.cancel_s: %v leaves no session beside a lease of %v s", w.CancelS, w.LeaseS)
	}
	return nil
}

// nextLimits are the limits of the state service after they have changed.
func (s *Settings) nextLimits() Limits {
	l, n := s.Params.State.Limits, &s.Params.State.Next
	if n.RPS != nil {
		l.RPS = *n.RPS
	}
	if n.WriteRPS != nil {
		l.WriteRPS = *n.WriteRPS
	}
	if n.ValueKB != nil {
		l.ValueKB = *n.ValueKB
	}
	if n.TxnOps != nil {
		l.TxnOps = *n.TxnOps
	}
	return l
}

// StateLimits are the limits of the state service that are kept at any time: the
// smaller ones of now and next, as the change comes without notice.
func (s *Settings) StateLimits() Limits {
	now, next := s.Params.State.Limits, s.nextLimits()
	return Limits{RPS: min(now.RPS, next.RPS), WriteRPS: min(now.WriteRPS, next.WriteRPS), ValueKB: min(now.ValueKB, next.ValueKB),
		TxnOps: min(now.TxnOps, next.TxnOps)}
}

// Teams converts the teams. A limit of 0, or none at all, is no limit: there are
// deployments whose teams name GPUs alone, and whose tasks all use processors. Such a
// team's guarantee does not ask for what it names neither in guarantee nor in limit.
func (s *Settings) Teams() map[string]*model.Team {
	m := map[string]*model.Team{}
	for _, t := range s.Params.Teams {
		cores, coresMax := amounts(t.CPUs, t.CPUsMax)
		gpus, gpusMax := amounts(t.GPUs, t.GPUsMax)
		m[t.Name] = &model.Team{Name: t.Name, Guaranteed: model.Resources{Cores: cores, GPUs: gpus}, Limit: model.Resources{Cores: coresMax, GPUs: gpusMax}}
	}
	return m
}

// amounts are a team's guarantee and limit of one kind.
func amounts(guaranteed, most float64) (g, m model.Milli) {
	g, m = model.ToMilli(guaranteed), model.ToMilli(most)
	if m == 0 {
		m = model.NoLimit
		if g == 0 {
			g = model.NoLimit
		}
	}
	return g, m
}

// Waits gives, by class, the times within which its tasks are to start, ascending.
func (s *Settings) Waits() map[string][]model.Micros { return s.within("wait") }

// Finish gives, by class, the times within which its jobs are to be done,
// ascending.
func (s *Settings) Finish() map[string][]model.Micros { return s.within("finished") }

func (s *Settings) within(kind string) map[string][]model.Micros {
	return byClass(s, kind, func(o *Objective) model.Micros { return model.Seconds(o.WithinS) })
}

// Deadlines gives, by class, the multiples of their deadline by which its jobs
// are to be done, ascending.
func (s *Settings) Deadlines() map[string][]float64 {
	return byClass(s, "deadline", func(o *Objective) float64 { return o.Times })
}

// byClass collects what the objectives of a kind say of each class, ascending.
func byClass[T cmp.Ordered](s *Settings, kind string, of func(*Objective) T) map[string][]T {
	m := map[string][]T{}
	var none T
	for i := range s.Params.Objectives {
		o := &s.Params.Objectives[i]
		if v := of(o); o.Kind == kind && o.Class != "" && v > none {
			m[o.Class] = append(m[o.Class], v)
		}
	}
	for _, l := range m {
		slices.Sort(l)
	}
	return m
}

// Guarantee is the time within which work within a team's guarantee is to start, 0
// if no aim says so.
func (s *Settings) Guarantee() model.Micros {
	for _, o := range s.Params.Objectives {
		if o.Kind == "guarantee" && o.WithinS > 0 {
			return model.Seconds(o.WithinS)
		}
	}
	return 0
}

// Operator is the operators' own file.
type Operator struct {
	XMLName           xml.Name `xml:"woadweir"`
	ExtraCapacityRate Number   `xml:"extra-capacity-rate"`
	LoopPeriodS       Number   `xml:"loop-period-s"`
	Granularity       Number   `xml:"granularity"`
	BlockLeaseS       Number   `xml:"block-lease-s"`
	RefusedPauseS     Number   `xml:"refused-pause-s"`
	// Duties is the duties file, nil without one.
	Duties *duty.Policy `xml:"-"`
	// Spill is the spill file, nil without one.
	Spill *spill.Policy `xml:"-"`
}

// Number is a decimal number in an element; what is none is reported with the
// element's name.
type Number float64

// UnmarshalXML reads the element.
func (n *Number) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	var text string
	if err := d.DecodeElement(&text, &start); err != nil {
		return err
	}
	v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil {
		return fmt.Errorf("%s: %q is not a number", start.Name.Local, text)
	}
	*n = Number(v)
	return nil
}

// DefaultOperator is what holds where the operators' file says nothing.
func DefaultOperator() *Operator {
	return &Operator{ExtraCapacityRate: 0.1, LoopPeriodS: 10, Granularity: 5, BlockLeaseS: 30, RefusedPauseS: 6}
}

// LoadOperator reads and checks the operators' file; an empty path gives the
// defaults.
func LoadOperator(path string) (*Operator, error) {
	o := DefaultOperator()
	if path == "" {
		return o, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := xml.Unmarshal(raw, o); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := checkBounds([]bound{
		{"extra-capacity-rate", float64(o.ExtraCapacityRate), 0, 1, true},
		{"loop-period-s", float64(o.LoopPeriodS), 0.1, 600, true},
		{"granularity", float64(o.Granularity), 1, 100, true},
		{"block-lease-s", float64(o.BlockLeaseS), 2, 600, true},
		{"refused-pause-s", float64(o.RefusedPauseS), 0.1, 600, true},
	}); err == nil && o.Granularity != Number(int(o.Granularity)) {
		return nil, fmt.Errorf("%s: granularity: %v is not a whole number", path, o.Granularity)
	} else if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return o, nil
}
