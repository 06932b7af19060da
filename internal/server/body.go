package server

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"rattantide/internal/problem"
)

// bodyReserveStep is how many bytes are reserved at a time for a body of unknown
// length.
const bodyReserveStep = 64 << 10

// readBody reads a caller's body into memory that is reserved from the journal's
// limit. The caller of readBody must call release when it no longer uses the
// body, unless a problem is returned.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), p *problem.Problem) {
	limit := s.options.MaxBodyBytes
	if r.ContentLength > limit {
		return nil, nil, bodyTooLargeProblem()
	}
	reserved := int64(0)
	release = func() { s.options.Journal.Release(reserved) }
	var buffer bytes.Buffer
	if r.ContentLength >= 0 {
		if !s.options.Journal.Reserve(r.ContentLength) {
			return nil, nil, memoryExhaustedProblem()
		}
		reserved = r.ContentLength
		// ReadFrom needs bytes.MinRead spare bytes at the end of the body; without
		// them it would copy the body to a larger buffer.
		buffer.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	limited := http.MaxBytesReader(w, r.Body, limit)
	for {
		step := int64(bodyReserveStep)
		if r.ContentLength >= 0 {
			step = r.ContentLength + 1
		} else if !s.options.Journal.Reserve(step) {
			release()
			return nil, nil, memoryExhaustedProblem()
		} else {
			reserved += step
		}
		_, err := io.CopyN(&buffer, limited, step)
		var large *http.MaxBytesError
		switch {
		case errors.Is(err, io.EOF):
			return buffer.Bytes(), release, nil
		case errors.As(err, &large):
			release()
			return nil, nil, bodyTooLargeProblem()
		case err != nil:
			release()
			return nil, nil, problem.NewNotRun(http.StatusBadRequest, problem.CodeBadRequest, "the body could not be read")
		}
	}
}

func memoryExhaustedProblem() *problem.Problem {
	return problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeOverloaded,
		"the memory for requests is in use").WithRetryAfter(transientRetryAfter)
}

func bodyTooLargeProblem() *problem.Problem {
	return problem.NewNotRun(http.StatusRequestEntityTooLarge, problem.CodeTooLarge, "the body is too large")
}
