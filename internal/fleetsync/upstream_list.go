package fleetsync

import (
	"time"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
)

// applyList replaces the entries by those of a list that was requested at sentAt.
// After an outage or a restore of the store, live entries that are absent from the list are
// retained for absentRetention. Entries that a restored store has from its copy do not undo
// what was known before.
func (u *UpstreamSync) applyList(list *objectclient.ObjectList, sentAt time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.opts.Now()
	isRestored := !u.confirmedAt.IsZero() && list.Revision.Era() > u.revision.Era()
	if isRestored {
		u.departed.setCopy(list.Revision)
		u.opts.Logger.Info("the store of the upstreams was restored", "era", list.Revision.Era(), "revision", list.Revision.Number())
	}
	entries := u.decodeList(list, now)
	isOutage := isRestored || !u.confirmedAt.IsZero() && now.Sub(u.confirmedAt) > outageThreshold
	for name, before := range u.entries {
		if _, ok := entries[name]; ok {
			delete(u.retainedUntil, name)
			continue
		}
		if _, retained := u.retainedUntil[name]; !retained && isOutage && before.State == membership.StateLive {
			u.retainedUntil[name] = now.Add(absentRetention)
		}
		if until, retained := u.retainedUntil[name]; retained && now.Before(until) {
			entries[name] = before
			continue
		}
		u.departed.add(name, now)
	}
	u.entries, u.revision, u.isComplete, u.confirmedAt, u.feedConfirmedAt = entries, list.Revision, true, sentAt, sentAt
	u.changeLog, u.changeLogStart = nil, list.Revision
	u.publish()
}

// decodeList returns the upstreams of a list by name, without those that only a copy of the
// store still has. u.mu must be held.
func (u *UpstreamSync) decodeList(list *objectclient.ObjectList, now time.Time) map[string]membership.Instance {
	entries := make(map[string]membership.Instance, len(list.Items))
	for i := range list.Items {
		o := &list.Items[i]
		instance, ok := u.decode(o)
		if !ok {
			continue
		}
		if u.departed.isCopied(o.Version) {
			if u.departed.includes(o.Name, now) {
				continue
			}
			if before, known := u.entries[o.Name]; known && before.State == membership.StateLeaving {
				instance.State = membership.StateLeaving
			}
		}
		entries[o.Name] = instance
	}
	return entries
}

func (u *UpstreamSync) decode(o *objectclient.Object) (membership.Instance, bool) {
	instance, err := u.opts.Decode(o)
	if err != nil {
		u.opts.Scope.Counter("upstream_bad_entries").Inc(1)
		u.opts.Logger.Warn("invalid upstream entry ignored", "entry", o.Name, "revision", o.Version, "error", err)
		return instance, false
	}
	return instance, true
}
