package placement

import (
	"cmp"
	"slices"
	"strings"

	"woadweir/internal/core/model"
)

// milliPerUnit is how many thousandths make a whole: model.Milli counts thousandths.
const milliPerUnit = 1000

// target is a machine that takes new work, with what a round knows of it.
type target struct {
	machine    *model.Machine
	reserved   model.Resources // for jobs served earlier
	gpuReserve model.Resources // for GPU tasks: free GPUs and what a task takes beside them

	victimsKnown bool             // the fields below are set
	victims      []*model.Binding // tasks that may be preempted, least loss first
	freedByStops model.Resources  // what tasks that are being stopped will free
}

// free is what neither tasks nor reservations take.
func (t *target) free() model.Resources { return t.machine.Free().Minus(t.reserved) }

// usable is what a job may use of a machine: a task without GPUs leaves what GPU
// tasks need beside the GPUs that are wanted, unless it can't wait for others to
// be preempted.
func (t *target) usable(constraints machineConstraints) model.Resources {
	if constraints.needsGPUs || constraints.mustStartNow {
		return t.free()
	}
	return t.free().Minus(t.gpuReserve)
}

// machineConstraints is what decides, beside its request, which machines a job may use.
type machineConstraints struct {
	machineTypes   string
	zone           string
	allowsSpot     bool
	mustStartNow   bool
	needsGPUs      bool
	canWait        bool
	lateIfTaskLost bool
	mayUseSurplus  bool
	image          string // if only machines that have it will do
}

// constraintsOf are the constraints of a job that may use machines without its image.
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

// AcceptsTasks tells whether the machine takes new work now. A machine that does not receive
// answers gets none: the work would never be started there, and its heartbeats may be
// old copies that don't show its present state.
func (r *Round) AcceptsTasks(machine *model.Machine) bool {
	reachable := machine.Up && machine.ReceivesAnswers && !machine.Lost && r.Now-machine.LastHeartbeat < r.HeartbeatTimeout
	leaving := machine.Draining || machine.Deleting || machine.SpotNotice
	return reachable && !leaving && !machine.Quarantined && !machine.Failed
}

// ZoneRoom tells how many more tasks of the job the rules on zones let into the
// zone, given every task of it that is still bound anywhere.
func ZoneRoom(job *model.JobState, zone string) int {
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

// tasksWithinLimit is how many more tasks of the job its team's limit allows, at most
// maxTasks.
func (r *Round) tasksWithinLimit(job *model.JobState, maxTasks int) int {
	if r.Teams[job.Team] == nil {
		return 0
	}
	request := job.Request
	request.Mem = 0 // memory is not limited
	return request.FitCount(r.remainingLimit(job.Team), maxTasks)
}

// remainingLimit is what bound tasks and reservations leave of a known team's limit.
func (r *Round) remainingLimit(team string) model.Resources {
	return r.Teams[team].Limit.Minus(r.Used[team]).Minus(r.reservedLimit[team])
}

// reserveForGPUTasks reserves free GPUs that are wanted, on the machines that suit GPU
// tasks best, with what such a task takes beside each GPU.
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

// machinesWithFreeGPUs are the machines with free GPUs, spot machines first, then those
// with the fewest free GPUs.
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

// requestForGPUs is what tasks with so many GPUs take of a machine, but no more than the
// machine's share for these GPUs.
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

// surplusAllowedAfter is how long a job waits until surplus machines take it all the same:
// machines that were rented for it may be slow to boot, and no job may wait for 90 s
// beside a machine that has room.
const surplusAllowedAfter = 45 * model.Second

// mayUseSurplus tells whether a job has waited long enough to use surplus machines.
func (r *Round) mayUseSurplus(job *model.JobState) bool {
	return r.Now-idleSince(job) >= surplusAllowedAfter
}

// mayUse tells whether a job's tasks may go to a machine. A surplus machine takes no
// work that may use spot machines, unless that has waited for long.
func (r *Round) mayUse(job *model.JobState, machine *model.Machine) bool {
	if !job.Allows(machine.MachineType, machine.Zone, machine.Spot) {
		return false
	}
	return !machine.Surplus || !job.AllowsSpot || r.mayUseSurplus(job)
}
