// The stand-ins of the second review: a platform with its list service, collectors, servers and proxies, round real coordinators.
// Each case of the review is one sub-command; it is called from the root of the repository.
package main

import (
	"fmt"
	"os"
)

// cases holds the case of each sub-command, which plays on a world and writes to the given record.
var cases = map[string]func(recordPath string) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(2)
	}
	status, err := cases[os.Args[1]](os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = 2
	}
	os.Exit(status)
}
