package jsoncodec_test

import (
	"slices"
	"testing"

	"github.com/go-json-experiment/json/jsontext"

	"woadweir/internal/jsoncodec"
)

func TestEachField(t *testing.T) {
	var got []string
	err := jsoncodec.EachField([]byte(` {"a":{"b":1},"A":[2, 3],"a":null,"\u0061":"x"} `), func(name string, value jsontext.Value) {
		got = append(got, name+"="+value.String())
	})
	if want := []string{`a={"b":1}`, `A=[2, 3]`, `a=null`, `a="x"`}; err != nil || !slices.Equal(got, want) {
		t.Errorf("got %q, error %v, want %q", got, err, want)
	}
	for _, invalid := range []string{``, `null`, `[]`, `"a"`, `{`, `{"a"}`, `{"a":}`, `{"a":1,}`, `{"a":1`, `{} {}`, `{"a":1}x`, `{a:1}`} {
		if err := jsoncodec.EachField([]byte(invalid), func(string, jsontext.Value) {}); err == nil {
			t.Errorf("%q is accepted", invalid)
		}
	}
}
