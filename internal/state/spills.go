package state

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// SpillStatus is what can be told of a job that is or was lent.
type SpillStatus struct {
	Job   string
	Out   bool   // a job of this cell; else one of Cell that runs here
	Cell  string // the other cell
	State string
	Token uint64
	Since time.Time
}

// Spills reads what is lent to other cells and by them.
func (c *Client) Spills(timeout model.Micros) ([]SpillStatus, error) {
	var list []SpillStatus
	_, err := c.listPrefix("spill/", timeout, func(e Entry) error {
		status, err := spillStatus(e)
		list = append(list, status)
		return err
	})
	return list, err
}

func spillStatus(e Entry) (SpillStatus, error) {
	if job, out := strings.CutPrefix(e.Path, spill.OutPrefix); out {
		var r spill.OutRecord
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return SpillStatus{}, fmt.Errorf("%w: %s: %v", ErrLayout, e.Path, err)
		}
		return SpillStatus{job, true, r.Cell, string(r.State), r.Token, time.UnixMilli(r.SinceMs).UTC()}, nil
	}
	var r spill.InRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return SpillStatus{}, fmt.Errorf("%w: %s: %v", ErrLayout, e.Path, err)
	}
	job := e.Path[strings.LastIndexByte(e.Path, '/')+1:]
	return SpillStatus{job, false, r.Home, string(r.State), r.Token, time.UnixMilli(r.SinceMs).UTC()}, nil
}
