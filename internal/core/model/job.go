package model

// JobKind is how a job's tasks relate to each other.
type JobKind uint8

// The kinds of jobs: independent tasks, tasks that all run at the same time, and replicas
// that run until the job is cancelled.
const (
	Array JobKind = iota
	Gang
	Service
)

// Priority orders jobs for preemption; a higher value goes first.
type Priority uint8

// The priorities, from the lowest.
const (
	LowPriority Priority = iota
	NormalPriority
	HighPriority
	ProductionPriority
)

// MaxTasks is the most tasks that a job may have.
const MaxTasks = 100_000

// Job is a submission in the form that decisions are made on.
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
	Deadline                                   Micros // from submission; 0: none
	AcceptedMs                                 int64
	AcceptedRevision                           uint64 // revision of its acceptance: the smaller, the older
}

// Job converts a checked submission that was accepted at a revision of the state service.
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

// Allows tells whether the job may use machines of this type, zone and kind.
func (j *Job) Allows(machineType, zone string, spot bool) bool {
	if spot && !j.AllowsSpot || j.Zone != "" && j.Zone != zone {
		return false
	}
	if j.MachineTypes == nil {
		return true
	}
	for _, b := range j.MachineTypes {
		if b == machineType {
			return true
		}
	}
	return false
}

// MaxPerZone is the most tasks of the job that may be in one zone.
func (j *Job) MaxPerZone() int {
	if j.Spread {
		return (j.Tasks + 1) / 2
	}
	return j.Tasks
}

// InfeasibleReason tells why a job can never run, or "".
func (j *Job) InfeasibleReason(teams map[string]*Team, machineTypes []MachineType) string {
	t := teams[j.Team]
	if t == nil {
		return "unknown team"
	}
	n := j.Tasks
	if j.Kind == Array {
		n = 1
	}
	if !t.WithinLimit(j.Request.Times(n)) {
		return "needs more than the team's limit"
	}
	for i := range machineTypes {
		f := &machineTypes[i]
		if !j.Request.Fits(f.Size()) {
			continue
		}
		for _, y := range f.Zones {
			if j.Allows(f.Name, y, false) {
				return ""
			}
		}
	}
	return "a task fits no allowed machine type"
}
