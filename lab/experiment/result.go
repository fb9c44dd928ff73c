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

// ResultsFile is the name of the file of raw results in a results directory. It
// holds one Result per line as JSON.
const ResultsFile = "runs.jsonl"

// Costs are the costs of probes and control traffic over the measured window.
type Costs struct {
	// ProbesPerSecond is the number of probes per second and target, ProbeBudget the
	// highest budget of any service, in the same unit.
	ProbesPerSecond float64 `json:"probes_per_target"`
	ProbeBudget     float64 `json:"probe_budget"`
	// ProbeShare is the fraction of the targets' work spent on probes, if each costs
	// Spec.ProbeCost.
	ProbeShare float64 `json:"probe_share"`
	// PeerBytesPerSecond is the number of bytes per second that an entry host
	// exchanges with the others, in both directions.
	PeerBytesPerSecond float64 `json:"control_bytes"`
	// TableReadsPerSecond and TableWritesPerSecond are the items that all hosts
	// together read and write per second.
	TableReadsPerSecond  float64 `json:"table_reads"`
	TableWritesPerSecond float64 `json:"table_writes"`
}

// BoundSummary is the computed latency bound of one class; see BoundLatencies.
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
	// Records are the individual requests. They are not written to the results file.
	Records []loadgen.Record `json:"-"`
}

// Writer writes results to the results file of a directory.
type Writer struct{ file *os.File }

// NewWriter creates the directory if needed and an empty results file in it.
func NewWriter(dir string) (*Writer, error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, errors.Wrap(err, "create the results directory")
	}
	f, err := os.Create(filepath.Join(dir, ResultsFile))
	return &Writer{file: f}, errors.Wrap(err, "create the results file")
}

// Write appends a result.
func (w *Writer) Write(r Result) error {
	return errors.Wrap(json.NewEncoder(w.file).Encode(r), "write a result")
}

// Close closes the results file.
func (w *Writer) Close() error { return w.file.Close() }

// ReadResults reads the results file of a directory.
func ReadResults(dir string) ([]Result, error) {
	f, err := os.Open(filepath.Join(dir, ResultsFile))
	if err != nil {
		return nil, errors.Wrap(err, "open the results file")
	}
	defer f.Close()
	var out []Result
	d := json.NewDecoder(bufio.NewReader(f))
	for d.More() {
		var r Result
		if err := d.Decode(&r); err != nil {
			return nil, errors.Wrapf(err, "results file: entry %d", len(out)+1)
		}
		out = append(out, r)
	}
	return out, nil
}
