package orders

import "time"

const (
	// idleFor is how long an engine must have been out of place and idle before
	// it is ordered to load: a changed configuration takes effect on all
	// daemons within 3 s, and until then some may still send it work.
	idleFor = 3 * time.Second
	// observeTimeout bounds a call that only reads from an engine.
	observeTimeout = time.Second
	// orderTimeout bounds the call that sends an order.
	orderTimeout = 2 * time.Second
	// sendWindow is the longest time from just before the intent is written to
	// the start of the call. A holder that was paused longer does not send.
	sendWindow = 2 * time.Second
	// arrivalMargin covers bytes that the network or the engine still holds
	// when the call was given up, and the error of the store's time, which is at
	// most the duration of a call.
	arrivalMargin = 6 * time.Second
	// orderFlight is the longest time, in the store's time from the intent, in
	// which an order can still reach an engine.
	orderFlight = sendWindow + orderTimeout + arrivalMargin
	// retryInitial and retryMax bound the time between two orders to one engine.
	retryInitial = time.Second
	retryMax     = time.Minute
	// reportMaxAge is the age above which the controller asks for a load report
	// itself. A daemon polls only its subset of the upstreams.
	reportMaxAge = 5 * time.Second
	// pollsPerPass bounds those calls: 8 reports of 420 bytes a second are a
	// quarter of what a daemon may spend on the control plane.
	pollsPerPass = 8
	// observedPerLoad is how many candidates are observed for each engine that
	// may load at a time, as some are already loading or no longer idle.
	observedPerLoad = 4
	// maxParallel bounds the calls to engines that are open at once.
	maxParallel = 16
	// intentRetention is how long the intent of an upstream that is gone is kept.
	intentRetention = time.Hour
)
