package main

import (
	"fmt"
	"path/filepath"

	"github.com/chestnutfield/chestnutfield/lab/report"
)

// reportCommand is the command "report".
type reportCommand struct {
	Dir string `arg:"" help:"Directory that run wrote its results to."`
}

// Run writes the report page and the plots into the directory of the results and
// prints their names.
func (c *reportCommand) Run() error {
	names, err := report.Write(c.Dir)
	for _, name := range names {
		fmt.Println(filepath.Join(c.Dir, name))
	}
	return err
}
