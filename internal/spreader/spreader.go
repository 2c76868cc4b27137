package spreader

import "chestnutmux.example/chestnutmux/pkg/model"

// minMembers is the number of members on one worker up to which the rate of its start requests is not what delays a gang.
const minMembers = 16

// Spread is what is learned from the attempts of a gang. The zero value sets no limit.
type Spread struct {
	limit   int             // most members on one worker; 0 means no limit
	attempt model.RunNumber // last attempt that has counted
}

// Widen notes that a member of an attempt has given up waiting for the others, while some worker had the given number of members. Each attempt
// counts once: the next one has half as many on a worker.
func (s *Spread) Widen(attempt model.RunNumber, members int) {
	if attempt == s.attempt || members <= minMembers {
		return
	}
	s.attempt = attempt
	s.limit = (members + 1) / 2
}

// Limit returns the most members that may start on one worker, given the limit that the caller of the job has set; 0 means no limit.
func (s *Spread) Limit(set int) int {
	if s.limit == 0 || set > 0 && set < s.limit {
		return set
	}
	return s.limit
}

// Fullest returns the largest number of tasks that have the same worker. Those without a worker, whose key is the zero value, don't count.
func Fullest[T any, W comparable](tasks []T, workerOf func(T) W) int {
	var none W
	most, members := 0, map[W]int{}
	for _, t := range tasks {
		if w := workerOf(t); w != none {
			members[w]++
			most = max(most, members[w])
		}
	}
	return most
}
