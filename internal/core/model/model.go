// Package model holds the vocabulary of the scheduler: amounts, times, jobs,
// machine types, teams, machines and the tasks bound to them. Nothing in it does
// any input or output.
package model

import (
	"math"
	"time"
)

// Micros is a time or a duration in whole microseconds. Points in time are on
// the steady clock of this process.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1_000
	Second      Micros = 1_000_000
)

// Seconds converts decimal seconds.
func Seconds(s float64) Micros { return Micros(math.Round(s * 1e6)) }

// Duration converts to the standard library's type.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Seconds converts to decimal seconds.
func (m Micros) Seconds() float64 { return float64(m) / 1e6 }

// Milli is an amount (cores, GPUs, gigabytes) in thousandths.
type Milli int64

// ToMilli converts a decimal amount, rounding half away from zero.
func ToMilli(f float64) Milli { return Milli(math.Round(f * 1000)) }

// CeilMilli converts a decimal demand, rounding up, so that what is booked is
// never less than what is taken.
func CeilMilli(f float64) Milli { return Milli(math.Ceil(f*1000 - 1e-6)) }

// Resources is what one task takes of its machine, or what a machine has.
type Resources struct{ Cores, GPUs, Mem Milli }

// Plus adds two amounts.
func (n Resources) Plus(o Resources) Resources {
	return Resources{n.Cores + o.Cores, n.GPUs + o.GPUs, n.Mem + o.Mem}
}

// Minus subtracts o.
func (n Resources) Minus(o Resources) Resources {
	return Resources{n.Cores - o.Cores, n.GPUs - o.GPUs, n.Mem - o.Mem}
}

// Times multiplies by a count.
func (n Resources) Times(k int) Resources {
	return Resources{n.Cores * Milli(k), n.GPUs * Milli(k), n.Mem * Milli(k)}
}

// Fits tells whether n fits into room.
func (n Resources) Fits(room Resources) bool {
	return n.Cores <= room.Cores && n.GPUs <= room.GPUs && n.Mem <= room.Mem
}

// IsZero tells whether nothing is asked.
func (n Resources) IsZero() bool { return n == Resources{} }

// FitCount tells how many times n fits into room, at most limit.
func (n Resources) FitCount(room Resources, limit int) int {
	k := Milli(limit)
	for _, p := range [...][2]Milli{{n.Cores, room.Cores}, {n.GPUs, room.GPUs}, {n.Mem, room.Mem}} {
		if p[0] > 0 {
			k = min(k, max(0, p[1])/p[0])
		}
	}
	return int(k)
}

// MachineType is a machine type of the cloud.
type MachineType struct {
	Name      string   `json:"label"`
	Cores     float64  `json:"cores"`
	GPUs      float64  `json:"gpus"`
	MemoryGB  float64  `json:"memoryGb"`
	CacheGB   float64  `json:"cacheGb"`
	FetchGBps float64  `json:"fetchGbPerS"`
	Price     float64  `json:"price"`
	SpotPrice float64  `json:"lowPrice"`
	BootS     float64  `json:"bootS"`
	Zones     []string `json:"yards"`
}

// Size is what a machine of this type has.
func (f *MachineType) Size() Resources {
	return Resources{ToMilli(f.Cores), ToMilli(f.GPUs), ToMilli(f.MemoryGB)}
}

// OfferedIn tells whether the type is offered in the zone.
func (f *MachineType) OfferedIn(zone string) bool {
	for _, y := range f.Zones {
		if y == zone {
			return true
		}
	}
	return false
}

// HourlyPrice is the current price per hour.
func (f *MachineType) HourlyPrice(spot bool) float64 {
	if spot {
		return f.SpotPrice
	}
	return f.Price
}

// NoLimit stands for a limit that there is not. It is far beyond all that can be had,
// and far from overflow.
const NoLimit Milli = 1 << 50

// Team is what a team is guaranteed and limited to.
type Team struct {
	Name       string
	Guaranteed Resources
	Limit      Resources
}

// WithinLimit tells whether use stays inside the team's limit (memory is not
// limited).
func (t *Team) WithinLimit(use Resources) bool {
	return use.Cores <= t.Limit.Cores && use.GPUs <= t.Limit.GPUs
}

// WithinGuarantee tells whether use stays inside the team's guarantee.
func (t *Team) WithinGuarantee(use Resources) bool {
	return use.Cores <= t.Guaranteed.Cores && use.GPUs <= t.Guaranteed.GPUs
}
