package controller

import (
	"encoding/json"
	"log/slog"

	"woadweir/internal/state"
)

const (
	// denseBelowBytes is a threshold for the maximum size of a value. Below it, bundles are
	// written in the dense layout; from it on, the plain layout is compact enough.
	denseBelowBytes = 8 << 10
	// valueBytesPerKB is how many bytes of a value are used per KB of the limit on values.
	valueBytesPerKB = 960
)

// writeShare returns this controller's share of the writes per second that the state
// service sustains. The leader has half of them; the other controllers divide the rest
// equally. As long as no write is refused, the leader may use up to three quarters and each
// of the others a third (maxRate): with a lower maximum, tasks would wait for their bindings
// to be written.
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

// maxValueBytes returns the maximum size of a value in bytes.
func (c *controller) maxValueBytes() int { return int(c.limits.ValueKB * valueBytesPerKB) }

// fitsValue reports whether a record fits into one value.
func (c *controller) fitsValue(record any) bool {
	raw, err := json.Marshal(record)
	return err == nil && len(raw) <= c.maxValueBytes()
}

// lowerStateLimits halves the limits on transactions and values after the state service
// refused as too large what the settings allow.
func (c *controller) lowerStateLimits(err error) {
	c.limits.TxnOps = max(2, c.limits.TxnOps/2)
	c.limits.ValueKB = max(1, c.limits.ValueKB/2)
	slog.Error("the state service refused a transaction as too large although the settings allow it; limits lowered", "err", err, "txn_ops", c.limits.TxnOps, "value_kb", c.limits.ValueKB)
}

// usesDenseLayout reports whether to write bundles in the dense layout: the limit on values
// is small, and either all controllers can read the layout, or a controller that knew this
// has already written it.
func (c *controller) usesDenseLayout() bool {
	return c.maxValueBytes() < denseBelowBytes && (c.allControllersRead(state.LayoutDense) || c.view.NewestLayout >= state.LayoutDense)
}

// allControllersRead reports whether all controllers can read a layout of records. A
// controller that once ran a version that reads the layout never returns to an older
// version that does not, so it is enough to have seen each of them with such a version once.
func (c *controller) allControllersRead(layout int) bool {
	for name, seen := range c.view.Layouts {
		c.layouts[name] = max(c.layouts[name], seen)
	}
	return c.allControllersHave(c.layouts, layout)
}

// allControllersHave reports whether every controller's entry in layouts is at least layout.
func (c *controller) allControllersHave(layouts map[string]int, layout int) bool {
	for _, sibling := range c.settings.Siblings {
		if layouts[sibling.NodeName] < layout {
			return false
		}
	}
	return layouts[c.settings.NodeName] >= layout
}
