package lab

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"woadweir/internal/core/model"
	"woadweir/internal/jsonhttp"
)

// Rhythm of users.
const (
	retryInterval = 500 * time.Millisecond
	pollInterval  = 500 * time.Millisecond
	userTimeout   = 3 * model.Second
)

// Users submit jobs to a cell and ask for them until they are done.
type Users struct {
	cell    *Cell
	clients []*jsonhttp.Client
	wait    sync.WaitGroup
}

// NewUsers makes the users of a cell.
func NewUsers(cell *Cell) *Users {
	u := &Users{cell: cell}
	for _, address := range cell.Addresses() {
		u.clients = append(u.clients, jsonhttp.New(address, 256))
	}
	return u
}

// Submit has a user submit an array and ask for it until it is done or the time is over.
func (u *Users) Submit(id string, tasks int, seconds float64, until time.Time) {
	sub := &model.Submission{ID: id, Class: "c", Team: "red", Kind: "sweep", Priority: "standard", Tasks: tasks, Cores: 2, MemoryGB: 2,
		Image: "img-1", ImageGB: 1, AllowsSpot: true, EstimateS: seconds}
	world := u.cell.world
	world.Do(func() {
		world.rules.Submitted[id] = sub.Job(0)
		world.rules.HomeCells[id] = u.cell.Name
	})
	world.Record(Row{Kind: JobSubmitted, Cell: u.cell.Name, Job: id})
	u.wait.Go(func() { u.follow(sub, until) })
}

// wireSubmission has the fields that a submission may not leave out.
func submissionFields(sub *model.Submission) map[string]any {
	raw, _ := json.Marshal(sub) // of numbers and strings
	fields := map[string]any{"samePlace": false, "apart": false}
	_ = json.Unmarshal(raw, &fields)
	return fields
}

// follow retries the submission, then polls.
func (u *Users) follow(sub *model.Submission, until time.Time) {
	accepted := false
	for try := 0; time.Now().Before(until); try++ {
		client := u.clients[try%len(u.clients)]
		if !accepted {
			if code, _ := request(client, "POST", "/work", submissionFields(sub)); code == 200 || code == 201 {
				accepted = true
				u.cell.world.Record(Row{Kind: JobAccepted, Cell: u.cell.Name, Job: sub.ID})
			}
			time.Sleep(retryInterval)
			continue
		}
		switch code, status := request(client, "GET", "/work/"+sub.ID, nil); {
		case code == 404:
			u.cell.world.Record(Row{Kind: JobForgotten, Cell: u.cell.Name, Job: sub.ID})
		case status == "done":
			u.cell.world.Record(Row{Kind: JobDone, Cell: u.cell.Name, Job: sub.ID})
			return
		}
		time.Sleep(pollInterval)
	}
}

// ask makes a request; the code is 0 without a response.
func request(client *jsonhttp.Client, method, path string, body any) (code int, status string) {
	_ = client.Do(method, path, body, userTimeout, func(c int, raw []byte) error {
		var answer struct{ Status string }
		code = c
		if json.Unmarshal(raw, &answer) == nil {
			status = answer.Status
		}
		return nil
	})
	return code, status
}

// Wait waits until all users have got their answer or given up.
func (u *Users) Wait() { u.wait.Wait() }

// Ready waits until a controller of the cell takes jobs.
func (u *Users) WaitReady(until time.Time) error {
	for time.Now().Before(until) {
		for _, client := range u.clients {
			if code, _ := request(client, "GET", "/up", nil); code == 200 {
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("cell %s does not come up", u.cell.Name)
}
