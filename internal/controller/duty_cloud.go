package controller

import (
	"errors"

	"woadweir/internal/cloud"
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
)

// cloudProbePeriod is how often a holder asks the cloud for something, so that it learns
// of a cloud that it can't reach before a rental or a deletion has to wait for that.
const cloudProbePeriod = 4 * model.Second

// probeCloud asks the cloud for something if a duty is held that needs it.
func (d *dutyManager) probeCloud(snapshot *duty.Snapshot) {
	_, rents := d.held[duty.Renting]
	_, returns := d.held[duty.Returning]
	switch {
	case !rents && !returns:
		d.cloudFailingSince = 0
	case d.controller.leading == nil && snapshot.Now-d.cloudCalledAt >= cloudProbePeriod: // a leader reads the machine list anyway
		d.cloudCalledAt = snapshot.Now
		d.controller.io.fetchMachineTypes()
	}
}

// cloudAnswered takes note of whether the cloud has answered a call. That it is asked too
// often, or has no capacity, is an answer.
func (d *dutyManager) cloudAnswered(err error) {
	d.cloudCalledAt = d.controller.now
	switch {
	case err == nil, errors.Is(err, cloud.ErrBusy), errors.Is(err, cloud.ErrNoCapacity):
		d.cloudFailingSince = 0
	case d.cloudFailingSince == 0:
		d.cloudFailingSince = d.controller.now
	}
}
