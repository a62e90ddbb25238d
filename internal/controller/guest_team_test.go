package controller

import (
	"slices"
	"testing"

	"woadweir/internal/config"
	"woadweir/internal/core/model"
)

// guestSettings returns settings with a third team, guest, that has no guarantee.
func guestSettings(name string) *config.Settings {
	s := simSettings(name)
	s.Params.Teams = append(s.Params.Teams, config.Team{Name: "guest", CPUsMax: 64})
	s.Params.Objectives = []config.Objective{{Kind: "guarantee", WithinS: 30, Share: 0.9}}
	return s
}

// guestJob returns an array job of the guest team. Large and small ones alike have priority idle
// and save checkpoints.
func guestJob(i, tasks int, cores, estimateS float64) *model.Submission {
	s := arrayJob(i, tasks, estimateS)
	s.Team, s.Priority, s.Cores, s.CheckpointS, s.SaveS = "guest", "idle", cores, 5, 1
	return s
}

// recordStartTimes returns a map to which the time is added at which the leader first saw a
// task of each job running.
func (sim *simDeployment) recordStartTimes() map[string]model.Micros {
	startTimes := map[string]model.Micros{}
	var check func()
	check = func() {
		if leader := sim.leader(); leader != nil && leader.ctl.leading.ready {
			for jobID, job := range leader.ctl.leading.shard.Jobs {
				if job.HasRun && startTimes[jobID] == 0 {
					startTimes[jobID] = sim.Now
				}
			}
		}
		sim.After(model.Second/2, check)
	}
	sim.After(0, check)
	return startTimes
}

// A guest team without a guarantee submits one large sweep that fills the fleet, forty jobs of one
// small task and three small array jobs. They use idle capacity: all of them, including the sweep,
// start within four minutes and are done in the end, although the leader crashes meanwhile. The
// team whose work is within its guarantee does not wait for them, because the guest's tasks are
// evicted and save their progress.
func TestGuestTeamWithLargeSweep(t *testing.T) {
	sim := newDeployment(t, 81, guestSettings, map[string]int{"small/a/false": 4, "small/b/false": 4})
	sim.waitForLeader(10 * model.Second)
	startTimes := sim.recordStartTimes()
	submitted := map[string]model.Micros{}
	submit := func(delay model.Micros, submission *model.Submission, jobs *[]*user) {
		sim.At(sim.Now+delay, func() {
			submitted[submission.ID] = sim.Now
			*jobs = append(*jobs, sim.submit(submission, 0))
		})
	}
	var guests, guaranteed []*user
	submit(0, guestJob(900, 200, 2, 90), &guests) // its tasks fill the fleet for minutes
	for i := range model.Micros(40) {
		submit((40+4*i)*model.Second, guestJob(800+int(i), 1, 0.25, 15), &guests)
	}
	for i := range model.Micros(3) {
		submit((60+40*i)*model.Second, guestJob(700+int(i), 6, 1, 10), &guests)
	}
	for i := range model.Micros(24) { // 4 tasks of 2 CPUs: 8 of the 20 that are guaranteed
		submit((60+8*i)*model.Second, arrayJob(int(i), 4, 8), &guaranteed)
	}
	sim.At(sim.Now+130*model.Second, func() { sim.leader().crash() })
	sim.Run(sim.Now + 460*model.Second)

	late := 0
	for _, u := range guaranteed {
		if at := startTimes[u.submission.ID]; at == 0 || at-submitted[u.submission.ID] > 30*model.Second {
			late++
		}
		if u.reportedEnd != "done" {
			t.Errorf("%s, within the guarantee, has end %q, want done", u.submission.ID, u.reportedEnd)
		}
	}
	if late > len(guaranteed)/10 {
		t.Errorf("%d of %d jobs within the guarantee started more than 30 s after submission, want at most a tenth", late, len(guaranteed))
	}
	for _, u := range guests {
		jobID := u.submission.ID
		if at := startTimes[jobID]; at == 0 || at-submitted[jobID] > 240*model.Second {
			t.Errorf("guest job %s, submitted at %.0f s, started at %.0f s, want within 240 s", jobID, submitted[jobID].Seconds(), at.Seconds())
		}
	}
	sim.runUntil(900*model.Second, "all jobs of the guest team are done", func() bool {
		return !slices.ContainsFunc(guests, func(u *user) bool { return u.reportedEnd != "done" })
	})
	sim.requireInvariants()
}
