package controller

import (
	"encoding/json"
	"log/slog"

	"woadweir/internal/state"
)

// denseBelowBytes is the size of values from which on the plain layout of bundles is compact
// enough.
const denseBelowBytes = 8 << 10

// writeShare is this controller's share of the writes per second that the state service
// sustains. Half of them are the leader's; the others share the rest. As long as no
// write is refused, the leader may use three quarters and each of the others a third
// (most): with a low limit, tasks would wait for their bindings to be written.
func (c *controller) writeShare(leads bool) (share, maxRate float64) {
	total := c.limits.WriteRPS
	if leads || len(c.settings.Siblings) == 0 {
		return total / 2, total * 3 / 4
	}
	return total / 2 / float64(len(c.settings.Siblings)), total / 3
}

func (c *controller) setWriteShare(leads bool) {
	share, maxRate := c.writeShare(leads)
	c.writeBudget.SetRate(share, maxRate, c.now)
}

// maxValueBytes is the maximum size of a value in bytes.
func (c *controller) maxValueBytes() int { return int(c.limits.ValueKB * 960) }

// fitsValue reports whether a record can be written as one value.
func (c *controller) fitsValue(record any) bool {
	raw, err := json.Marshal(record)
	return err == nil && len(raw) <= c.maxValueBytes()
}

// lowerStateLimits halves the sizes of transactions and values, after the state service
// has refused as too large what the settings allow.
func (c *controller) lowerStateLimits(err error) {
	c.limits.TxnOps = max(2, c.limits.TxnOps/2)
	c.limits.ValueKB = max(1, c.limits.ValueKB/2)
	slog.Error("the state service bears less than the settings say", "err", err, "txn_ops", c.limits.TxnOps, "value_kb", c.limits.ValueKB)
}

// usesDenseLayout reports whether to write bundles in the dense layout: values are small, and all
// controllers read it, or one that knew so has written it already.
func (c *controller) usesDenseLayout() bool {
	return c.maxValueBytes() < denseBelowBytes && (c.allControllersRead(state.LayoutDense) || c.view.NewestLayout >= state.LayoutDense)
}

// allControllersRead reports whether all controllers read a layout of records. A controller that
// has once run a version that reads it never returns to an older one that does not, so
// having seen each with such a version once is enough.
func (c *controller) allControllersRead(layout int) bool {
	for name, seen := range c.view.Layouts {
		c.layouts[name] = max(c.layouts[name], seen)
	}
	return c.allControllersHave(c.layouts, layout)
}

// allControllersHave reports whether all controllers have at least a layout.
func (c *controller) allControllersHave(layouts map[string]int, layout int) bool {
	for _, sibling := range c.settings.Siblings {
		if layouts[sibling.NodeName] < layout {
			return false
		}
	}
	return layouts[c.settings.NodeName] >= layout
}
