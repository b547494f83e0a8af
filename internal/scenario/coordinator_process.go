package scenario

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/fake"
)

// filePermissions are the permissions of the settings files and logs of coordinators.
const filePermissions = 0o644

// maxSettingsSeed limits the seeds in settings files, as these are read as floating-point numbers.
const maxSettingsSeed = 1 << 50

// instanceSection is the section of the settings that describes a single coordinator.
const instanceSection = "instance"

// generatedInstanceKeywords are the keywords of that section that a scenario sets for each coordinator; lines of the scenario's
// settings with these keywords are left out.
var generatedInstanceKeywords = []string{"zone", "listen", "list-service", "state", "seed", "coordinators", "self", "peer"}

// startCoordinator writes a coordinator's settings and starts its process.
func (s *sockets) startCoordinator(starting *node) {
	target := starting.participant
	settingsFile := s.file(target, "conf")
	text := s.player.scenario.coordinatorSettings(target, starting.addr, s.relays[target.name].address(endpointService), s.file(target, "state"))
	target.incarnations++
	if err := os.WriteFile(settingsFile, []byte(text), filePermissions); err != nil {
		s.addFailure(target.name, err)
		return
	}
	log, err := os.OpenFile(s.file(target, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, filePermissions)
	if err != nil {
		s.addFailure(target.name, err)
		return
	}
	arguments := append(slices.Clone(s.command.Command[1:]), settingsFile)
	cmd := exec.Command(s.command.Command[0], arguments...)
	cmd.Env = append(os.Environ(), s.command.Env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close() // nothing was written
		s.addFailure(target.name, err)
		return
	}
	starting.cmd = cmd
	s.coordinatorProcesses.Add(1)
	go func() {
		defer s.coordinatorProcesses.Done()
		defer func() { _ = log.Close() }() // the coordinator wrote to it, not this process
		s.awaitExit(target.name, cmd)
	}()
}

// file returns the path of a coordinator's file with an extension.
func (s *sockets) file(target *participant, extension string) string {
	return filepath.Join(s.command.Dir, target.name+"."+extension)
}

// awaitExit waits for a coordinator's process to exit. An exit is a failure, unless a signal ended the process, as steps do, or
// it exited successfully during the shutdown.
func (s *sockets) awaitExit(name string, cmd *exec.Cmd) {
	err := cmd.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && s.shuttingDown || err != nil && endedBySignal(err) {
		return
	}
	s.failures = append(s.failures, fmt.Sprintf("%s exited unexpectedly: %v; see its log", name, cmd.ProcessState))
}

func endedBySignal(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled()
}

// coordinatorSettings returns the settings file of one coordinator: that of the scenario, with an instance section of its own.
func (s *Scenario) coordinatorSettings(target *participant, listen, listService, stateFile string) string {
	var text strings.Builder
	seed := (fake.DeriveSeed(s.Seed, target.name) + uint64(target.incarnations)) % maxSettingsSeed
	fmt.Fprintf(&text, "instance %s\n  zone %s\n  listen %s\n  list-service %s\n  state %s\n  seed %d\n  coordinators %d\n  self %d\n",
		target.name, target.zone, listen, listService, stateFile, seed, s.Coordinators, target.index)
	section := ""
	for _, line := range s.settingsLines {
		word := line.Words[0]
		if bootstrap.IsSection(word) {
			section = word
		}
		if word == instanceSection || section == instanceSection && slices.Contains(generatedInstanceKeywords, word) {
			continue
		}
		quoted := make([]string, 0, len(line.Words))
		for _, unquoted := range line.Words {
			quoted = append(quoted, bootstrap.Quote(unquoted))
		}
		text.WriteString(strings.Join(quoted, " ") + "\n")
	}
	return text.String()
}
