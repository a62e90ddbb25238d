// Command cellbench runs three cells of the woadweir binary on loopback, with test doubles for
// the systems around them, and submits a burst of jobs to one of the cells. It writes a
// history of each run and prints a report computed from it.
package main

import (
	"embed"
	"encoding/xml"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"woadweir/internal/lab"
)

//go:embed scenarios/*.xml
var scenarios embed.FS

// scenario is an experiment, as described by its file.
type scenario struct {
	XMLName       xml.Name `xml:"scenario"`
	Name          string   `xml:"name,attr"`
	BurstJobs     int      `xml:"burst-jobs"`
	NeighbourJobs int      `xml:"neighbour-jobs"`
	TaskS         float64  `xml:"task-s"`
	Spill         bool     `xml:"spill"`
	KillAfterS    float64  `xml:"kill-after-s"`
	RestartAfterS float64  `xml:"back-after-s"`
	LimitS        float64  `xml:"limit-s"`
}

// cli has the command-line flags. kong derives their names from the field names.
type cli struct {
	Binary   string   `default:"target/woadweir" help:"The woadweir binary, built as the README describes."`
	Out      string   `default:"" help:"Directory for settings, logs and histories. Default: a temporary directory."`
	Short    bool     `help:"Run one short burst, which takes less than half a minute."`
	Scenario []string `help:"Scenario files to run. Default: the built-in scenarios."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("cellbench"))
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, "cellbench:", err)
		os.Exit(1)
	}
}

func (c *cli) run() error {
	loaded, err := c.loadScenarios()
	if err != nil {
		return err
	}
	if c.Out == "" {
		if c.Out, err = os.MkdirTemp("", "cellbench-"); err != nil {
			return err
		}
	}
	fmt.Println("settings, logs and histories are in", c.Out)
	for _, s := range loaded {
		if err := s.run(c.Binary, filepath.Join(c.Out, s.Name)); err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	return nil
}

// loadScenarios reads the scenarios that the flags select.
func (c *cli) loadScenarios() (loaded []scenario, err error) {
	names, read := []string{"alone", "idle", "busy", "killed"}, func(name string) ([]byte, error) { return scenarios.ReadFile("scenarios/" + name + ".xml") }
	switch {
	case len(c.Scenario) > 0:
		names, read = c.Scenario, os.ReadFile
	case c.Short:
		names = []string{"short"}
	}
	for _, name := range names {
		raw, err := read(name)
		if err != nil {
			return nil, err
		}
		var s scenario
		if err := xml.Unmarshal(raw, &s); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		loaded = append(loaded, s)
	}
	return loaded, nil
}

// Machines that each cell can rent per zone, spot and on-demand separately. The cell that gets
// the burst is the smallest.
const (
	burstMachines     = 1
	neighbourMachines = 2
)

// tasksPerJob is the number of tasks of every job.
const tasksPerJob = 4

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// run runs a scenario and prints its report.
func (s *scenario) run(binary, dir string) error {
	env := lab.NewEnvironment(lab.Teams(), lab.CancelLimit)
	var cells []*lab.Cell
	defer func() {
		for _, cell := range cells {
			cell.Kill()
		}
	}()
	for i, name := range []string{"north", "south", "west"} {
		machines := neighbourMachines
		if i == 0 {
			machines = burstMachines
		}
		cell, err := env.NewCell(name, binary, dir, machines)
		if err != nil {
			return err
		}
		cells = append(cells, cell)
	}
	users, err := s.start(cells)
	if err != nil {
		return err
	}
	s.submitJobs(users)
	if s.KillAfterS > 0 {
		time.Sleep(seconds(s.KillAfterS))
		cells[1].Kill()
		time.Sleep(seconds(s.RestartAfterS))
		if err := cells[1].Start(); err != nil {
			return err
		}
	}
	for _, u := range users {
		u.Wait()
	}
	waitReturned(env, cells)
	env.RecordViolations()
	path := filepath.Join(dir, "history.parquet")
	if err := env.History().Write(path); err != nil {
		return err
	}
	report, err := lab.Read(path)
	if err != nil {
		return err
	}
	s.printReport(report)
	return nil
}

// readyTimeout is how long each cell may take to accept jobs.
const readyTimeout = 20 * time.Second

// start starts the cells and waits until they accept jobs.
func (s *scenario) start(cells []*lab.Cell) (users []*lab.Users, err error) {
	for i, cell := range cells {
		var neighbours []*lab.Cell
		for k, other := range cells {
			if s.Spill && k != i {
				neighbours = append(neighbours, other)
			}
		}
		if err := cell.WriteFiles(neighbours); err != nil {
			return nil, err
		}
		if err := cell.Start(); err != nil {
			return nil, err
		}
		users = append(users, lab.NewUsers(cell))
	}
	for _, u := range users {
		if err := u.WaitReady(time.Now().Add(readyTimeout)); err != nil {
			return nil, err
		}
	}
	return users, nil
}

// submitJobs submits the burst to the first cell, and the neighbours' own jobs to the others.
func (s *scenario) submitJobs(users []*lab.Users) {
	deadline := time.Now().Add(seconds(s.LimitS))
	for i, u := range users {
		jobs := s.BurstJobs
		if i > 0 {
			jobs = s.NeighbourJobs
		}
		for k := range jobs {
			u.Submit(fmt.Sprintf("j-%d%05d", i, k), tasksPerJob, s.TaskS, deadline)
		}
	}
}

// drainTimeout is how long spill records may remain after the last job.
const drainTimeout = 60 * time.Second

// waitReturned waits until no cell has a spill record left, or until drainTimeout has passed.
func waitReturned(env *lab.Environment, cells []*lab.Cell) {
	for deadline := time.Now().Add(drainTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		remaining := 0
		for _, cell := range cells {
			remaining += cell.KeyCount("spill/")
		}
		if remaining == 0 {
			env.Record(lab.Row{Kind: lab.AllReturned})
			return
		}
	}
}

// printReport prints the summary of a run.
func (s *scenario) printReport(report *lab.Report) {
	fmt.Printf("%s: %d jobs accepted, %d finished, %d duplicated, %d lost; %d of %d task starts executed again\n",
		s.Name, report.Accepted, report.Finished, report.Duplicated, report.Lost, report.ExecutedAgain, report.Starts+report.ExecutedAgain)
	for _, violation := range report.Violations {
		fmt.Println("  rule broken:", violation)
	}
	wait := report.StartWait
	fmt.Printf("  wait for the first task: median %.1f s, 90%% %.1f s, most %.1f s; last job done after %.1f s\n",
		float64(wait.ValueAtQuantile(50))/1000, float64(wait.ValueAtQuantile(90))/1000, float64(wait.Max())/1000, float64(report.LastDoneUs)/1e6)
	if report.Lendings == 0 {
		return
	}
	returned := "not all home in time"
	if report.AllReturnedUs > 0 {
		returned = fmt.Sprintf("all home %.1f s after the last job", float64(report.AllReturnedUs-report.LastDoneUs)/1e6)
	}
	fmt.Printf("  %d lendings, %d jobs ran in another cell; %.1f state changes and %.0f bytes a lending; %s\n",
		report.Lendings, report.RanElsewhere, float64(report.StateChanges)/float64(report.Lendings), float64(report.StateBytes)/float64(report.Lendings), returned)
}
