package table

import (
	"bytes"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/samber/lo"
)

// FormatPools returns pools as an INI file that ParsePools reads, with sections
// ordered by name. Defaults are written out; empty values are left out.
func FormatPools(pools map[string]Pool) []byte {
	var b bytes.Buffer
	for _, name := range sortedKeys(pools) {
		p := pools[name]
		fmt.Fprintf(&b, "[%s]\n", name)
		writeKey(&b, "targets", strings.Join(lo.Map(p.Targets, func(t Target, _ int) string {
			return t.Addr.String() + "@" + t.FailureDomain
		}), ", "))
		writeKey(&b, "service", p.Service)
		writeKey(&b, "drain", strings.Join(lo.Map(p.Drain, func(a netip.AddrPort, _ int) string {
			return a.String()
		}), ", "))
		writeKey(&b, "probe_budget", strconv.FormatFloat(p.ProbeBudget, 'g', -1, 64))
		writeKey(&b, "load_path", p.LoadPath)
		writeKey(&b, "health_path", p.HealthPath)
		writeKey(&b, "slots", strconv.Itoa(p.Slots))
		writeKey(&b, "connections", strconv.Itoa(p.Connections))
		writeKey(&b, "policy", p.Policy)
		writeNumber(&b, "warmup_per_second", p.WarmupPerSecond)
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// FormatRoutes returns routes as an INI file that ParseRoutes reads, with
// sections ordered by name. Defaults are written out; empty values and a zero
// hedge_after, rank or objective are left out, as are flags that are false.
func FormatRoutes(routes map[string]Route) []byte {
	var b bytes.Buffer
	for _, name := range sortedKeys(routes) {
		r := routes[name]
		fmt.Fprintf(&b, "[%s]\n", name)
		writeKey(&b, "path_prefix", r.PathPrefix)
		writeKey(&b, "methods", listOrAny(r.Methods))
		writeKey(&b, "callers", listOrAny(r.Callers))
		writeKey(&b, "host", r.Host)
		writeKey(&b, "pool", r.Pool)
		writeKey(&b, "split", strings.Join(lo.Map(r.Split, func(s WeightedPool, _ int) string {
			return s.Pool + ":" + strconv.Itoa(s.Weight)
		}), ", "))
		writeKey(&b, "class", string(r.Class))
		writeKey(&b, "idempotent", strconv.FormatBool(r.Idempotent))
		writeKey(&b, "timeout", r.Timeout.String())
		writeKey(&b, "retries", strconv.Itoa(r.Retries))
		if r.HedgeAfter > 0 {
			writeKey(&b, "hedge_after", r.HedgeAfter.String())
		}
		if r.Rank > 0 {
			writeKey(&b, "rank", strconv.Itoa(r.Rank))
		}
		if r.Objective > 0 {
			writeKey(&b, "objective", r.Objective.String())
		}
		writeFlag(&b, "public", r.Public)
		writeFlag(&b, "upload", r.Upload)
		writeKey(&b, "regions", strings.Join(r.Regions, ", "))
		b.WriteByte('\n')
	}
	return b.Bytes()
}

func listOrAny(items []string) string {
	if len(items) == 0 {
		return MatchAll
	}
	return strings.Join(items, ", ")
}

// writeKey writes one line of key and value, or nothing when value is empty.
func writeKey(b *bytes.Buffer, key, value string) {
	if value != "" {
		fmt.Fprintf(b, "%s = %s\n", key, value)
	}
}
