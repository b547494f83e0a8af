package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"gingerfork/internal/bootstrap"
)

type serveCmd struct {
	Files []string `arg:"" help:"The settings, a file for each pool; each has a coordinator of its own in this process, which shares nothing with the others."`
}

// errSettingShared is returned when two instances name what each would overwrite.
var errSettingShared = errors.New("instances must not share it")

// Run serves all files, or none: one that cannot be served at the start ends the others. Later a coordinator that fails
// does not end the others; Run returns, with all errors, when none is left.
func (c serveCmd) Run(ctx context.Context, cli *program) error {
	// Before anything else: a SIGHUP that arrives during the start must not end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	all, err := c.readSettings()
	if err != nil {
		return err
	}
	var instances []*instance
	defer func() {
		for _, i := range instances {
			i.stop()
		}
	}()
	for i, settings := range all {
		started, err := startInstance(ctx, cli, c.Files[i], settings)
		if err != nil {
			return err
		}
		instances = append(instances, started)
	}
	return waitForInstances(instances, reload)
}

// waitForInstances reloads the instances at each signal until all have ended, and returns their errors.
func waitForInstances(instances []*instance, reload <-chan os.Signal) error {
	ended := make(chan error)
	for _, i := range instances {
		go func() { ended <- i.wait() }()
	}
	var errs error
	for running := len(instances); running > 0; {
		select {
		case <-reload:
			for _, i := range instances {
				i.reload()
			}
		case err := <-ended:
			running--
			errs = errors.Join(errs, err)
		}
	}
	return errs
}

// readSettings reads all files. The error lists the faults of all of them.
func (c serveCmd) readSettings() (all []*bootstrap.Settings, err error) {
	owners := map[string]string{} // the file that a setting with a value was found in first
	for _, file := range c.Files {
		settings, readErr := bootstrap.Read(file)
		if readErr != nil {
			err = errors.Join(err, readErr)
			continue
		}
		err = errors.Join(err, claimSettings(owners, file, settings))
		all = append(all, settings)
	}
	return all, err
}

// claimSettings records file as the owner of what only one instance may use. The error names what has another owner.
func claimSettings(owners map[string]string, file string, settings *bootstrap.Settings) (err error) {
	for _, claim := range []struct{ keyword, value string }{
		{"name", settings.Name},
		{"listen", settings.Text("listen")},
		{"state", settings.Text("state")},
	} {
		key := claim.keyword + " " + claim.value
		anyPort := claim.keyword == "listen" && strings.HasSuffix(claim.value, ":0")
		if owner, taken := owners[key]; taken && claim.value != "" && !anyPort {
			err = errors.Join(err, fmt.Errorf("%s: its %s is that of %s: %w", file, key, owner, errSettingShared))
		}
		owners[key] = file
	}
	return err
}
