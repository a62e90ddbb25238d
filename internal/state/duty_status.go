package state

import (
	"errors"

	"woadweir/internal/core/model"
	"woadweir/internal/duty"
	"woadweir/internal/jsoncodec"
)

// Duties reads from the state service which controller holds each single-holder duty.
func (c *Client) Duties(timeout model.Micros) ([]duty.Status, error) {
	var statuses []duty.Status
	for _, name := range duty.Movable {
		var lease duty.Lease
		revision, err := c.readRecord(name.Key(), &lease, timeout)
		if err != nil {
			return nil, err
		}
		statuses = append(statuses, duty.StatusOf(name, duty.StoredLease{Lease: lease, Token: revision}))
	}
	var grant GrantRecord
	revision, err := c.readRecord(GrantKey(FirstShard), &grant, timeout)
	if err != nil {
		return nil, err
	}
	return append(statuses, duty.Status{Name: duty.Reclaiming, Holder: grant.Holder, Token: revision}), nil
}

// readRecord reads the record of a key. It returns revision 0 if the key does not exist.
func (c *Client) readRecord(key string, record any, timeout model.Micros) (revision uint64, err error) {
	entry, err := c.Get(key, timeout)
	if errors.Is(err, ErrMissing) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := jsoncodec.Unmarshal(entry.Value, record); err != nil {
		return 0, &RecordError{Key: key, Cause: err}
	}
	return entry.Revision, nil
}
