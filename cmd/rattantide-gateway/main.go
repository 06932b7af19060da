// Command rattantide-gateway is the daemon of deployments on the operators'
// platform. Package fleetdaemon assembles it. The environment variable RATTANTIDE_BOOT
// contains the path of its settings file.
package main

import (
	"os"
	"time"

	"rattantide/internal/fleetdaemon"
)

func main() { os.Exit(fleetdaemon.Execute(time.Now)) }
