package controller

import (
	"errors"

	"woadweir/internal/cloud"
	"woadweir/internal/core/model"
	"woadweir/internal/duty"
)

// cloudProbePeriod is how often the holder of a duty that needs the cloud calls it, so that
// it notices an unreachable cloud before a rental or a deletion has to wait for it.
const cloudProbePeriod = 4 * model.Second

// probeCloud calls the cloud if this controller holds a duty that needs it and no call was
// made for cloudProbePeriod.
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

// cloudAnswered records whether the cloud has answered a call. Answers that it is called
// too often or has no capacity count as well.
func (d *dutyManager) cloudAnswered(err error) {
	d.cloudCalledAt = d.controller.now
	switch {
	case err == nil, errors.Is(err, cloud.ErrBusy), errors.Is(err, cloud.ErrNoCapacity):
		d.cloudFailingSince = 0
	case d.cloudFailingSince == 0:
		d.cloudFailingSince = d.controller.now
	}
}
