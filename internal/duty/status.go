package duty

import "time"

// Status describes who holds a duty.
type Status struct {
	Name   Name
	Holder string // "" if the duty is vacant
	Token  uint64
	Since  time.Time
	// Previous is the previous holder, PreviousToken its fencing token, and Why the reason for
	// which it lost the duty.
	Previous      string
	PreviousToken uint64
	Why           Reason
}

// StatusOf returns the status of a duty from its stored lease.
func StatusOf(name Name, held StoredLease) Status {
	if held.Token == 0 {
		return Status{Name: name}
	}
	return Status{Name: name, Holder: held.Holder, Token: held.Token, Since: time.UnixMilli(held.SinceMs).UTC(),
		Previous: held.Previous, PreviousToken: held.PreviousToken, Why: held.Why}
}
