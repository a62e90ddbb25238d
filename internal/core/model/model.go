// Package model defines the types that the scheduler works with: amounts, times, jobs,
// machine types, teams, machines and the tasks bound to them. It does no input or output.
package model

import (
	"math"
	"time"
)

// Micros is a point in time or a duration in whole microseconds. Points in time refer to
// the monotonic clock of this process.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1_000
	Second      Micros = 1_000_000
)

// Seconds converts a number of seconds.
func Seconds(seconds float64) Micros { return Micros(math.Round(seconds * 1e6)) }

// Duration converts a duration to the standard library's type.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Seconds returns a duration in seconds.
func (m Micros) Seconds() float64 { return float64(m) / 1e6 }

// Milli is an amount (cores, GPUs, gigabytes) in thousandths.
type Milli int64

// ToMilli converts an amount, rounding half away from zero.
func ToMilli(amount float64) Milli { return Milli(math.Round(amount * 1000)) }

// CeilMilli converts a requested amount, rounding up, so that what is booked is never less
// than what is taken.
func CeilMilli(amount float64) Milli { return Milli(math.Ceil(amount*1000 - 1e-6)) }

// Resources are the resources that a task requests or that a machine has.
type Resources struct{ Cores, GPUs, Mem Milli }

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.Cores + other.Cores, r.GPUs + other.GPUs, r.Mem + other.Mem}
}

// Minus returns r minus other.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.Cores - other.Cores, r.GPUs - other.GPUs, r.Mem - other.Mem}
}

// Times returns r multiplied by count.
func (r Resources) Times(count int) Resources {
	return Resources{r.Cores * Milli(count), r.GPUs * Milli(count), r.Mem * Milli(count)}
}

// Fits reports whether r fits into the available resources.
func (r Resources) Fits(available Resources) bool {
	return r.Cores <= available.Cores && r.GPUs <= available.GPUs && r.Mem <= available.Mem
}

// IsZero reports whether all amounts are zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// FitCount returns how many times r fits into the available resources, at most limit. Only
// what r requests is considered.
func (r Resources) FitCount(available Resources, limit int) int {
	count := Milli(limit)
	for _, pair := range [...][2]Milli{{r.Cores, available.Cores}, {r.GPUs, available.GPUs}, {r.Mem, available.Mem}} {
		if pair[0] > 0 {
			count = min(count, max(0, pair[1])/pair[0])
		}
	}
	return int(count)
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

// Size returns the resources of a machine of this type.
func (t *MachineType) Size() Resources {
	return Resources{ToMilli(t.Cores), ToMilli(t.GPUs), ToMilli(t.MemoryGB)}
}

// OfferedIn reports whether the type is offered in the zone.
func (t *MachineType) OfferedIn(zone string) bool {
	for _, offered := range t.Zones {
		if offered == zone {
			return true
		}
	}
	return false
}

// HourlyPrice returns the current price per hour of a spot or an on-demand machine.
func (t *MachineType) HourlyPrice(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// NoLimit represents the absence of a limit. It is far larger than any available amount,
// and small enough for sums not to overflow.
const NoLimit Milli = 1 << 50

// Team is a team with its guarantee and limit.
type Team struct {
	Name       string
	Guaranteed Resources
	Limit      Resources
}

// WithinLimit reports whether use is within the team's limit. Memory is not limited.
func (t *Team) WithinLimit(use Resources) bool {
	return use.Cores <= t.Limit.Cores && use.GPUs <= t.Limit.GPUs
}

// WithinGuarantee reports whether use is within the team's guarantee. Memory is not
// considered.
func (t *Team) WithinGuarantee(use Resources) bool {
	return use.Cores <= t.Guaranteed.Cores && use.GPUs <= t.Guaranteed.GPUs
}
