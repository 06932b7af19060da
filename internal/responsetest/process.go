package responsetest

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/proc"
)

const (
	// argumentEnv and addressFileEnv name the environment variables with which StartProcess
	// tells the test in the new process what to serve and where to write its address.
	argumentEnv    = "RATTANTIDE_TEST_ARGUMENT"
	addressFileEnv = "RATTANTIDE_TEST_ADDRESS_FILE"
	// processStartLimit bounds the start of a process.
	processStartLimit = 30 * time.Second
)

// StartProcess runs one test of the calling program in a process of its own, which can be killed,
// and waits until that test has called ServeUntilKilled. The process gets the argument and is
// killed when t ends.
func StartProcess(t testing.TB, test, argument string) *proc.Process {
	t.Helper()
	dir := t.TempDir()
	addressFile := filepath.Join(dir, "address")
	p, err := proc.Launch(proc.Spec{
		Name: test, Program: os.Args[0], Args: []string{"-test.run=^" + test + "$"}, Dir: dir,
		Env: []string{argumentEnv + "=" + argument, addressFileEnv + "=" + addressFile},
	})
	assert.NilError(t, err)
	t.Cleanup(p.Kill)
	err = proc.Eventually(t.Context(), processStartLimit, p.Done(), func() error {
		content, err := os.ReadFile(addressFile)
		p.Address = string(content)
		return err
	})
	assert.NilError(t, err, p.LogTail())
	return p
}

// CheckKilled sends a request to an address, kills a process on the way of the response once its
// body has begun, and checks that what the caller gets does not look complete.
func CheckKilled(t testing.TB, process *proc.Process, address, request string) {
	t.Helper()
	response := Begin(t, Dial(t, address), request)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	process.Kill()
	rest, err := io.ReadAll(response.Body)
	assert.Assert(t, err != nil, "the answer looks complete with %d bytes", len(rest))
}

// ProcessArgument returns the argument of StartProcess, or false in other processes.
func ProcessArgument() (argument string, ok bool) { return os.LookupEnv(argumentEnv) }

// ServeUntilKilled tells the process that called StartProcess the address of a server, and
// does not return.
func ServeUntilKilled(t testing.TB, address string) {
	temporary := os.Getenv(addressFileEnv) + ".tmp"
	assert.NilError(t, os.WriteFile(temporary, []byte(address), 0o600))
	assert.NilError(t, os.Rename(temporary, os.Getenv(addressFileEnv)))
	parent := os.Getppid()
	for os.Getppid() == parent {
		time.Sleep(time.Second)
	}
}
