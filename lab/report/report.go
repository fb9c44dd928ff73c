package report

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/lab/experiment"
)

// MarkdownFile is the name of the report that Write creates in the results
// directory.
const MarkdownFile = "report.md"

// Write reads the results of a directory and writes the report and the plots to the
// same directory. It returns the names of the files.
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
	f, err := os.Create(filepath.Join(dir, MarkdownFile))
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	defer f.Close()
	p.writeMarkdown(f)
	for _, name := range plots {
		fmt.Fprintf(f, "![%s](%s)\n\n", name, name)
	}
	return append([]string{MarkdownFile}, plots...), errors.Wrap(f.Sync(), "report")
}

// Markdown writes the report of the results without plots. There must be at least
// one result.
func Markdown(w io.Writer, results []experiment.Result) { newPage(results).writeMarkdown(w) }
