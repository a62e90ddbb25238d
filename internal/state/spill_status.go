package state

import (
	"strings"
	"time"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// SpillStatus describes a job that is or was lent.
type SpillStatus struct {
	Job   string
	Out   bool   // a job of this cell; else one of Cell that runs here
	Cell  string // the other cell
	State string
	Token uint64
	Since time.Time
}

// Spills reads which jobs are lent to other cells and by them.
func (c *Client) Spills(timeout model.Micros) ([]SpillStatus, error) {
	var list []SpillStatus
	_, err := c.listPrefix(SpillPrefix, timeout, func(entry Entry) error {
		status, err := spillStatus(entry)
		list = append(list, status)
		return err
	})
	return list, err
}

func spillStatus(entry Entry) (SpillStatus, error) {
	if isSpillOutKey(entry.Path) {
		return spillOutStatus(entry)
	}
	record, err := decodeAs[spill.InRecord](entry.Path, entry.Value)
	if err != nil {
		return SpillStatus{}, err
	}
	return SpillStatus{
		Job:   entry.Path[strings.LastIndex(entry.Path, separator)+1:],
		Cell:  record.Home,
		State: string(record.State),
		Token: record.Token,
		Since: time.UnixMilli(record.SinceMs).UTC(),
	}, nil
}

func spillOutStatus(entry Entry) (SpillStatus, error) {
	record, err := decodeAs[spill.OutRecord](entry.Path, entry.Value)
	if err != nil {
		return SpillStatus{}, err
	}
	return SpillStatus{
		Job:   lentJobID(entry.Path),
		Out:   true,
		Cell:  record.Cell,
		State: string(record.State),
		Token: record.Token,
		Since: time.UnixMilli(record.SinceMs).UTC(),
	}, nil
}
