// Command lilackeel-platform runs a daemon of lilackeel on the users' platform.
// The first argument names its role, the others are its settings, which
// "lilackeel-platform ROLE -help" lists.
package main

import (
	"os"

	"github.com/lilackeel/lilackeel/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:])) }
