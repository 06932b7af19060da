package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"rattantide/internal/engineclient"
	"rattantide/internal/standin/control"
)

// weightsTimeout limits the time to read a version from the weight store.
const weightsTimeout = 5 * time.Minute

func (e *Engine) serveOrderState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := e.orders
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, state)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engineclient.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&order); err != nil {
		control.WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	e.mu.Lock()
	entry := control.Entry{Event: "order", Key: order.ID, Fence: order.Fence, Version: order.Desired.Version, Role: order.Desired.Role}
	if e.config.CheckFence && order.Fence < e.maxFence {
		entry.Event, entry.Detail = "refuse", "stale_fence"
		e.log.Add(entry)
		e.mu.Unlock()
		control.WriteError(w, http.StatusConflict, "stale_fence", "an order with a newer fencing token was accepted")
		return
	}
	e.maxFence = max(e.maxFence, order.Fence)
	e.log.Add(entry)
	e.orders.Fence, e.orders.ID = order.Fence, order.ID
	if order.Desired.Role != "" {
		e.orders.Desired.Role, e.orders.Role = order.Desired.Role, order.Desired.Role
	}
	if want := order.Desired.Version; want != "" {
		isNewVersion := want != e.orders.Desired.Version && (want != e.orders.Version || e.orders.Loading)
		e.orders.Desired.Version = want
		if isNewVersion {
			e.orders.Loading = want != e.orders.Version
			e.wg.Add(1)
			go func() {
				defer e.wg.Done()
				e.loadVersion(want)
			}()
		}
	}
	state := e.orders
	e.mu.Unlock()
	loseAnswer := e.faults.Take(func(f *Faults) bool {
		if f.LoseOrderAnswers == 0 {
			return false
		}
		f.LoseOrderAnswers--
		return true
	})
	if loseAnswer {
		control.AbortConnection()
	}
	control.WriteJSON(w, http.StatusOK, state)
}

// loadVersion loads a model version and makes it the current one, unless another
// version has been ordered meanwhile. Running generations continue with the
// version that they started with.
func (e *Engine) loadVersion(version string) {
	if e.config.WeightsAddress != "" && !e.fetchWeights(version) {
		e.log.Add(control.Entry{Event: "load-failed", Version: version})
		e.mu.Lock()
		if e.orders.Desired.Version == version {
			// Clearing the desired version lets a repeated order start another
			// load.
			e.orders.Loading, e.orders.Desired.Version = false, ""
		}
		e.mu.Unlock()
		return
	}
	select {
	case <-e.closed:
		return
	case <-time.After(e.config.LoadTime):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.Desired.Version != version {
		return
	}
	e.orders.Version, e.orders.Loading = version, false
	e.recordLoadLocked(time.Now())
	e.log.Add(control.Entry{Event: "loaded", Version: version})
}

// fetchWeights reads a version from the weight store, discards the content and
// reports whether it was read completely.
func (e *Engine) fetchWeights(version string) bool {
	client := http.Client{Timeout: weightsTimeout}
	res, err := client.Get("http://" + e.config.WeightsAddress + "/v1/weights/" + version)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}
