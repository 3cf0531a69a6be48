// Command lilackeelctl is the operator CLI: it submits intents, shows their plans, confirms
// them and follows their progress until they are done.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/lilackeel/lilackeel/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := operator.Run(ctx, os.Args[1:], os.Environ(), os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
