package state

import (
	"time"

	"woadweir/internal/core/model"
	"woadweir/internal/spill"
)

// SpillStatus describes a job that is or was lent or borrowed.
type SpillStatus struct {
	Job   string
	Out   bool   // set for a lent job of this cell, not set for a borrowed job
	Cell  string // the other cell: the execution cell of a lent job, the home cell of a borrowed one
	State string
	Token uint64
	Since time.Time
}

// Spills reads from the state service which jobs are lent and which are borrowed.
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
		Job:   borrowedJobID(entry.Path),
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
