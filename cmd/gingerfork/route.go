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
	File    string   `arg:"" help:"File of routes."`
	Front   string   `arg:"" help:"Name of the front end that receives the request."`
	Method  string   `arg:"" help:"HTTP method of the request."`
	Path    string   `arg:"" help:"Path of the request."`
	Headers []string `name:"header" help:"Header of the request; may be repeated." placeholder:"NAME=VALUE"`
}

var (
	errNoRoute      = errors.New("no route matches the request")
	errHeaderFormat = errors.New("is not NAME=VALUE")
)

// readRoutes reads a file of routes. The error lists all errors of the file.
func readRoutes(file string) ([]route.Route, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read the routes: %w", err)
	}
	routes, faults := route.Read(file, string(text))
	return routes, faults.Err()
}

// Run prints the pool and the method of the route that matches the request.
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
		return fmt.Errorf("%w (did you mean the front end %s?)", errNoRoute, closest)
	}
	return fmt.Errorf("%w at the front end %s", errNoRoute, c.Front)
}
