package spill

import (
	"strings"
	"testing"

	"woadweir/internal/core/model"
)

// An invalid spill settings file is rejected with the name of the field and the reason.
func TestInvalidSettings(t *testing.T) {
	const neighbour = `<neighbour cell="south"><controller>10.0.0.1:9</controller></neighbour>`
	for _, c := range []struct{ file, wantPrefix string }{
		{`<spill cell="north">` + neighbour + `</spill>`, ""},
		{`<spill cell="north">`, "spill: "},
		{`<spill/>`, "cell: missing"},
		{`<spill cell="The North"/>`, `cell: "The North" is not made of`},
		{`<spill cell="north">` + neighbour + neighbour + `</spill>`, "neighbour south: named twice"},
		{`<spill cell="south">` + neighbour + `</spill>`, "neighbour south: a cell can't be its own neighbour"},
		{`<spill cell="north"><neighbour cell="south"/></spill>`, "neighbour south: no controller is given"},
		{`<spill cell="north"><neighbour cell="south"><controller>somewhere</controller></neighbour></spill>`, `neighbour south: controller: "somewhere"`},
		{`<spill cell="north"><neighbour cell="south"><port>1</port></neighbour></spill>`, "neighbour south: unknown element port"},
		{`<spill cell="north"><wait>3</wait></spill>`, "wait: unknown element"},
		{`<spill cell="north"><wait-s>3</wait-s><wait-s>4</wait-s></spill>`, "wait-s: given twice"},
		{`<spill cell="north"><stay-s>0</stay-s></spill>`, "stay-s: 0 is not between 1 and 3600"},
		{`<spill cell="north"><start-s>NaN</start-s></spill>`, "start-s: NaN is not between"},
		{`<spill cell="north"><most-lent>0</most-lent></spill>`, "most-lent: 0 is not between"},
		{`<spill cell="north"><lease-s>2</lease-s></spill>`, "lease-s: 2 is not between 3"},
		{`<spill cell="north"><lease-s>18</lease-s></spill>`, "lease-s: an execution lease of 18 s"},
	} {
		_, err := ParseSettings([]byte(c.file), 18*model.Second, 38*model.Second)
		switch {
		case c.wantPrefix == "" && err != nil:
			t.Errorf("%s: error %v, want none", c.file, err)
		case c.wantPrefix != "" && (err == nil || !strings.HasPrefix(err.Error(), c.wantPrefix)):
			t.Errorf("%s: error %v, want one that starts with %q", c.file, err, c.wantPrefix)
		}
	}
}

// A neighbour that keeps failing gets offers less and less often, within the retry budget, and a
// neighbour that answers slowly gets fewer.
func TestOfferPacerBacksOff(t *testing.T) {
	pacer, now, offers := OfferPacer{}, model.Micros(0), 0
	for ; now < 600*model.Second; now += model.Second / 10 {
		if pacer.Ready(now) {
			offers++
			pacer.RecordFailure(0, 0.5, now)
		}
	}
	if offers < 15 || offers > 30 {
		t.Errorf("%d offers in 600 s of failures, want 15 to 30", offers)
	}
	pacer.RecordSuccess(0, now)
	if now += maxBackoff + maxBackoff/2; !pacer.Ready(now) {
		t.Error("no offer allowed after a successful answer and the longest pause")
	}
	pacer.RecordSuccess(3*model.Second, now)
	if pacer.Ready(now + model.Second) {
		t.Error("offer allowed 1 s after an answer that took 3 s")
	}
}
