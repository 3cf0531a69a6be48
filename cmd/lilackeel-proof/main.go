// Command lilackeel-proof writes docs/PROOF.md from the log of a test run.
//
// Usage:
//
//	go test -json ./... | go run ./cmd/lilackeel-proof > docs/PROOF.md
package main

import (
	"fmt"
	"os"

	"github.com/lilackeel/lilackeel/proof/page"
)

func main() {
	tests, err := page.Read(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lilackeel-proof:", err)
		os.Exit(1)
	}
	if err := page.Write(os.Stdout, tests); err != nil {
		fmt.Fprintln(os.Stderr, "lilackeel-proof:", err)
		os.Exit(1)
	}
}
