package journal

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newRecord(t assert.TestingT, j *Journal, id string) *Record {
	rec, err := j.Create(Request{ID: id, Deadline: time.Now().Add(time.Minute)})
	assert.NilError(t, err)
	return rec
}

// TestAppendOrder guards against answers with events of superseded attempts,
// repeated events or gaps.
func TestAppendOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rec := newRecord(t, New(Options{}), "r")
		attempt, last := 0, int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if attempt == 0 || rapid.IntRange(0, 9).Draw(t, "begin") == 0 {
				attempt = rec.BeginAttempt("u", "a", "v")
			}
			from := rapid.IntRange(max(1, attempt-1), attempt).Draw(t, "attempt")
			number := rapid.Int64Range(max(1, last-1), last+3).Draw(t, "number")
			err := rec.Append(from, number, fmt.Appendf(nil, "%d\n\n-%d", from, number))
			switch {
			case from != attempt:
				assert.Assert(t, errors.Is(err, ErrStaleAttempt))
			case number <= last:
				assert.Assert(t, errors.Is(err, ErrDuplicateEvent))
			case number > last+1:
				assert.Assert(t, errors.Is(err, ErrGap))
			default:
				assert.NilError(t, err)
				last++
			}
		}
		copied, err := New(Options{}).Import(rec.Copy(true), 2)
		assert.NilError(t, err)
		assert.DeepEqual(t, copied.Events(), rec.Events())
		for i, data := range rec.Events() {
			assert.Assert(t, strings.HasSuffix(string(data), fmt.Sprintf("\n\n-%d", i+1)))
		}
	})
}

// TestReaders guards against readers that miss the event they wait for, or that
// read events in another order than they were written.
func TestReaders(t *testing.T) {
	const events = 2000
	j := New(Options{})
	defer j.Close()
	rec := newRecord(t, j, "r")
	attempt := rec.BeginAttempt("u", "a", "v")
	var group sync.WaitGroup
	for after := range int64(4) {
		group.Go(func() {
			reader := rec.NewReader(after * 100)
			defer reader.Close()
			var content strings.Builder
			for {
				frames, err := reader.Next(t.Context())
				if err != nil {
					assert.Check(t, errors.Is(err, io.EOF))
					break
				}
				content.Write(frames)
			}
			assert.Check(t, strings.Count(content.String(), "\n\n") == int(events-after*100))
			assert.Check(t, strings.HasPrefix(content.String(), fmt.Sprintf("id: %d\ndata: x\n\n", after*100+1)))
		})
	}
	for i := range int64(events) {
		assert.NilError(t, rec.Append(attempt, i+1, []byte("x")))
	}
	assert.Assert(t, rec.Finish(OutcomeDone, nil))
	group.Wait()
}

// TestLimits guards against a journal that grows without bound, and against
// finished records that prevent new ones from being added.
func TestLimits(t *testing.T) {
	j := New(Options{MaxBytes: 64 << 10, MaxRecordBytes: 8 << 10})
	defer j.Close()
	for i := range 200 {
		rec := newRecord(t, j, fmt.Sprint(i))
		attempt := rec.BeginAttempt("u", "a", "v")
		assert.NilError(t, rec.Append(attempt, 1, make([]byte, 4<<10)))
		assert.Assert(t, errors.Is(rec.Append(attempt, 2, make([]byte, 8<<10)), ErrTooLarge))
		rec.Finish(OutcomeDone, nil)
		assert.Assert(t, j.ChargedBytes() <= 64<<10)
	}
	_, err := j.Create(Request{ID: "big", Body: make([]byte, 64<<10)})
	assert.Assert(t, errors.Is(err, ErrTooLarge))
	assert.Equal(t, j.ChargedBytes(), int64(0), "all finished records must be evicted")
}

// TestRetention guards against a finished record that is removed before its
// caller can reconnect, or never.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := New(Options{Retention: time.Minute})
		defer j.Close()
		for i := range 3 {
			newRecord(t, j, fmt.Sprint(i)).Finish(OutcomeDone, nil)
			time.Sleep(20 * time.Second)
		}
		synctest.Wait()
		assert.Assert(t, j.Get("0") == nil)
		assert.Assert(t, j.Get("1") != nil)
		// A delivered answer is removed before earlier undelivered ones.
		delivered := newRecord(t, j, "late")
		delivered.Finish(OutcomeDone, nil)
		delivered.MarkDelivered()
		time.Sleep(11 * time.Second)
		synctest.Wait()
		assert.Assert(t, j.Get("late") == nil && j.Get("2") != nil)
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, j.ChargedBytes(), int64(0))
	})
}

// TestMovedRecordReturnsNoEvents guards against a former holder that returns
// events it still has.
func TestMovedRecordReturnsNoEvents(t *testing.T) {
	j := New(Options{})
	defer j.Close()
	rec := newRecord(t, j, "r")
	attempt := rec.BeginAttempt("u", "a", "v")
	assert.NilError(t, rec.Append(attempt, 1, []byte("x")))
	rec.Finish(OutcomeDone, nil)
	reader := rec.NewReader(0)
	defer reader.Close()
	assert.Assert(t, !rec.MarkMoved(1, "same epoch"))
	assert.Assert(t, rec.MarkMoved(2, "other:1"))
	_, err := reader.Next(context.Background())
	assert.Assert(t, errors.Is(err, ErrMoved))
	assert.Assert(t, errors.Is(rec.Append(attempt, 2, []byte("x")), ErrEnded))
	_, err = j.Import(rec.Copy(true), 3)
	assert.NilError(t, err, "a moved record may be imported again under a higher epoch")
}

// BenchmarkAppend measures one event from Append to a reader, with one record
// per goroutine.
func BenchmarkAppend(b *testing.B) {
	j := New(Options{MaxBytes: 1 << 40, MaxRecordBytes: 1 << 40})
	defer j.Close()
	data := []byte(`{"id":"chatcmpl-1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":" word"},"finish_reason":null}]}`)
	next := 0
	var mu sync.Mutex
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		var rec *Record
		var reader *Reader
		attempt, number := 0, int64(200)
		for pb.Next() {
			if number == 200 {
				if rec != nil {
					rec.Finish(OutcomeDone, nil)
					j.Remove(rec)
				}
				mu.Lock()
				next++
				id := fmt.Sprint(next)
				mu.Unlock()
				rec, _ = j.Create(Request{ID: id})
				reader, attempt, number = rec.NewReader(0), rec.BeginAttempt("u", "a", "v"), 0
			}
			number++
			_ = rec.Append(attempt, number, data)
			_, _ = reader.Next(context.Background())
		}
	})
}
