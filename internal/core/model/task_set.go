package model

// TaskSet is a set of task indexes, stored as a bitmap: 100,000 of them still fit into one
// value of the state service.
type TaskSet struct {
	bits  []byte // bit index%8 of byte index/8 is set if index is a member
	count int
}

// TaskSetFromBytes decodes the stored form.
func TaskSetFromBytes(bits []byte) TaskSet {
	s := TaskSet{bits: append([]byte(nil), bits...)}
	for _, b := range bits {
		for ; b != 0; b &= b - 1 {
			s.count++
		}
	}
	return s
}

// Merge adds the members of a stored form whose first bit represents the index from, which
// is a multiple of eight.
func (s *TaskSet) Merge(bits []byte, from int) {
	for i, b := range bits {
		for bit := 0; b != 0; b, bit = b>>1, bit+1 {
			if b&1 != 0 {
				s.Add(from + i*8 + bit)
			}
		}
	}
}

// Part returns the stored form of a part of the set: TasksPerPart indexes, beginning with
// part*TasksPerPart.
func (s *TaskSet) Part(part int) []byte {
	const size = TasksPerPart / 8
	return s.bits[min(part*size, len(s.bits)):min((part+1)*size, len(s.bits))]
}

// TasksPerPart is the number of tasks that one entry of finished tasks covers if a job is
// so large that a single entry would exceed the value size of the state service.
const TasksPerPart = 4096

// PartCount returns the number of such entries of a job.
func PartCount(tasks int) int { return (tasks + TasksPerPart - 1) / TasksPerPart }

// ValidTaskSet reports whether all members of a stored set are indexes of a job with the
// given number of tasks.
func ValidTaskSet(bits []byte, tasks int) bool {
	for i, b := range bits {
		for bit := range 8 {
			if b&(1<<bit) != 0 && i*8+bit >= tasks {
				return false
			}
		}
	}
	return true
}

// Bytes returns the stored form.
func (s *TaskSet) Bytes() []byte { return s.bits }

// Len returns the number of members.
func (s *TaskSet) Len() int { return s.count }

// Has reports whether index is a member.
func (s *TaskSet) Has(index int) bool {
	return index/8 < len(s.bits) && s.bits[index/8]&(1<<(index%8)) != 0
}

// Add adds index to the set, and reports whether it was not a member before.
func (s *TaskSet) Add(index int) bool {
	if s.Has(index) {
		return false
	}
	for index/8 >= len(s.bits) {
		s.bits = append(s.bits, 0)
	}
	s.bits[index/8] |= 1 << (index % 8)
	s.count++
	return true
}
