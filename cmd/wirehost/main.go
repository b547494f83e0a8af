// Command wirehost plays the decisions on the simulator's wire: batches on standard input, replies on standard output.
package main

import (
	"fmt"
	"os"

	"gingerfork/internal/bench/host"
)

func main() {
	if err := host.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
