package state

import "woadweir/internal/core/model"

// The ends of a job.
const (
	Done      = "done"
	Cancelled = "withdrawn"
)

// pipeline is what a job has to do with the jobs that it awaits, and with those
// that await it. All of it follows from records that are durable, so every
// controller comes to the same, whatever else has been lost: a job that needs a
// withdrawn one is withdrawn from the moment on in which that end is written.
// Nothing of it can be on a machine, as it begins only when all that it needs is
// done, and an end is written once.
type pipeline struct {
	waits   int      // jobs that it needs and that are not known to be done
	fallen  bool     // a job that it needs, directly or through others, is withdrawn
	needed  []string // jobs that await it, as long as it has no end
	endMs   int64    // time of day of its end, 0: not recorded
	readyMs int64    // time of day when the last job it needs was done
	readyNo uint64   // stamp of that
	rank    model.Priority
	dueMs   int64 // time of day when it is due, 0: never
}

// Ready tells whether all that a job needs is done, so that it may begin.
func (j *JobView) Ready() bool { return j.waits == 0 && !j.fallen }

// Alone tells that a job neither awaits others nor is awaited.
func (j *JobView) Alone() bool { return len(j.Submission.Awaits) == 0 && len(j.needed) == 0 }

// ReadyMs is the time of day from which its times count, other than its deadline.
func (j *JobView) ReadyMs() int64 { return max(j.Submission.AcceptedMs, j.readyMs) }

// Order is its age among other jobs: its acceptance, or the end of the last job
// that it needs.
func (j *JobView) Order() uint64 { return max(j.Revision, j.readyNo) }

// Job converts the submission for decisions: with the highest rank of all jobs
// that need it, with what is left until it is due, counted from when it could
// begin, and due early enough for what has to run after it.
func (j *JobView) Job() *model.Job {
	job := j.Submission.Job(j.Order())
	job.Priority, job.Deadline = j.Standing()
	return job
}

// Standing is a job's rank and deadline, counted from ReadyMs, as they follow from
// the jobs that need it.
func (j *JobView) Standing() (model.Priority, model.Micros) {
	if j.dueMs == 0 {
		return j.rank, 0
	}
	return j.rank, max(1, model.Micros(j.dueMs-j.ReadyMs())*model.Millisecond)
}

// TakeNews gives the jobs whose standing has changed through other jobs since it
// was last called.
func (v *View) TakeNews() []string {
	news := v.news
	v.news = nil
	return news
}

// link books what a job waits for, once its submission is known. The jobs that
// await it may have become known earlier.
func (v *View) link(ref string, j *JobView) {
	sub := j.Submission.Job(0)
	j.rank = max(j.rank, sub.Priority)
	if sub.Deadline > 0 {
		j.sooner(j.Submission.AcceptedMs + int64(sub.Deadline/model.Millisecond))
	}
	for _, a := range j.Submission.Awaits {
		b := v.job(a)
		switch {
		case b.End == Done:
			j.after(b, v.Revisions["job/"+a])
		case b.End != "" || b.fallen:
			j.fallen = true
		default:
			b.needed = append(b.needed, ref)
			j.waits++
		}
	}
	if j.fallen {
		v.fell(j)
		return
	}
	v.inherit(ref)
}

func (j *JobView) after(b *JobView, stamp uint64) {
	j.readyMs, j.readyNo = max(j.readyMs, b.endMs), max(j.readyNo, stamp)
}

// sooner notes a time by which the job is due.
func (j *JobView) sooner(ms int64) bool {
	if j.dueMs != 0 && j.dueMs <= ms {
		return false
	}
	j.dueMs = ms
	return true
}

// ended takes note of a job's end.
func (v *View) ended(j *JobView, stamp uint64) {
	if j.End != Done {
		v.fell(j)
		return
	}
	for _, ref := range j.needed {
		d := v.Jobs[ref]
		d.after(j, stamp)
		if d.waits--; d.waits == 0 {
			v.news = append(v.news, ref)
		}
	}
	j.needed = nil
}

// fell has all that needs a withdrawn job, directly or through others, withdrawn.
func (v *View) fell(j *JobView) {
	for work := []*JobView{j}; len(work) > 0; {
		j, work = work[0], work[1:]
		for _, ref := range j.needed {
			if d := v.Jobs[ref]; !d.fallen && d.End == "" {
				d.fallen = true
				work = append(work, d)
			}
		}
		j.needed = nil
	}
}

// inherit hands a job's rank and deadline on to the jobs that it needs, and so on.
// It stops where nothing changes.
func (v *View) inherit(ref string) {
	for work := []string{ref}; len(work) > 0; {
		j := v.Jobs[work[0]]
		work = work[1:]
		if j.Submission == nil || j.End != "" {
			continue
		}
		run := int64(j.Submission.EstimateS * 1000)
		for _, a := range j.Submission.Awaits {
			b := v.Jobs[a]
			if b.End != "" {
				continue
			}
			changed := j.rank > b.rank
			b.rank = max(b.rank, j.rank)
			if j.dueMs != 0 && b.sooner(j.dueMs-run) {
				changed = true
			}
			if changed {
				work = append(work, a)
				if b.Submission != nil && b.waits == 0 {
					v.news = append(v.news, a)
				}
			}
		}
	}
}
