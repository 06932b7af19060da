package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"

	"rattantide/internal/standin/platformstore"
)

// retainedBackups is the number of backups, one per round, from which a restore chooses.
const retainedBackups = 6

// restoreInjector brings the store back from backups. Its random numbers are independent of
// the embedded injector's, so the other faults of a seed do not depend on it.
type restoreInjector struct {
	*injector
	random  *rand.Rand
	backups []*platformstore.Backup
}

// inject makes a backup, and with a probability of 1/8 takes the store away for a moment and
// restores an older backup. The operator and the runners then write their objects again;
// what the daemons wrote stays lost.
func (r *restoreInjector) inject() {
	r.backups = append(r.backups, r.fleet.store.Backup())
	if len(r.backups) > retainedBackups {
		r.backups = r.backups[1:]
	}
	if r.random.IntN(8) > 0 {
		return
	}
	age := r.random.IntN(len(r.backups))
	backup := r.backups[len(r.backups)-1-age]
	r.log = append(r.log, fmt.Sprintf("store restored to %d rounds ago", age))
	r.fleet.store.SetFaults(platformstore.Faults{Status: http.StatusServiceUnavailable})
	r.scheduleEnd(r.randomDuration(300, 1500), func() {
		r.fleet.store.Restore(backup)
		r.fleet.writeRunners()
		r.fleet.rewriteConfig()
		r.fleet.store.SetFaults(platformstore.Faults{})
	})
}
