package proc

// Spec tells what to start.
type Spec struct {
	// Name names the process in logs and files.
	Name string
	// Program is the path of the executable.
	Program string
	Args    []string
	// Env is added to the environment of this process.
	Env []string
	// Dir receives the log and the address file.
	Dir string
}
