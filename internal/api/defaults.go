package api

import "time"

// DefaultDeadline is the Deadline of a Class that sets none.
const DefaultDeadline = Duration(60 * time.Second)

func setDefaults(spec any) {
	switch s := spec.(type) {
	case *Class:
		if s.Completeness == 0 {
			s.Completeness = DefaultCompleteness
		}
		if s.Target.Within == 0 {
			s.Target.Within = DefaultWithin
		}
		if s.Deadline == 0 {
			s.Deadline = DefaultDeadline
		}
	case *Pool:
		if s.Fencing == "" {
			s.Fencing = FencingIgnored
		}
	}
}
