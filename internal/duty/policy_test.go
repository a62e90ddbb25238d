package duty

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"woadweir/internal/core/model"
)

var threeNodes = []string{"c", "a", "b"}

// An invalid duties settings file is rejected with the name of the field and the reason.
func TestInvalidSettings(t *testing.T) {
	for file, want := range map[string][2]string{
		`<duties`: {"duties", "XML"},
		`<duties><duty name="cooking"/></duties>`:                                             {"duty cooking", "unknown duty"},
		`<duties><duty name="reclaiming" place="spread"/></duties>`:                           {"duty reclaiming", "stays with the shard's holder"},
		`<duties><duty name="renting" place="moon"/></duties>`:                                {"duty renting", "unknown place"},
		`<duties><duty name="renting" place="listed"/></duties>`:                              {"duty renting", "without a preferred controller"},
		`<duties><duty name="renting"><prefer>d</prefer></duty></duties>`:                     {"duty renting", `unknown controller "d"`},
		`<duties><duty name="renting"><prefer>a</prefer><prefer> a </prefer></duty></duties>`: {"duty renting", "twice"},
		`<duties><duty name="renting" place="spread"><prefer>a</prefer></duty></duties>`:      {"duty renting", "names no controllers"},
		`<duties><duty name="renting"/><duty name="renting"/></duties>`:                       {"duty renting", "named twice"},
		`<duties><settle-s>0</settle-s></duties>`:                                             {"settle-s", "not between"},
		`<duties><cooldown-s>NaN</cooldown-s></duties>`:                                       {"cooldown-s", "not between"},
		`<duties><lease-s>1</lease-s></duties>`:                                               {"lease-s", "shorter than is useful"},
		`<duties><lease-s>-4</lease-s></duties>`:                                              {"lease-s", "shorter than is useful"},
		`<duties><lease-s>11</lease-s></duties>`:                                              {"lease-s", "longer than is safe"},
	} {
		_, err := ParseSettings([]byte(file), threeNodes, 10*model.Second)
		var fieldError *FieldError
		if !errors.As(err, &fieldError) || fieldError.Field != want[0] || !strings.Contains(fieldError.Reason, want[1]) {
			t.Errorf("%s: got error %v, want field %q and a reason with %q", file, err, want[0], want[1])
		}
	}
}

// The order of candidates follows the place of the duty. The leader comes last unless it is
// preferred, and spread duties start with different controllers.
func TestOrder(t *testing.T) {
	policy, err := ParseSettings([]byte(`<duties><duty name="renting" place="spread"/><duty name="returning" place="spread"/>
		<duty name="cleanup"><prefer>b</prefer></duty><lease-s>4</lease-s></duties>`), threeNodes, 10*model.Second)
	if err != nil || policy.Lease != 4*model.Second {
		t.Fatalf("got policy %+v, error %v; want a lease of 4 s", policy, err)
	}
	for name, want := range map[Name][]string{Renting: {"b", "c", "a"}, Returning: {"c", "b", "a"}, Cleanup: {"b", "c", "a"}} {
		if got := policy.Order(name, threeNodes, "a"); !slices.Equal(got, want) {
			t.Errorf("%s: got order %v, want %v", name, got, want)
		}
	}
	if got := LeaderOnly().Order(Renting, threeNodes, "b"); got[0] != "b" {
		t.Errorf("leader-only policy: got order %v, want b first", got)
	}
	if got := policy.Order(Cleanup, []string{"a"}, "a"); !slices.Equal(got, []string{"a"}) {
		t.Errorf("single candidate: got order %v, want a", got)
	}
}
