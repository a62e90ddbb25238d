// Command cellbench runs three cells of the real program on loopback, with stand-ins for
// what lies outside, and a burst of jobs on one of them. It prints what became of the jobs,
// computed from the history that it writes.
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

// scenario is an experiment, as its file says.
type scenario struct {
	XMLName       xml.Name `xml:"scenario"`
	Name          string   `xml:"name,attr"`
	BurstJobs     int      `xml:"burst-jobs"`
	NeighbourJobs int      `xml:"neighbour-jobs"`
	TaskS         float64  `xml:"task-s"`
	Spill         bool     `xml:"spill"`
	KillAfterS    float64  `xml:"kill-after-s"`
	BackAfterS    float64  `xml:"back-after-s"`
	LimitS        float64  `xml:"limit-s"`
}

type cli struct {
	Binary   string   `default:"target/woadweir" help:"The program, built as the README says."`
	Out      string   `default:"" help:"Folder for settings, logs and histories. Default: a temporary one."`
	Short    bool     `help:"One short burst, in under half a minute."`
	Scenario []string `help:"Scenario files. Default: those built in."`
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
	list, err := c.load()
	if err != nil {
		return err
	}
	if c.Out == "" {
		if c.Out, err = os.MkdirTemp("", "cellbench-"); err != nil {
			return err
		}
	}
	fmt.Println("settings, logs and histories are in", c.Out)
	for _, s := range list {
		if err := s.play(c.Binary, filepath.Join(c.Out, s.Name)); err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	return nil
}

// load reads the scenarios that are asked for.
func (c *cli) load() (list []scenario, err error) {
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
		list = append(list, s)
	}
	return list, nil
}

// Machines of each kind in each zone: the burst's cell is the smallest.
const (
	burstMachines     = 1
	neighbourMachines = 2
	tasksPerJob       = 4
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// play runs a scenario and prints its report.
func (s *scenario) play(binary, dir string) error {
	world := lab.NewEnvironment(lab.Teams(), lab.CancelLimit)
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
		cell, err := world.NewCell(name, binary, dir, machines)
		if err != nil {
			return err
		}
		cells = append(cells, cell)
	}
	users, err := s.start(cells)
	if err != nil {
		return err
	}
	s.load(users)
	if s.KillAfterS > 0 {
		time.Sleep(seconds(s.KillAfterS))
		cells[1].Kill()
		time.Sleep(seconds(s.BackAfterS))
		if err := cells[1].Start(); err != nil {
			return err
		}
	}
	for _, u := range users {
		u.Wait()
	}
	waitHome(world, cells)
	world.RecordViolations()
	path := filepath.Join(dir, "history.parquet")
	if err := world.History().Write(path); err != nil {
		return err
	}
	report, err := lab.Read(path)
	if err != nil {
		return err
	}
	s.print(report)
	return nil
}

// start starts the cells and waits until they take jobs.
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
		if err := u.WaitReady(time.Now().Add(20 * time.Second)); err != nil {
			return nil, err
		}
	}
	return users, nil
}

// load submits the burst, and the neighbours' own jobs.
func (s *scenario) load(users []*lab.Users) {
	until := time.Now().Add(seconds(s.LimitS))
	for i, u := range users {
		jobs := s.BurstJobs
		if i > 0 {
			jobs = s.NeighbourJobs
		}
		for k := range jobs {
			u.Submit(fmt.Sprintf("j-%d%05d", i, k), tasksPerJob, s.TaskS, until)
		}
	}
}

// drainTimeout is how long records of spilling may take to go after the last job.
const drainTimeout = 60 * time.Second

// waitHome waits until no record of spilling is left.
func waitHome(world *lab.Environment, cells []*lab.Cell) {
	for until := time.Now().Add(drainTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		left := 0
		for _, cell := range cells {
			left += cell.KeyCount("spill/")
		}
		if left == 0 {
			world.Record(lab.Row{Kind: lab.AllReturned})
			return
		}
	}
}

func (s *scenario) print(r *lab.Report) {
	fmt.Printf("%s: %d jobs accepted, %d finished, %d duplicated, %d lost; %d of %d task starts executed again\n",
		s.Name, r.Accepted, r.Finished, r.Duplicated, r.Lost, r.ExecutedAgain, r.Starts+r.ExecutedAgain)
	for _, broken := range r.Violations {
		fmt.Println("  rule broken:", broken)
	}
	wait := r.StartWait
	fmt.Printf("  wait for the first task: median %.1f s, 90%% %.1f s, most %.1f s; last job done after %.1f s\n",
		float64(wait.ValueAtQuantile(50))/1000, float64(wait.ValueAtQuantile(90))/1000, float64(wait.Max())/1000, float64(r.LastDoneUs)/1e6)
	if r.LentJobs == 0 {
		return
	}
	allHome := "not all home in time"
	if r.AllReturnedUs > 0 {
		allHome = fmt.Sprintf("all home %.1f s after the last job", float64(r.AllReturnedUs-r.LastDoneUs)/1e6)
	}
	fmt.Printf("  %d lendings, %d jobs ran in another cell; %.1f state changes and %.0f bytes a lending; %s\n",
		r.LentJobs, r.RanElsewhere, float64(r.StateChanges)/float64(r.LentJobs), float64(r.StateBytes)/float64(r.LentJobs), allHome)
}
