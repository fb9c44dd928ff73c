package experiment

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/lab/loadgen"
	"github.com/chestnutfield/chestnutfield/lab/platformd"
	"github.com/chestnutfield/chestnutfield/lab/runlog"
	"github.com/chestnutfield/chestnutfield/lab/upstreamd"
)

// ResultsFile is the file of raw results in a results directory: one Result as
// JSON a line.
const ResultsFile = "runs.jsonl"

// Costs is what measuring and control cost over the measured window.
type Costs struct {
	// ProbesPerTarget is a second and target, ProbeBudget the highest allowed.
	ProbesPerTarget float64 `json:"probes_per_target"`
	ProbeBudget     float64 `json:"probe_budget"`
	// ProbeShare is the share of the targets' work spent on probes, each
	// taken to cost the experiment's probe_cost.
	ProbeShare float64 `json:"probe_share"`
	// ControlBytes is a second and entry host, both ways.
	ControlBytes float64 `json:"control_bytes"`
	// TableReads and TableWrites are items a second, all hosts together.
	TableReads  float64 `json:"table_reads"`
	TableWrites float64 `json:"table_writes"`
}

// BoundSummary is the computed bound of one class.
type BoundSummary struct {
	Service string        `json:"service"`
	Class   string        `json:"class"`
	P50     time.Duration `json:"p50_ns"`
	P99     time.Duration `json:"p99_ns"`
	P999    time.Duration `json:"p999_ns"`
}

// Result is the outcome of one run.
type Result struct {
	Experiment string             `json:"experiment"`
	Scenario   string             `json:"scenario"`
	Cell       Cell               `json:"cell"`
	Repeat     int                `json:"repeat"`
	Seed       uint64             `json:"seed"`
	Classes    []loadgen.Summary  `json:"classes"`
	Bound      []BoundSummary     `json:"bound"`
	Violations loadgen.Violations `json:"violations"`
	Log        runlog.Totals      `json:"log"`
	Targets    upstreamd.Stats    `json:"targets"`
	Platform   platformd.Stats    `json:"platform"`
	Costs      Costs              `json:"costs"`
	Machine    Machine            `json:"machine"`
	Hosts      int                `json:"hosts"`
	// Records are the requests one by one; they are not written.
	Records []loadgen.Record `json:"-"`
}

// Writer appends results to a directory.
type Writer struct{ file *os.File }

// NewWriter makes the directory and an empty results file.
func NewWriter(dir string) (*Writer, error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, errors.Wrap(err, "results")
	}
	f, err := os.Create(filepath.Join(dir, ResultsFile))
	return &Writer{file: f}, errors.Wrap(err, "results")
}

// Write appends a result.
func (w *Writer) Write(r Result) error {
	return errors.Wrap(json.NewEncoder(w.file).Encode(r), "results")
}

// Close closes the file.
func (w *Writer) Close() error { return w.file.Close() }

// ReadResults reads the results of a directory.
func ReadResults(dir string) ([]Result, error) {
	f, err := os.Open(filepath.Join(dir, ResultsFile))
	if err != nil {
		return nil, errors.Wrap(err, "results")
	}
	defer f.Close()
	var out []Result
	d := json.NewDecoder(bufio.NewReader(f))
	for d.More() {
		var r Result
		if err := d.Decode(&r); err != nil {
			return nil, errors.Wrapf(err, "results: entry %d", len(out)+1)
		}
		out = append(out, r)
	}
	return out, nil
}
