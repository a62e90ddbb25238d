package controller

import (
	"woadweir/internal/core/autoscaler"
	"woadweir/internal/core/model"
)

// taskSizeRetention is how long the autoscaler still gets a task size for placeholders
// after the size was last requested.
const taskSizeRetention = 180 * model.Second

// taskSize is the resource request of a task, and whether it may use spot machines.
type taskSize struct {
	request    model.Resources
	allowsSpot bool
}

// recentTaskSizes maps the recently requested task sizes to the time of the last request.
type recentTaskSizes map[taskSize]model.Micros

// record notes that tasks of a job's size are requested now.
func (r recentTaskSizes) record(job *model.JobState, now model.Micros) {
	r[taskSize{job.Request, job.AllowsSpot}] = now
}

// addTo adds the sizes to the autoscaler's input, and drops those whose retention has
// ended.
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
