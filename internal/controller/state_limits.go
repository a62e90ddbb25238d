package controller

import (
	"encoding/json"
	"log/slog"

	"woadweir/internal/state"
)

// denseBelow is the size of values from which on the plain layout of bundles is compact
// enough.
const denseBelow = 8 << 10

// writeShare is this controller's share of the writes per second that the state service
// sustains. Half of them are the leader's; the others share the rest. As long as no
// write is refused, the leader may use three quarters and each of the others a third
// (most): with a low limit, tasks would wait for their bindings to be written.
func (c *controller) writeShare(leads bool) (share, most float64) {
	total := c.limits.WriteRPS
	if leads || len(c.set.Siblings) == 0 {
		return total / 2, total * 3 / 4
	}
	return total / 2 / float64(len(c.set.Siblings)), total / 3
}

func (c *controller) setWriteShare(leads bool) {
	share, most := c.writeShare(leads)
	c.budget.SetRate(share, most, c.now)
}

// maxValue is the maximum size of a value in bytes.
func (c *controller) maxValue() int { return int(c.limits.ValueKB * 960) }

// fits reports whether a record can be written as one value.
func (c *controller) fits(record any) bool {
	raw, err := json.Marshal(record)
	return err == nil && len(raw) <= c.maxValue()
}

// lowerStateLimits halves the sizes of transactions and values, after the state service
// has refused as too large what the settings allow.
func (c *controller) lowerStateLimits(err error) {
	c.limits.TxnOps = max(2, c.limits.TxnOps/2)
	c.limits.ValueKB = max(1, c.limits.ValueKB/2)
	slog.Error("the state service bears less than the settings say", "err", err, "txn_ops", c.limits.TxnOps, "value_kb", c.limits.ValueKB)
}

// dense reports whether to write bundles in the dense layout: values are small, and all
// controllers read it, or one that knew so has written it already.
func (c *controller) dense() bool {
	return c.maxValue() < denseBelow && (c.allRead(state.LayoutDense) || c.view.Newest >= state.LayoutDense)
}

// allRead reports whether all controllers read a layout of records. A controller that
// has once run a version that reads it never returns to an older one that does not, so
// having seen each with such a version once is enough.
func (c *controller) allRead(layout int) bool {
	for name, l := range c.view.Layouts {
		c.layouts[name] = max(c.layouts[name], l)
	}
	return c.allHave(c.layouts, layout)
}

// allHave reports whether all controllers have at least a layout.
func (c *controller) allHave(layouts map[string]int, layout int) bool {
	for _, s := range c.set.Siblings {
		if layouts[s.NodeName] < layout {
			return false
		}
	}
	return layouts[c.set.NodeName] >= layout
}
