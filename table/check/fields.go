package check

import (
	"cmp"
	"encoding/hex"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/table"
)

// field is a key of an entry with its value in a form that is equal for values of
// equal meaning.
type field struct {
	key string
	// text is the value that is shown, identity the one that is compared. They
	// differ for digests alone.
	text, identity string
}

func text(key, value string) field { return field{key, value, value} }

// set returns the field of a list whose order has no meaning.
func set(key string, items []string) field {
	return text(key, strings.Join(slices.Compact(slices.Sorted(slices.Values(items))), ", "))
}

func number(key string, n float64) field { return text(key, strconv.FormatFloat(n, 'g', -1, 64)) }

func whole(key string, n int) field { return text(key, strconv.Itoa(n)) }

func flag(key string, on bool) field { return text(key, strconv.FormatBool(on)) }

func duration(key string, d time.Duration) field { return text(key, d.String()) }

func poolFields(p table.Pool) []field {
	return []field{
		set("targets", lo.Map(p.Targets, func(t table.Target, _ int) string { return t.Addr.String() + "@" + t.FailureDomain })),
		text("service", p.Service),
		set("drain", lo.Map(p.Drain, func(a netip.AddrPort, _ int) string { return a.String() })),
		number("probe_budget", p.ProbeBudget),
		text("load_path", p.LoadPath),
		text("health_path", p.HealthPath),
		whole("slots", p.Slots),
		whole("connections", p.Connections),
		text("policy", cmp.Or(p.Policy, table.PolicyOwned)),
		number("warmup_per_second", p.WarmupPerSecond),
	}
}

func routeFields(r table.Route) []field {
	pool, split := r.Pool, r.Split
	if len(split) == 1 {
		pool, split = split[0].Pool, nil
	}
	return []field{
		text("path_prefix", r.PathPrefix),
		set("methods", orAll(r.Methods)),
		set("callers", orAll(r.Callers)),
		text("host", strings.ToLower(r.Host)),
		text("pool", pool),
		set("split", shares(split)),
		text("class", string(r.Class)),
		flag("idempotent", r.Idempotent),
		duration("timeout", r.Timeout),
		whole("retries", r.Retries),
		duration("hedge_after", r.HedgeAfter),
		whole("rank", r.Rank),
		duration("objective", r.Objective),
		flag("public", r.Public),
		flag("upload", r.Upload),
		set("regions", r.Regions),
	}
}

func orAll(items []string) []string {
	return lo.Ternary(len(items) == 0, []string{table.MatchAll}, items)
}

// shares returns the pools of a split with the smallest whole weights of the same
// proportions.
func shares(split []table.WeightedPool) []string {
	divisor := 0
	for _, s := range split {
		divisor = greatestCommonDivisor(divisor, s.Weight)
	}
	return lo.Map(split, func(s table.WeightedPool, _ int) string { return s.Pool + ":" + strconv.Itoa(s.Weight/max(divisor, 1)) })
}

func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func workspaceFields(w table.Workspace) []field {
	rank := ""
	if w.Rank != nil {
		rank = strconv.Itoa(*w.Rank)
	}
	return []field{
		digests(w.Keys),
		text("rank", rank),
		number("rate_per_second", w.RatePerSecond),
		number("burst", w.Burst),
		set("regions", w.Regions),
	}
}

// shownDigestBytes is the length of the prefix of a digest that is shown: enough to
// tell the 8,500 keys of a configuration apart, too little to compare with.
const shownDigestBytes = 4

func digests(keys []table.KeyDigest) field {
	shown := set("key_digests", lo.Map(keys, func(d table.KeyDigest, _ int) string { return hex.EncodeToString(d[:shownDigestBytes]) + "…" }))
	full := set("", lo.Map(keys, func(d table.KeyDigest, _ int) string { return hex.EncodeToString(d[:]) }))
	return field{shown.key, shown.text, full.text}
}

func limitsFields(l table.CallerLimits) []field {
	return []field{
		whole("header_bytes", l.HeaderBytes),
		text("body_bytes", strconv.FormatInt(l.BodyBytes, 10)),
		duration("header_timeout", l.HeaderTimeout),
		duration("idle_timeout", l.IdleTimeout),
	}
}
