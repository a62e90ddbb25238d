package block

import (
	"strings"

	"woadweir/internal/core/model"
)

// HostRecord is the durable record of a machine: what is bound to it.
type HostRecord struct {
	Build  string                 `json:"build"`
	Yard   string                 `json:"yard"`
	Spot   bool                   `json:"spot,omitempty"`
	Pieces map[string][][2]uint64 `json:"pieces,omitempty"` // job -> (task, try)
}

// ProgressRecord is the durable record of a job's finished tasks.
type ProgressRecord struct {
	Done []byte `json:"done"`
}

// EndRecord is the durable end of a job.
type EndRecord struct {
	Status string `json:"status"`
	Pieces int    `json:"pieces"`
}

// Write is a change to be made durable under our grant.
type Write struct {
	Key    string
	Value  any // nil: drop
	Create bool
	entry  string
	ver    uint64
	host   *model.Host
}

func (h *Holder) push(entry string) {
	if !h.queued[entry] {
		h.queued[entry] = true
		h.queue = append(h.queue, entry)
	}
}

// touch marks a host's record as changed.
func (h *Holder) touch(m *model.Host) {
	m.Ver++
	h.push("host/" + m.Ref)
}

// Queued is the number of records waiting to be written.
func (h *Holder) Queued() int { return len(h.queue) }

// Writes takes up to limit changes from the queue, in order. Each value is made
// now, so it covers everything decided until now. If the transaction fails,
// they are given back by Retry.
func (h *Holder) Writes(limit int) []Write {
	var ws []Write
	for len(h.queue) > 0 && len(ws) < limit {
		entry := h.queue[0]
		w, n := h.write(entry)
		if len(ws)+n > limit {
			break
		}
		h.queue = h.queue[1:]
		delete(h.queued, entry)
		ws = append(ws, w...)
	}
	return ws
}

func (h *Holder) write(entry string) (ws []Write, n int) {
	kind, ref, _ := strings.Cut(entry, "/")
	switch kind {
	case "host":
		m := h.Hosts[ref]
		if m == nil {
			return []Write{{Key: entry, entry: entry}}, 1
		}
		rec := HostRecord{Build: m.Build, Yard: m.Yard, Spot: m.Spot, Pieces: map[string][][2]uint64{}}
		for id, b := range m.Bound {
			rec.Pieces[id.Job] = append(rec.Pieces[id.Job], [2]uint64{uint64(id.N), b.Try})
		}
		return []Write{{Key: entry, Value: rec, entry: entry, ver: m.Ver, host: m}}, 1
	case "progress":
		if js := h.Jobs[ref]; js != nil && js.Ended == "" {
			rec := ProgressRecord{Done: append([]byte(nil), js.Done.Bytes()...)}
			return []Write{{Key: "job/" + ref + "/progress", Value: rec, entry: entry, ver: js.ProgVer}}, 1
		}
	case "end":
		if js := h.Jobs[ref]; js != nil && js.Ended == "" {
			rec := EndRecord{Status: "done", Pieces: js.Pieces}
			return []Write{{Key: "job/" + ref + "/end", Value: rec, Create: true, entry: entry}}, 1
		}
	case "gone":
		return []Write{{Key: "job/" + ref + "/spec", entry: entry}, {Key: "job/" + ref + "/progress", entry: entry}}, 2
	}
	return nil, 0
}

// Committed takes note that the changes are durable.
func (h *Holder) Committed(ws []Write, now model.Micros) {
	for i := range ws {
		w := &ws[i]
		kind, ref, _ := strings.Cut(w.entry, "/")
		switch kind {
		case "host":
			if w.host != nil && w.host.DurableVer < w.ver {
				w.host.DurableVer = w.ver
				w.host.Stored = true
			}
		case "progress":
			if js := h.Jobs[ref]; js != nil {
				js.ProgStored = max(js.ProgStored, w.ver)
			}
		case "end":
			h.EndJob(ref, "done", now)
		}
	}
}

// Retry puts changes whose transaction failed, or got no answer, back to the
// head of the queue. Writing them again is harmless: every one is guarded by
// the version of the key that we last saw.
func (h *Holder) Retry(ws []Write) {
	var head []string
	for i := range ws {
		e := ws[i].entry
		if i > 0 && ws[i-1].entry == e {
			continue
		}
		if h.queued[e] {
			// It was changed again meanwhile: it moves to the front.
			for k, q := range h.queue {
				if q == e {
					h.queue = append(h.queue[:k:k], h.queue[k+1:]...)
					break
				}
			}
		}
		h.queued[e] = true
		head = append(head, e)
	}
	h.queue = append(head, h.queue...)
}
