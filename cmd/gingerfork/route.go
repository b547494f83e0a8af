package main

import (
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

func readRoutes(file string) ([]route.Route, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read the routes: %w", err)
	}
	routes, faults := route.Read(file, string(text))
	return routes, faults.Err()
}

func (c routeCmd) Run(p *program) error {
	routes, err := readRoutes(c.File)
	if err != nil {
		return badError{err}
	}
	q := route.Request{Method: c.Method, Path: c.Path, Headers: map[string][]string{}}
	for _, h := range c.Headers {
		name, value, ok := strings.Cut(h, "=")
		if !ok {
			return fmt.Errorf("header %q is not NAME=VALUE", h)
		}
		q.Headers[strings.ToLower(name)] = append(q.Headers[strings.ToLower(name)], value)
	}
	t := route.NewTable(routes)
	r, ok := t.Lookup(c.Front, q)
	if !ok {
		known := t.Frontends()
		if near := bootstrap.ClosestWord(c.Front, known); near != "" && near != c.Front {
			return badError{fmt.Errorf("no route for it (did you mean the front %s?)", near)}
		}
		return badError{fmt.Errorf("no route for it at %s", c.Front)}
	}
	fmt.Fprintf(p.out, "pool %s method %s\n", r.Pool, r.Method)
	return nil
}
