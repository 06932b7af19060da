// Command rattantide-gateway is the daemon of a deployment on the operators'
// platform. Its settings file is named by the environment.
package main

import (
	"os"
	"time"

	"rattantide/internal/fleetdaemon"
)

func main() { os.Exit(fleetdaemon.Execute(time.Now)) }
