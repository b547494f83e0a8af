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
	Files []string `arg:"" help:"Settings files, one for each pool. Each pool has its own coordinator in this process, which shares nothing with the others."`
}

// errSettingShared is returned when two instances have the same name, listen address or state folder.
var errSettingShared = errors.New("each instance needs its own")

// Run runs a coordinator for each file. If one cannot be started, it stops those already started and returns the error. A
// coordinator that fails later does not stop the others; Run returns the errors of all when the last one has ended.
func (c serveCmd) Run(ctx context.Context, cli *program) error {
	// Registered first, because a SIGHUP during the start would otherwise end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	allSettings, err := c.readSettings()
	if err != nil {
		return err
	}
	var instances []*instance
	defer func() {
		for _, started := range instances {
			started.stop()
		}
	}()
	for i, settings := range allSettings {
		started, err := startInstance(ctx, cli, c.Files[i], settings)
		if err != nil {
			return err
		}
		instances = append(instances, started)
	}
	return waitForInstances(instances, reload)
}

// waitForInstances reloads all instances at each signal until all have ended, and returns their errors.
func waitForInstances(instances []*instance, reload <-chan os.Signal) error {
	ended := make(chan error)
	for _, started := range instances {
		go func() { ended <- started.wait() }()
	}
	var errs error
	for running := len(instances); running > 0; {
		select {
		case <-reload:
			for _, started := range instances {
				started.reload()
			}
		case err := <-ended:
			running--
			errs = errors.Join(errs, err)
		}
	}
	return errs
}

// readSettings reads all settings files. The error lists the errors of all files.
func (c serveCmd) readSettings() (allSettings []*bootstrap.Settings, err error) {
	owners := map[string]string{} // file that uses a name, listen address or state folder, by "keyword value"
	for _, file := range c.Files {
		settings, readErr := bootstrap.Read(file)
		if readErr != nil {
			err = errors.Join(err, readErr)
			continue
		}
		err = errors.Join(err, claimSettings(owners, file, settings))
		allSettings = append(allSettings, settings)
	}
	return allSettings, err
}

// claimSettings records in owners that the settings file uses its name, listen address and state folder. The error names those
// that another settings file uses already.
func claimSettings(owners map[string]string, file string, settings *bootstrap.Settings) (err error) {
	for _, claim := range []struct{ keyword, value string }{
		{"name", settings.Name},
		{"listen", settings.Text("listen")},
		{"state", settings.Text("state")},
	} {
		key := claim.keyword + " " + claim.value
		anyPort := claim.keyword == "listen" && strings.HasSuffix(claim.value, ":0")
		if owner, taken := owners[key]; taken && claim.value != "" && !anyPort {
			err = errors.Join(err, fmt.Errorf("%s: %s is already used by %s: %w", file, key, owner, errSettingShared))
		}
		owners[key] = file
	}
	return err
}
