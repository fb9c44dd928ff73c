package main

import (
	"fmt"
	"path/filepath"

	"github.com/chestnutfield/chestnutfield/lab/report"
)

type reportCommand struct {
	Dir string `arg:"" help:"Directory that run wrote its results to."`
}

// Run writes the page and the plots beside the results.
func (c *reportCommand) Run() error {
	names, err := report.Write(c.Dir)
	for _, name := range names {
		fmt.Println(filepath.Join(c.Dir, name))
	}
	return err
}
