package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"gingerfork/internal/bootstrap"
	"gingerfork/internal/route"
)

type routeCmd struct {
	File    string   `arg:"" help:"The routes."`
	Front   string   `arg:"" help:"The front that the request comes to."`
	Method  string   `arg:"" help:"Its HTTP method."`
	Path    string   `arg:"" help:"Its path."`
	Headers []string `name:"header" help:"A header of it; may be given many times." placeholder:"NAME=VALUE"`
}

var (
	errNoRoute      = errors.New("no route for it")
	errHeaderFormat = errors.New("is not NAME=VALUE")
)

// readRoutes reads a file of routes.
func readRoutes(file string) ([]route.Route, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read the routes: %w", err)
	}
	routes, faults := route.Read(file, string(text))
	return routes, faults.Err()
}

// Run prints the route of the request.
func (c routeCmd) Run(cli *program) error {
	routes, err := readRoutes(c.File)
	if err != nil {
		return err
	}
	request := route.Request{Method: c.Method, Path: c.Path, Headers: map[string][]string{}}
	for _, header := range c.Headers {
		name, value, ok := strings.Cut(header, "=")
		if !ok {
			return fmt.Errorf("header %q %w", header, errHeaderFormat)
		}
		name = strings.ToLower(name)
		request.Headers[name] = append(request.Headers[name], value)
	}
	table := route.NewTable(routes)
	picked, ok := table.Lookup(c.Front, request)
	if ok {
		fmt.Fprintf(cli.out, "pool %s method %s\n", picked.Pool, picked.Method)
		return nil
	}
	if closest := bootstrap.ClosestWord(c.Front, table.Frontends()); closest != "" && closest != c.Front {
		return fmt.Errorf("%w (did you mean the front %s?)", errNoRoute, closest)
	}
	return fmt.Errorf("%w at %s", errNoRoute, c.Front)
}
