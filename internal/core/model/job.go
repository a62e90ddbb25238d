package model

// JobKind defines how the tasks of a job relate to each other.
type JobKind uint8

// The kinds of jobs: independent tasks, tasks that all run at the same time, and replicas
// that run until the job is cancelled, respectively.
const (
	Array JobKind = iota
	Gang
	Service
)

// Priority orders jobs for preemption; a higher value goes first.
type Priority uint8

// The priorities, from lowest to highest.
const (
	LowPriority Priority = iota
	NormalPriority
	HighPriority
	ProductionPriority
)

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// Job is a submission converted to the units and types that the scheduler works with.
type Job struct {
	ID, Class, Team                            string
	Kind                                       JobKind
	Priority                                   Priority
	Tasks                                      int
	Request                                    Resources
	Image                                      string
	ImageGB                                    float64
	MachineTypes                               []string
	Zone                                       string
	SameZone, Spread                           bool
	AllowsSpot                                 bool
	EstimatedRun, CheckpointInterval, SaveTime Micros
	Deadline                                   Micros // relative to the submission; 0: none
	AcceptedMs                                 int64  // time of day of the acceptance
	AcceptedRevision                           uint64 // revision of the acceptance; older jobs have smaller ones
}

// Job converts a valid submission. acceptedRevision is the revision of the state service at
// which it was accepted.
func (s *Submission) Job(acceptedRevision uint64) *Job {
	job := &Job{
		ID:                 s.ID,
		Class:              s.Class,
		Team:               s.Team,
		Kind:               jobKinds[s.Kind],
		Priority:           priorities[s.Priority],
		Tasks:              s.Tasks,
		Request:            Resources{CeilMilli(s.Cores), CeilMilli(s.GPUs), CeilMilli(s.MemoryGB)},
		Image:              s.Image,
		ImageGB:            s.ImageGB,
		MachineTypes:       s.MachineTypes,
		SameZone:           s.SameZone,
		Spread:             s.Spread,
		AllowsSpot:         s.AllowsSpot,
		EstimatedRun:       Seconds(s.EstimateS),
		CheckpointInterval: Seconds(s.CheckpointS),
		SaveTime:           Seconds(s.SaveS),
		AcceptedMs:         s.AcceptedMs,
		AcceptedRevision:   acceptedRevision,
	}
	if s.Zone != nil {
		job.Zone = *s.Zone
	}
	if s.DeadlineS != nil {
		job.Deadline = Seconds(*s.DeadlineS)
	}
	return job
}

// Allows reports whether the job may use spot or on-demand machines of this type in this
// zone.
func (j *Job) Allows(machineType, zone string, spot bool) bool {
	if spot && !j.AllowsSpot || j.Zone != "" && j.Zone != zone {
		return false
	}
	if j.MachineTypes == nil {
		return true
	}
	for _, allowed := range j.MachineTypes {
		if allowed == machineType {
			return true
		}
	}
	return false
}

// MaxPerZone returns the maximum number of tasks of the job in one zone.
func (j *Job) MaxPerZone() int {
	if j.Spread {
		return (j.Tasks + 1) / 2
	}
	return j.Tasks
}

// InfeasibleReason returns why the job can never run, or "" if it can.
func (j *Job) InfeasibleReason(teams map[string]*Team, machineTypes []MachineType) string {
	team := teams[j.Team]
	if team == nil {
		return "unknown team"
	}
	minTasks := j.Tasks // that run at the same time
	if j.Kind == Array {
		minTasks = 1
	}
	if !team.WithinLimit(j.Request.Times(minTasks)) {
		return "needs more than the team's limit"
	}
	for i := range machineTypes {
		machineType := &machineTypes[i]
		if !j.Request.Fits(machineType.Size()) {
			continue
		}
		for _, zone := range machineType.Zones {
			if j.Allows(machineType.Name, zone, false) {
				return ""
			}
		}
	}
	return "a task fits no allowed machine type"
}
