package proc

import (
	"context"
	"os"
	"os/exec"

	"github.com/juju/errors"
)

// Build compiles the programs of this repository into dir. It must be called
// from within the module.
func Build(ctx context.Context, dir string) error {
	command := exec.CommandContext(ctx, "go", "build", "-o", dir+string(os.PathSeparator), "rattantide/cmd/...")
	command.Stderr = os.Stderr
	return errors.Annotate(command.Run(), "building the programs")
}
