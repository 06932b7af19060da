package fleetdaemon

import (
	"context"
	"reflect"
	"time"

	"rattantide/platform"
)

// settingsPollInterval is the interval at which the settings file is read, as it may
// change without a signal.
const settingsPollInterval = 5 * time.Second

// followSettings applies changes of the settings file until ctx ends. A signal from reloads
// makes it read the file at once.
func (d *Daemon) followSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	current := d.settings
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return nil
		case <-d.reloads:
			signaled = true
		case <-ticker.C:
		}
		next, err := platform.LoadSettings()
		if err != nil {
			d.logger.Error("invalid settings; the previous ones stay in effect", "error", err)
			continue
		}
		if reflect.DeepEqual(next, current) {
			if signaled {
				d.logger.Info("settings reloaded", "changed", false)
			}
			continue
		}
		d.applySettings(next)
		current = next
	}
}

// applySettings applies the bounds and the seeds, which may change while the process
// runs. It logs whether a changed address, or changed settings of the store or the cloud
// API, need a restart.
func (d *Daemon) applySettings(next *platform.Settings) {
	d.bounds.Store(&next.Bounds)
	d.addSeeds(next.Seeds)
	s := d.settings
	needsRestart := next.IP != s.IP || next.CallerAddress != s.CallerAddress || next.DirectoryAddress != s.DirectoryAddress ||
		next.Store != s.Store || next.Cloud != s.Cloud
	d.logger.Info("settings reloaded", "changed", true, "needsRestart", needsRestart, "seeds", next.Seeds)
}
