package placement

import (
	"cmp"
	"slices"
	"strings"

	"woadweir/internal/core/model"
)

// milliPerUnit converts whole units to model.Milli, which counts thousandths.
const milliPerUnit = 1000

// target is a machine that accepts new tasks, with the state that a round keeps of it.
type target struct {
	machine    *model.Machine
	reserved   model.Resources // reserved for jobs served earlier
	gpuReserve model.Resources // reserved for GPU tasks: free GPUs and what such tasks need in addition

	victimsKnown bool             // the fields below are set
	victims      []*model.Binding // tasks that may be preempted, least loss first
	freedByStops model.Resources  // resources of the tasks that are being stopped
}

// free returns the resources that neither bound tasks nor reservations take.
func (t *target) free() model.Resources { return t.machine.Free().Minus(t.reserved) }

// usable returns the resources that a job with these constraints may use. Tasks without
// GPUs leave what GPU tasks need in addition to the wanted GPUs, unless they can't wait
// until others have been preempted.
func (t *target) usable(constraints machineConstraints) model.Resources {
	if constraints.needsGPUs || constraints.mustStartNow {
		return t.free()
	}
	return t.free().Minus(t.gpuReserve)
}

// machineConstraints are the properties of a job, apart from its request, that determine
// which machines it may use.
type machineConstraints struct {
	machineTypes   string
	zone           string
	allowsSpot     bool
	mustStartNow   bool
	needsGPUs      bool
	canWait        bool
	lateIfTaskLost bool
	mayUseSurplus  bool
	image          string // set if only machines that have this image may be used
}

// constraintsOf returns the constraints of a job that may use machines without its image.
func (r *Round) constraintsOf(job *model.JobState) machineConstraints {
	return machineConstraints{
		machineTypes:   strings.Join(job.MachineTypes, " "),
		zone:           job.Zone,
		allowsSpot:     job.AllowsSpot,
		mustStartNow:   r.mustStartNow(job),
		needsGPUs:      job.Request.GPUs > 0,
		canWait:        r.gangCanWait(job),
		lateIfTaskLost: job.LateIfTaskLost,
		mayUseSurplus:  job.AllowsSpot && r.mayUseSurplus(job),
	}
}

// AcceptsTasks reports whether tasks may be placed on the machine now. A machine that does
// not receive responses accepts none: the tasks would never be started there, and its
// heartbeats may be old copies that don't show its current state.
func (r *Round) AcceptsTasks(machine *model.Machine) bool {
	reachable := machine.Up && machine.ReceivesResponses && !machine.Lost && r.Now-machine.LastHeartbeat < r.HeartbeatTimeout
	leaving := machine.Draining || machine.Deleting || machine.SpotNotice
	return reachable && !leaving && !machine.Quarantined && !machine.Failed
}

// AllowedInZone returns how many more tasks of the job its SameZone and Spread rules allow in
// the zone, given all of its tasks that are still bound anywhere.
func AllowedInZone(job *model.JobState, zone string) int {
	if !job.SameZone && !job.Spread {
		return job.Tasks
	}
	inZone := 0
	for _, bindings := range job.Bindings {
		for _, binding := range bindings {
			if binding.Machine.Zone == zone {
				inZone++
			} else if job.SameZone {
				return 0
			}
		}
	}
	return max(0, job.MaxPerZone()-inZone)
}

// tasksWithinLimit returns how many more tasks of the job its team's limit allows, at most
// maxTasks.
func (r *Round) tasksWithinLimit(job *model.JobState, maxTasks int) int {
	if r.Teams[job.Team] == nil {
		return 0
	}
	request := job.Request
	request.Mem = 0 // memory is not limited
	return request.FitCount(r.remainingLimit(job.Team), maxTasks)
}

// remainingLimit returns what bound tasks and reservations leave of the limit of a team.
// The team has to be known.
func (r *Round) remainingLimit(team string) model.Resources {
	return r.Teams[team].Limit.Minus(r.Used[team]).Minus(r.reservedLimit[team])
}

// reserveForGPUTasks reserves the free GPUs that are wanted, on the machines that are best
// for GPU tasks, together with what such tasks need in addition to each GPU.
func (r *Round) reserveForGPUTasks() {
	left := r.WantedGPUs
	for _, target := range r.machinesWithFreeGPUs() {
		if left <= 0 {
			return
		}
		gpus := min(left, target.machine.Free().GPUs)
		left -= gpus
		target.gpuReserve = r.requestForGPUs(target.machine, gpus)
	}
}

// machinesWithFreeGPUs returns the machines with free GPUs: spot machines first, and of
// each kind those with the fewest free GPUs first.
func (r *Round) machinesWithFreeGPUs() []*target {
	var machines []*target
	for i := range r.targets {
		target := &r.targets[i]
		if target.machine.Size.GPUs > 0 && target.machine.Free().GPUs > 0 {
			machines = append(machines, target)
		}
	}
	slices.SortFunc(machines, func(a, b *target) int {
		return cmp.Or(
			trueFirst(a.machine.Spot, b.machine.Spot),
			cmp.Compare(a.machine.Free().GPUs, b.machine.Free().GPUs),
			cmp.Compare(a.machine.ID, b.machine.ID))
	})
	return machines
}

// requestForGPUs returns the resources that tasks with the given GPUs take on average, but
// no more than the machine has per GPU.
func (r *Round) requestForGPUs(machine *model.Machine, gpus model.Milli) model.Resources {
	size := machine.Size
	coresPerGPU := min(r.RequestPerGPU.Cores, size.Cores*milliPerUnit/size.GPUs)
	memPerGPU := min(r.RequestPerGPU.Mem, size.Mem*milliPerUnit/size.GPUs)
	return model.Resources{
		Cores: coresPerGPU * gpus / milliPerUnit,
		GPUs:  gpus,
		Mem:   memPerGPU * gpus / milliPerUnit,
	}
}

// surplusAllowedAfter is the wait after which a job may use surplus machines after all:
// machines that were rented for it may be slow to boot, and no job may wait for 90 s while
// it fits on a machine.
const surplusAllowedAfter = 45 * model.Second

// mayUseSurplus reports whether a job has waited long enough to use surplus machines.
func (r *Round) mayUseSurplus(job *model.JobState) bool {
	return r.Now-idleSince(job) >= surplusAllowedAfter
}

// mayUse reports whether a job's tasks may be placed on a machine. Jobs that may use spot
// machines are not placed on a surplus machine unless they have waited for
// surplusAllowedAfter.
func (r *Round) mayUse(job *model.JobState, machine *model.Machine) bool {
	if !job.Allows(machine.MachineType, machine.Zone, machine.Spot) {
		return false
	}
	return !machine.Surplus || !job.AllowsSpot || r.mayUseSurplus(job)
}
