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
func (o *target) free() model.Resources { return o.machine.Free().Minus(o.reserved) }

// usable is what a job may use of a machine: a task without GPUs leaves what GPU
// tasks need beside the GPUs that are wanted, unless it can't wait for others to
// be preempted.
func (o *target) usable(limits machineConstraints) model.Resources {
	if limits.needsGPUs || limits.mustStartNow {
		return o.free()
	}
	return o.free().Minus(o.gpuReserve)
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
func (w *Round) constraintsOf(job *model.JobState) machineConstraints {
	return machineConstraints{
		machineTypes:   strings.Join(job.MachineTypes, " "),
		zone:           job.Zone,
		allowsSpot:     job.AllowsSpot,
		mustStartNow:   w.mustStartNow(job),
		needsGPUs:      job.Request.GPUs > 0,
		canWait:        w.gangCanWait(job),
		lateIfTaskLost: job.LateIfTaskLost,
		mayUseSurplus:  job.AllowsSpot && w.mayUseSurplus(job),
	}
}

// AcceptsTasks tells whether the machine takes new work now. A machine that does not receive
// answers gets none: the work would never be started there, and its heartbeats may be
// old copies that don't show its present state.
func (w *Round) AcceptsTasks(machine *model.Machine) bool {
	reachable := machine.Up && machine.ReceivesAnswers && !machine.Lost && w.Now-machine.LastHeartbeat < w.HeartbeatTimeout
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
func (w *Round) tasksWithinLimit(job *model.JobState, maxTasks int) int {
	if w.Teams[job.Team] == nil {
		return 0
	}
	request := job.Request
	request.Mem = 0 // memory is not limited
	return request.FitCount(w.limitLeft(job.Team), maxTasks)
}

// limitLeft is what bound tasks and reservations leave of a known team's limit.
func (w *Round) limitLeft(team string) model.Resources {
	return w.Teams[team].Limit.Minus(w.Used[team]).Minus(w.reservedLimit[team])
}

// reserveForGPUTasks reserves free GPUs that are wanted, on the machines that suit GPU
// tasks best, with what such a task takes beside each GPU.
func (w *Round) reserveForGPUTasks() {
	left := w.WantedGPUs
	for _, open := range w.machinesWithFreeGPUs() {
		if left <= 0 {
			return
		}
		gpus := min(left, open.machine.Free().GPUs)
		left -= gpus
		open.gpuReserve = w.requestForGPUs(open.machine, gpus)
	}
}

// machinesWithFreeGPUs are the machines with free GPUs, spot machines first, then those
// with the fewest free GPUs.
func (w *Round) machinesWithFreeGPUs() []*target {
	var machines []*target
	for i := range w.targets {
		open := &w.targets[i]
		if open.machine.Size.GPUs > 0 && open.machine.Free().GPUs > 0 {
			machines = append(machines, open)
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
func (w *Round) requestForGPUs(machine *model.Machine, gpus model.Milli) model.Resources {
	size := machine.Size
	coresPerGPU := min(w.RequestPerGPU.Cores, size.Cores*milliPerUnit/size.GPUs)
	memPerGPU := min(w.RequestPerGPU.Mem, size.Mem*milliPerUnit/size.GPUs)
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
func (w *Round) mayUseSurplus(job *model.JobState) bool {
	return w.Now-idleSince(job) >= surplusAllowedAfter
}

// mayUse tells whether a job's tasks may go to a machine. A surplus machine takes no
// work that may use spot machines, unless that has waited for long.
func (w *Round) mayUse(job *model.JobState, machine *model.Machine) bool {
	if !job.Allows(machine.MachineType, machine.Zone, machine.Spot) {
		return false
	}
	return !machine.Surplus || !job.AllowsSpot || w.mayUseSurplus(job)
}
