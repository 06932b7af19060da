package server

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"rattantide/internal/problem"
)

// bodyStep is how much memory is charged at a time for a body of unknown length.
const bodyStep = 64 << 10

// readBody reads a caller's body into memory that is charged to the journal's
// limit. release gives the memory back.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), p *problem.Problem) {
	limit := s.options.MaxBodyBytes
	if r.ContentLength > limit {
		return nil, nil, tooLarge()
	}
	held := int64(0)
	release = func() { s.options.Journal.Release(held) }
	var buffer bytes.Buffer
	if r.ContentLength >= 0 {
		if !s.options.Journal.Reserve(r.ContentLength) {
			return nil, nil, memoryInUse()
		}
		held = r.ContentLength
		// The spare bytes.MinRead saves the copy to a larger buffer at the end.
		buffer.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	from := http.MaxBytesReader(w, r.Body, limit)
	for {
		step := int64(bodyStep)
		if r.ContentLength >= 0 {
			step = r.ContentLength + 1
		} else if !s.options.Journal.Reserve(step) {
			release()
			return nil, nil, memoryInUse()
		} else {
			held += step
		}
		_, err := io.CopyN(&buffer, from, step)
		var large *http.MaxBytesError
		switch {
		case errors.Is(err, io.EOF):
			return buffer.Bytes(), release, nil
		case errors.As(err, &large):
			release()
			return nil, nil, tooLarge()
		case err != nil:
			release()
			return nil, nil, problem.NotRun(http.StatusBadRequest, problem.CodeBadRequest, "the body could not be read")
		}
	}
}

func memoryInUse() *problem.Problem {
	return problem.NotRun(http.StatusServiceUnavailable, problem.CodeOverloaded,
		"the memory for requests is in use").WithRetryAfter(retryAfterFull)
}

func tooLarge() *problem.Problem {
	return problem.NotRun(http.StatusRequestEntityTooLarge, problem.CodeTooLarge, "the body is too large")
}
