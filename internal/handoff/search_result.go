package handoff

// searchResult combines the placements of a record that several daemons report.
type searchResult struct {
	// Placement is the best reported placement: the one with the highest epoch,
	// and at that epoch the holder's.
	Placement
	// backup is the daemon with the copy at the highest epoch; its name is
	// empty when no daemon that answered has a copy.
	backup      Address
	backupEpoch int64
}

func (s *searchResult) add(from Address, p Placement) {
	if p.Role == RoleNone {
		return
	}
	if p.Epoch > s.Epoch || p.Epoch == s.Epoch && p.Role == RoleHolder {
		s.Placement = p
	}
	if p.Role == RoleBackup && p.Epoch > s.backupEpoch {
		s.backup, s.backupEpoch = from, p.Epoch
	}
}
