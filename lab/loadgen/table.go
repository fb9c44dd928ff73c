package loadgen

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// latencyUnit is the precision of the latencies in tables.
const latencyUnit = 100 * time.Microsecond

// columnOutcomes lists the outcomes that have a column in the table, in its
// order.
var columnOutcomes = []Outcome{Answered, NotRun, Unknown, InFlight, Failed, Lost, Wrong, Truncated}

// WriteTable writes the summaries as an aligned table.
func WriteTable(w io.Writer, summaries []Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	head := []string{"service", "class", "sent"}
	for _, e := range columnOutcomes {
		head = append(head, e.String())
	}
	fmt.Fprintln(t, strings.Join(append(head, "goodput/s", "retries", "p50", "p99", "p99.9"), "\t"))
	for _, s := range summaries {
		fmt.Fprintf(t, "%s\t%s\t%d", s.Service, s.Class, s.Sent)
		for _, e := range columnOutcomes {
			fmt.Fprintf(t, "\t%d", s.Outcomes[e.String()])
		}
		fmt.Fprintf(t, "\t%.1f\t%d\t%v\t%v\t%v\n", s.Goodput, s.Retries,
			s.P50.Round(latencyUnit), s.P99.Round(latencyUnit), s.P999.Round(latencyUnit))
	}
	return t.Flush()
}
