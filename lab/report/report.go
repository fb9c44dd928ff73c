package report

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/lab/experiment"
)

// PageFile is the file that Write leaves in the results directory.
const PageFile = "report.md"

// Write reads the results of a directory and leaves the page and the plots
// beside them. It returns the names of the files.
func Write(dir string) ([]string, error) {
	results, err := experiment.ReadResults(dir)
	if err != nil {
		return nil, err
	}
	if len(results) == 0 {
		return nil, errors.Errorf("%s holds no result", dir)
	}
	p := newPage(results)
	plots, err := p.writePlots(dir)
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(dir, PageFile))
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	defer f.Close()
	p.writeMarkdown(f)
	for _, name := range plots {
		fmt.Fprintf(f, "![%s](%s)\n\n", name, name)
	}
	return append([]string{PageFile}, plots...), errors.Wrap(f.Sync(), "report")
}

// Markdown writes the page of the results without plots.
func Markdown(w io.Writer, results []experiment.Result) { newPage(results).writeMarkdown(w) }
