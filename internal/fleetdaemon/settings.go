package fleetdaemon

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"rattantide/platform"
)

// settingsEvery is how often the settings file is read: it may change without a
// signal.
const settingsEvery = 5 * time.Second

// followSettings takes over changes of the settings file until ctx ends.
func (d *Daemon) followSettings(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	current := d.settings
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			signaled = true
		case <-ticker.C:
		}
		next, err := platform.LoadSettings()
		if err != nil {
			d.logger.Error("settings are not valid; the previous ones stay in effect", "error", err)
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

// applySettings takes over what may change while the process runs.
func (d *Daemon) applySettings(next *platform.Settings) {
	d.bounds.Store(&next.Bound)
	d.addSeeds(next.Seeds)
	s := d.settings
	restart := next.IP != s.IP || next.CallerAddress != s.CallerAddress || next.DirectoryAddress != s.DirectoryAddress ||
		next.Store != s.Store || next.Cloud != s.Cloud
	d.logger.Info("settings reloaded", "changed", true, "needsRestart", restart, "seeds", next.Seeds)
}
