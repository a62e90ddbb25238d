package userapi

import "testing"

func TestParse(t *testing.T) {
	for _, test := range []struct {
		method, path string
		route        Route
		jobID        string
	}{
		{"POST", "/work", Submit, ""}, {"GET", "/work", None, ""}, {"GET", "/work/j-1", Poll, "j-1"}, {"POST", "/work/j-1", None, ""},
		{"POST", "/work/j-1/withdraw", Cancel, "j-1"}, {"GET", "/work/j-1/withdraw", None, ""}, {"GET", "/work/", None, ""},
		{"POST", "/work//withdraw", None, ""}, {"GET", "/up", HealthCheck, ""}, {"POST", "/up", None, ""}, {"GET", "/", None, ""},
	} {
		if route, jobID := Parse(test.method, test.path); route != test.route || route != None && jobID != test.jobID {
			t.Errorf("%s %s: got route %v, job %q, want route %v, job %q", test.method, test.path, route, jobID, test.route, test.jobID)
		}
	}
}

func TestBodies(t *testing.T) {
	if got := string(JobStatus("j-1", "pending", 0, 0, 3).Body); got != `{"ref":"j-1","status":"pending","done":0,"running":0,"failedMachines":3}` {
		t.Errorf("status of a job that fails everywhere: got %s, want the number of failed machines and both counts", got)
	}
	if got := string(JobStatus("j-1", "running", 0, 13, 0).Body); got != `{"ref":"j-1","status":"running","done":0,"running":13}` {
		t.Errorf("status of a running job: got %s, want both counts and no failed machines", got)
	}
	if got := string(Accepted(201, "j-1", "pending").Body); got != `{"ref":"j-1","status":"pending"}` {
		t.Errorf("response to a submission: got %s, want only ID and status", got)
	}
}
