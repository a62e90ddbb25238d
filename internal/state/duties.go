package state

import (
	"encoding/json"
	"errors"
	"fmt"

	"woadweir/internal/core/model"
	"woadweir/internal/duty"
)

// FirstBlock names the one block of the present policy. Its holder reclaims work from lost
// machines.
const FirstBlock = "b0"

// Duties reads who holds which duty.
func (c *Client) Duties(timeout model.Micros) ([]duty.Status, error) {
	var list []duty.Status
	for _, name := range duty.Movable {
		var lease duty.Lease
		stamp, err := c.read(name.Key(), &lease, timeout)
		if err != nil {
			return nil, err
		}
		list = append(list, duty.StatusOf(name, duty.Held{Lease: lease, Token: stamp}))
	}
	var grant GrantRecord
	stamp, err := c.read("grant/"+FirstBlock, &grant, timeout)
	if err != nil {
		return nil, err
	}
	return append(list, duty.Status{Name: duty.Reclaiming, Holder: grant.Holder, Token: stamp}), nil
}

// read reads a record. A key that does not exist has the revision 0.
func (c *Client) read(key string, rec any, timeout model.Micros) (stamp uint64, err error) {
	e, err := c.Get(key, timeout)
	if errors.Is(err, ErrMissing) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(e.Value, rec); err != nil {
		return 0, fmt.Errorf("%w: %s: %v", ErrLayout, key, err)
	}
	return e.Revision, nil
}
