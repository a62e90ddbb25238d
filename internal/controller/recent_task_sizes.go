package controller

import (
	"woadweir/internal/core/autoscaler"
	"woadweir/internal/core/model"
)

// taskSizeRetention is how long after its last job a task size still has placeholders.
const taskSizeRetention = 180 * model.Second

// taskSize is what a task requests, and whether it may use spot machines.
type taskSize struct {
	request    model.Resources
	allowsSpot bool
}

// recentTaskSizes are the sizes of tasks that were requested lately, with the time.
type recentTaskSizes map[taskSize]model.Micros

// record records that tasks of a job's size are requested now.
func (r recentTaskSizes) record(job *model.JobState, now model.Micros) {
	r[taskSize{job.Request, job.AllowsSpot}] = now
}

// addTo adds the sizes to the autoscaler's input, and forgets the old ones.
func (r recentTaskSizes) addTo(in *autoscaler.Input) {
	for size, at := range r {
		if in.Now-at > taskSizeRetention {
			delete(r, size)
			continue
		}
		in.Sizes = append(in.Sizes, size.request)
		if size.allowsSpot {
			in.SpotTolerantSizes = append(in.SpotTolerantSizes, size.request)
		} else {
			in.OnDemandSizes = append(in.OnDemandSizes, size.request)
		}
	}
}
