package workerapi

import (
	"fmt"
	"strings"
	"testing"
)

// Measures how long it takes to decode the heartbeat of a machine with as many tasks as named.
func BenchmarkParseHeartbeat(b *testing.B) {
	for _, tasks := range []int{0, 8, 48} {
		body := heartbeatBody(tasks)
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(body)))
			for b.Loop() {
				if _, err := ParseHeartbeat(body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// heartbeatBody returns the body of a heartbeat with the given number of running tasks.
func heartbeatBody(tasks int) []byte {
	pieces := make([]string, tasks)
	for i := range pieces {
		pieces[i] = fmt.Sprintf(`{"piece":"j-%06d/%d","try":%d,"status":"running"}`, 412+i/4, i, 4194305+i)
	}
	return fmt.Appendf(nil, `{"host":"host-000231","address":"10.1.0.232:9000","build":"g8","yard":"a","loaners":true,`+
		`"tenure":1,"tally":88,"warrant":41,"recallS":null,"pieces":[%s]}`, strings.Join(pieces, ","))
}
