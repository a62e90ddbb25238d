package lab

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"woadweir/internal/core/model"
	"woadweir/internal/jsoncodec"
	"woadweir/internal/jsonhttp"
)

// Timing of the users' requests.
const (
	retryInterval = 500 * time.Millisecond
	pollInterval  = 500 * time.Millisecond
	userTimeout   = 3 * model.Second
)

// Users submit jobs to a cell and poll their status until they are done.
type Users struct {
	cell    *Cell
	clients []*jsonhttp.Client
	running sync.WaitGroup
}

// NewUsers returns the users of a cell.
func NewUsers(cell *Cell) *Users {
	u := &Users{cell: cell}
	for _, address := range cell.Addresses() {
		u.clients = append(u.clients, jsonhttp.New(address, 256))
	}
	return u
}

// Submit submits an array job as a user and polls it in the background until it is done or
// the deadline has passed.
func (u *Users) Submit(id string, tasks int, seconds float64, deadline time.Time) {
	submission := &model.Submission{ID: id, Class: "c", Team: "red", Kind: "sweep", Priority: "standard", Tasks: tasks, Cores: 2, MemoryGB: 2,
		Image: "img-1", ImageGB: 1, AllowsSpot: true, EstimateS: seconds}
	env := u.cell.env
	env.Do(func() {
		env.invariants.Submitted[id] = submission.Job(0)
		env.invariants.HomeCells[id] = u.cell.Name
	})
	env.Record(Row{Kind: JobSubmitted, Cell: u.cell.Name, Job: id})
	u.running.Go(func() { u.submitAndPoll(submission, deadline) })
}

// submissionFields returns a submission's JSON fields, including those that are required but
// that the encoder leaves out when false.
func submissionFields(submission *model.Submission) map[string]any {
	raw, _ := json.Marshal(submission) // can't fail: the fields are numbers, strings, booleans and lists of strings
	fields := map[string]any{"samePlace": false, "apart": false}
	_ = jsoncodec.Unmarshal(raw, &fields)
	return fields
}

// submitAndPoll repeats the submission until it is accepted, then polls the job.
func (u *Users) submitAndPoll(submission *model.Submission, deadline time.Time) {
	accepted := false
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		client := u.clients[attempt%len(u.clients)]
		if !accepted {
			if code, _ := request(client, "POST", "/work", submissionFields(submission)); code == 200 || code == 201 {
				accepted = true
				u.cell.env.Record(Row{Kind: JobAccepted, Cell: u.cell.Name, Job: submission.ID})
			}
			time.Sleep(retryInterval)
			continue
		}
		switch code, status := request(client, "GET", "/work/"+submission.ID, nil); {
		case code == 404:
			u.cell.env.Record(Row{Kind: JobForgotten, Cell: u.cell.Name, Job: submission.ID})
		case status == "done":
			u.cell.env.Record(Row{Kind: JobDone, Cell: u.cell.Name, Job: submission.ID})
			return
		}
		time.Sleep(pollInterval)
	}
}

// request makes a request and returns the response's status code and the job status in it.
// The code is 0 if there is no response.
func request(client *jsonhttp.Client, method, path string, body any) (code int, status string) {
	_ = client.Do(method, path, body, userTimeout, func(responseCode int, raw []byte) error {
		var response struct {
			Status string `json:"status"`
		}
		code = responseCode
		if jsoncodec.Unmarshal(raw, &response) == nil {
			status = response.Status
		}
		return nil
	})
	return code, status
}

// Wait waits until all jobs are done or their deadlines have passed.
func (u *Users) Wait() { u.running.Wait() }

// WaitReady waits until a controller of the cell accepts jobs.
func (u *Users) WaitReady(deadline time.Time) error {
	for time.Now().Before(deadline) {
		for _, client := range u.clients {
			if code, _ := request(client, "GET", "/up", nil); code == 200 {
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("cell %s: no controller was ready before the deadline", u.cell.Name)
}
