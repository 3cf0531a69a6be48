// Command lilackeel-platform runs a lilackeel daemon on the users' platform. The first argument
// is the daemon's role, the others are its settings, which "lilackeel-platform ROLE -help"
// lists.
package main

import (
	"os"

	"github.com/lilackeel/lilackeel/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:])) }
