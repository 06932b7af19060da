package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	nextVersion = "v3"
	// reorderStagger is the time between the orders for two services.
	reorderStagger   = 200 * time.Millisecond
	reorderServices  = 10
	reorderRate      = 600
	reorderTimeLimit = 12 * time.Second
	// reorderDelay is the time from the state rolled_back until the operator orders the next
	// version, and reorderDrainDelay the time until the runners of the bad one report that
	// they drain.
	reorderDelay      = 500 * time.Millisecond
	reorderDrainDelay = 3 * time.Second
	rollbackWait      = 10 * time.Second
)

// exposureReorder lets the operator order the next version soon after a bad one was rolled
// back, while the runners of the bad one still serve, for several services, and checks the
// rule EXPOSURE for the bad versions.
func exposureReorder(r *run) (bool, error) {
	var routes []routeLoad
	for i := range reorderServices {
		name := fmt.Sprintf("booking-%d", i)
		routes = append(routes, routeLoad{path: "/" + name + "/", service: name, share: 1.0 / reorderServices})
		for n := range runnersPerVersion {
			if _, err := r.addRunner(name, fmt.Sprintf("i-old-%s-%d", name, n), oldVersion, nil); err != nil {
				return false, err
			}
		}
	}
	r.writeManifest(routes)
	if err := r.startDaemons(3, 3); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := r.startClients(ctx, reorderRate, routes)
	time.Sleep(warmUp)
	var orders sync.WaitGroup
	orderedAt := make([]time.Time, len(routes))
	errs := make([]error, len(routes))
	for i, route := range routes {
		orders.Go(func() {
			time.Sleep(time.Duration(i) * reorderStagger)
			orderedAt[i] = time.Now()
			errs[i] = r.playReorder(route.service)
		})
	}
	orders.Wait()
	cancel()
	load.open.Wait()
	load.logStatuses()
	broken := false
	for i, route := range routes {
		if errs[i] != nil {
			return false, errs[i]
		}
		if r.checkExposure(load, route.service, []string{oldVersion, nextVersion}, newVersion, orderedAt[i], reorderTimeLimit) {
			broken = true
		}
	}
	return broken, nil
}

// playReorder orders a bad version of a service and, after it was rolled back, a sound one.
func (r *run) playReorder(service string) error {
	orderedAt := time.Now()
	r.order(service, newVersion, reorderTimeLimit)
	var number atomic.Int64
	if err := r.startVersion(service, newVersion, func(string, int) bool { return everySecond(int(number.Add(1))) }); err != nil {
		return err
	}
	for r.rolloutState(service, newVersion) != "rolled_back" {
		if time.Since(orderedAt) > rollbackWait {
			return fmt.Errorf("version %s of %s was not rolled back within %s", newVersion, service, rollbackWait)
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.logf("version %s of %s is rolled back", newVersion, service)
	go r.drainVersion(service, newVersion, reorderDrainDelay)
	if r.trouble {
		time.Sleep(reorderDelay)
		r.order(service, nextVersion, reorderTimeLimit)
		if err := r.startVersion(service, nextVersion, nil); err != nil {
			return err
		}
	}
	isComplete := false
	for time.Since(orderedAt) < reorderTimeLimit {
		time.Sleep(20 * time.Millisecond)
		if !isComplete && r.rolloutState(service, nextVersion) == "complete" {
			isComplete = true
			r.logf("version %s of %s is complete", nextVersion, service)
			r.stopVersion(service, oldVersion)
		}
	}
	return nil
}

// startVersion starts the runners of an ordered version.
func (r *run) startVersion(service, version string, fails func(path string, number int) bool) error {
	time.Sleep(runnerDelay)
	for n := range runnersPerVersion {
		if _, err := r.addRunner(service, fmt.Sprintf("i-%s-%s-%d", version, service, n), version, fails); err != nil {
			return err
		}
	}
	return nil
}
