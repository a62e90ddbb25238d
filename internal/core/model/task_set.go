package model

// TaskSet is a set of task numbers, kept compactly: 100,000 of them still fit into
// one value of the state service.
type TaskSet struct {
	bits []byte
	n    int
}

// TaskSetFromBytes reads the stored form.
func TaskSetFromBytes(bits []byte) TaskSet {
	s := TaskSet{bits: append([]byte(nil), bits...)}
	for _, b := range bits {
		for ; b != 0; b &= b - 1 {
			s.n++
		}
	}
	return s
}

// Merge adds the members of a stored form whose first bit is number from, a
// multiple of eight.
func (s *TaskSet) Merge(bits []byte, from int) {
	for i, b := range bits {
		for k := 0; b != 0; b, k = b>>1, k+1 {
			if b&1 != 0 {
				s.Add(from + i*8 + k)
			}
		}
	}
}

// Part is the stored form of the members from k*TasksPerPart on, as many.
func (s *TaskSet) Part(k int) []byte {
	const size = TasksPerPart / 8
	return s.bits[min(k*size, len(s.bits)):min((k+1)*size, len(s.bits))]
}

// TasksPerPart is how many tasks of a large job one entry of finished tasks covers,
// where the whole would be too large for a value of the state service.
const TasksPerPart = 4096

// PartCount is the number of such entries.
func PartCount(tasks int) int { return (tasks + TasksPerPart - 1) / TasksPerPart }

// ValidTaskSet tells whether the stored form of a set has no member beyond so many tasks.
func ValidTaskSet(bits []byte, tasks int) bool {
	for i, b := range bits {
		for k := range 8 {
			if b&(1<<k) != 0 && i*8+k >= tasks {
				return false
			}
		}
	}
	return true
}

// Bytes is the stored form.
func (s *TaskSet) Bytes() []byte { return s.bits }

// Len is the number of members.
func (s *TaskSet) Len() int { return s.n }

// Has tells whether i is a member.
func (s *TaskSet) Has(i int) bool { return i/8 < len(s.bits) && s.bits[i/8]&(1<<(i%8)) != 0 }

// Add makes i a member and tells whether it was none before.
func (s *TaskSet) Add(i int) bool {
	if s.Has(i) {
		return false
	}
	for i/8 >= len(s.bits) {
		s.bits = append(s.bits, 0)
	}
	s.bits[i/8] |= 1 << (i % 8)
	s.n++
	return true
}
