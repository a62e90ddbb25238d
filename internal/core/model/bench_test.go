package model

import "testing"

// Measures how long it takes to decode and check a submission.
func BenchmarkParseSubmission(b *testing.B) {
	body := []byte(submissionBody)
	b.ReportAllocs()
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if _, _, err := ParseSubmission(body); err != nil {
			b.Fatal(err)
		}
	}
}
