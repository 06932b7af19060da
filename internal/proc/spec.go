package proc

// Spec describes a program to start.
type Spec struct {
	// Name is the name of the process in errors and in the names of its files.
	Name string
	// Program is the path of the executable.
	Program string
	Args    []string
	// Env contains variables, as NAME=value, that are added to the environment
	// inherited from the current process.
	Env []string
	// Dir is the directory of the log file and the address file.
	Dir string
}
