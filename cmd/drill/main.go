// Command drill runs routers for a simulator, with which it exchanges lines of JSON over standard input and
// output.
package main

import (
	"fmt"
	"os"

	"sedgestream/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
