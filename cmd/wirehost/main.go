// Command wirehost runs the decision module as a child process of the simulator: it reads batches of events from standard
// input and writes the replies to standard output. On an error it exits with code 1 and a message on standard error.
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
