package handoff

// sighting sums up what several daemons know of a record.
type sighting struct {
	// Where is the best answer: the highest epoch, and within it the holder's.
	Where
	// backup has the copy with the highest epoch; its name is empty when no
	// daemon that answered has one.
	backup      Address
	backupEpoch int64
}

func (s *sighting) add(from Address, w Where) {
	if w.Role == RoleNone {
		return
	}
	if w.Epoch > s.Epoch || w.Epoch == s.Epoch && w.Role == RoleHolder {
		s.Where = w
	}
	if w.Role == RoleBackup && w.Epoch > s.backupEpoch {
		s.backup, s.backupEpoch = from, w.Epoch
	}
}
