// Command drill runs the decisions on the simulator's wire, on standard input and output.
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
