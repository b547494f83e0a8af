// Command wirehost runs the decision module on the wire of the simulator: it reads batches of events from standard input and writes
// their replies to standard output. It exits with 1 and a message on standard error when it can not go on.
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
