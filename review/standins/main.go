// Command standins plays the cases of this review: it starts the project's coordinators as processes and takes the place of
// discovery, backends, proxies and collectors.
package main

import (
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	root := flag.String("root", "", "root of the checkout")
	command := flag.String("run", "", "the deploy file's run command")
	record := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	cases := map[string]func(*world) int{"1": ownZoneCase, "2": coldZoneCase, "3": repeatCase}
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fail("no case %q", flag.Arg(0))
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	file, err := os.Create(*record)
	if err != nil {
		fail("record: %v", err)
	}
	w := &world{start: time.Now(), root: *root, command: *command, dir: dir, trouble: *trouble, record: file}
	cleanUp = func() {
		w.end()
		w.copyLogs()
		os.RemoveAll(dir)
	}
	time.AfterFunc(110*time.Second, func() { fail("it took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { fail("ended by a signal: %v", <-signals) }()
	code := play(w)
	cleanUp()
	file.Close()
	os.Exit(code)
}
