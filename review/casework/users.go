package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 20 * time.Second}}

// ask sends a request and returns the status and the body of the answer, 0 if there is none
// in time.
func ask(method, address, path string, body any, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		raw, ok := body.([]byte)
		if !ok {
			raw, _ = json.Marshal(body)
		}
		reader = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, raw
}

// jobAnswer is the answer to a user's request about a job.
type jobAnswer struct {
	Ref    string `json:"ref"`
	Status string `json:"status"`
	Done   int    `json:"done"`
}

func parseJobAnswer(raw []byte) (a jobAnswer) {
	_ = json.Unmarshal(raw, &a)
	return a
}

// Times of the users, as in PROTOCOL-woadweir.md.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	submitFor     = 60 * time.Second
)

// submit submits a job until it is accepted or refused, at one node after the other.
func submit(nodes []*node, job map[string]any) (code int) {
	deadline := time.Now().Add(submitFor)
	for i := 0; time.Now().Before(deadline); i++ {
		n := nodes[i%len(nodes)]
		code, body := ask("POST", n.serve, "/work", job, submitTimeout)
		quiet("submit %s at %s: %d %s", job["ref"], n.name, code, body)
		if code == 200 || code == 201 || code == 400 || code == 422 {
			return code
		}
		time.Sleep(time.Second)
	}
	return 0
}

// arrayJob returns a submission of independent tasks.
func arrayJob(ref, class, team string, pieces int, cores, memoryGB, guessS float64) map[string]any {
	return map[string]any{"ref": ref, "jobclass": class, "owner": team, "shape": "sweep", "rank": "standard", "pieces": pieces,
		"cores": cores, "gpus": 0.0, "memoryGb": memoryGB, "bundle": "img-01", "imageGb": 0.5, "builds": nil, "yard": nil, "samePlace": false,
		"apart": false, "loaners": true, "guessS": guessS, "keepsakeS": 0.0, "stowS": 0.0, "dueS": nil}
}
