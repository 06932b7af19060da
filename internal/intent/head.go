package intent

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/objectclient"
)

// head is one version of a shard's object. It is immutable once it has been
// stored or read.
type head struct {
	// version is 0 when the object does not exist yet.
	version  objectclient.Revision
	segments []segmentRef
	entries  map[Key]*entry
	// withdrawn holds the nonces of withdrawn intents that another daemon may
	// still try to commit. The values are their expiry times, in Unix
	// milliseconds of the store's clock.
	withdrawn map[string]int64
	// pending is the number of calls in progress.
	pending int
}

func emptyHead() *head {
	return &head{entries: map[Key]*entry{}, withdrawn: map[string]int64{}}
}

func decodeHead(o *objectclient.Object) (*head, error) {
	var value headValue
	if err := json.Unmarshal(o.Value, &value); err != nil {
		return nil, errors.Annotatef(err, "%s/%s", o.Kind, o.Name)
	}
	h := &head{version: o.Version, segments: value.Segments, entries: make(map[Key]*entry, len(value.Entries)), withdrawn: value.Withdrawn}
	if h.withdrawn == nil {
		h.withdrawn = map[string]int64{}
	}
	for _, raw := range value.Entries {
		e := &entry{}
		if err := json.Unmarshal(raw, e); err != nil {
			return nil, errors.Annotatef(err, "%s/%s", o.Kind, o.Name)
		}
		e.encoded = raw
		h.entries[e.Key] = e
		if e.Outcome == nil {
			h.pending++
		}
	}
	return h, nil
}

// addLost adds the entries of an earlier head that h lacks, and the outcomes of those that h
// has without one. It reports whether there were any.
func (h *head) addLost(earlier *head) bool {
	changed := false
	for key, e := range earlier.entries {
		current := h.entries[key]
		switch {
		case current == nil:
			if e.Outcome == nil {
				h.pending++
			}
		case current.Nonce == e.Nonce && current.Outcome == nil && e.Outcome != nil:
			h.pending--
		default:
			continue
		}
		h.entries[key] = e
		changed = true
	}
	return changed
}

// encode returns the stored form with writeID as its write identifier. The
// order of entries is fixed, so that equal heads are sealed into equal
// segments.
func (h *head) encode(writeID string) (json.RawMessage, error) {
	value := headValue{
		WriteID: writeID, Segments: h.segments, Withdrawn: h.withdrawn, Entries: make([]json.RawMessage, 0, len(h.entries)),
	}
	for _, e := range h.ordered() {
		value.Entries = append(value.Entries, e.encode())
	}
	return json.Marshal(value)
}

// ordered returns the entries ordered by begin time and then by nonce.
func (h *head) ordered() []*entry {
	return slices.SortedFunc(maps.Values(h.entries), func(a, b *entry) int {
		if a.BegunMs != b.BegunMs {
			return int(a.BegunMs - b.BegunMs)
		}
		return bytes.Compare([]byte(a.Nonce), []byte(b.Nonce))
	})
}

// clone returns a modifiable copy of the head.
func (h *head) clone() *head {
	return &head{
		version: h.version, segments: slices.Clone(h.segments), entries: maps.Clone(h.entries),
		withdrawn: maps.Clone(h.withdrawn), pending: h.pending,
	}
}

// set adds or replaces an entry and updates the pending count.
func (h *head) set(e *entry) {
	if old := h.entries[e.Key]; old != nil && old.Outcome == nil {
		h.pending--
	}
	if e.Outcome == nil {
		h.pending++
	}
	h.entries[e.Key] = e
}

// references reports whether the head references a segment.
func (h *head) references(name string) bool {
	return slices.ContainsFunc(h.segments, func(s segmentRef) bool { return s.Name == name })
}

// expire records calls that have been in progress for longer than
// pendingTimeout as unknown, and removes entries and segments older than the
// retention and withdrawn nonces that have expired. It returns the removed
// segments.
func (h *head) expire(now time.Time, retention, pendingTimeout time.Duration) []segmentRef {
	oldest := now.Add(-retention).UnixMilli()
	for key, e := range h.entries {
		switch {
		case e.Outcome == nil && e.BegunMs < now.Add(-pendingTimeout).UnixMilli():
			h.set(e.withOutcome(Outcome{Execution: ExecutionUnknown}, now))
		case e.Outcome != nil && e.EndedMs < oldest:
			delete(h.entries, key)
		}
	}
	maps.DeleteFunc(h.withdrawn, func(_ string, expiresMs int64) bool { return expiresMs < now.UnixMilli() })
	var dropped []segmentRef
	h.segments = slices.DeleteFunc(h.segments, func(s segmentRef) bool {
		if s.UntilMs >= oldest {
			return false
		}
		dropped = append(dropped, s)
		return true
	})
	return dropped
}

// minSegmentBytes and refBytes determine the size of finished entries at which a
// segment is sealed. Every write includes the whole head, so writes are smallest
// when finished entries and segment references take about the same space: with
// few references, segments should be small. refBytes is the assumed size of a
// reference.
const (
	minSegmentBytes = 16 << 10
	refBytes        = 48
)

// segmentBytes returns the size of finished entries at which a segment is
// sealed, at most limit.
func (h *head) segmentBytes(limit int) int {
	return min(max(minSegmentBytes, 2*refBytes*len(h.segments)), limit)
}

// seal returns the oldest finished entries of the head, up to limit bytes, and
// the reference of the segment for them. It returns nil when the finished
// entries do not fill a segment. The result depends only on the head, so two
// writers that seal the same version write equal segments under equal names.
func (h *head) seal(shard int, limit int) (*segmentRef, []*entry) {
	limit = h.segmentBytes(limit)
	total := 0
	for _, e := range h.entries {
		if e.Outcome != nil {
			total += len(e.encode())
		}
	}
	if total < limit {
		return nil, nil
	}
	var sealed []*entry
	size := 0
	for _, e := range h.ordered() {
		if e.Outcome == nil {
			continue
		}
		if size+len(e.encode()) > limit && len(sealed) > 0 {
			break
		}
		size += len(e.encode())
		sealed = append(sealed, e)
	}
	ref := &segmentRef{Name: strconv.Itoa(shard) + "." + strconv.FormatInt(int64(h.version), 10)}
	for _, e := range sealed {
		ref.UntilMs = max(ref.UntilMs, e.EndedMs)
	}
	return ref, sealed
}
