package check

import "github.com/chestnutfield/chestnutfield/table"

// contradictions returns findings about limits that can't all have their effect.
func (c *Configuration) contradictions() []Finding {
	var out []Finding
	for _, name := range sortedKeys(c.Tables.Routes) {
		out = append(out, c.routeLimits(c.Tables.Routes[name])...)
	}
	for _, name := range sortedKeys(c.Tables.Workspaces) {
		out = append(out, c.quotaLimits(c.Tables.Workspaces[name])...)
	}
	return out
}

// routeLimits compares the times of a route. Without a timeout the host's applies,
// which the configuration does not know.
func (c *Configuration) routeLimits(r table.Route) []Finding {
	var out []Finding
	if r.Objective > 0 && r.HedgeAfter >= r.Objective && (r.Timeout <= 0 || r.HedgeAfter < r.Timeout) {
		out = append(out, c.finding(Warning, Route, r.Name, "hedge_after", "%v is not below the objective of %v; second copies are sent for late requests only", r.HedgeAfter, r.Objective))
	}
	if r.Timeout <= 0 {
		return out
	}
	switch {
	case r.Timeout < r.Objective:
		out = append(out, c.finding(Warning, Route, r.Name, "timeout", "%v is below the objective of %v; requests end before they are late", r.Timeout, r.Objective))
	case r.Retries > 0 && r.Timeout < 2*r.Objective:
		out = append(out, c.finding(Warning, Route, r.Name, "retries", "%d, but the timeout of %v is below two objectives of %v, too short for a late attempt and a retry",
			r.Retries, r.Timeout, r.Objective))
	}
	if r.HedgeAfter >= r.Timeout {
		out = append(out, c.finding(Warning, Route, r.Name, "hedge_after", "%v is not below the timeout of %v; no second copy is ever sent", r.HedgeAfter, r.Timeout))
	}
	return out
}

// quotaLimits compares the rate and the burst of a workspace. A rate without a
// burst is no contradiction, as hosts derive the burst from the rate.
func (c *Configuration) quotaLimits(w table.Workspace) []Finding {
	switch {
	case w.Burst <= 0:
		return nil
	case w.RatePerSecond == 0:
		return []Finding{c.finding(Warning, Workspace, w.Name, "burst", "%v has no effect, as rate_per_second is 0", w.Burst)}
	case w.Burst < 1:
		return []Finding{c.finding(Warning, Workspace, w.Name, "burst", "%v is less than one request; hosts take 1", w.Burst)}
	case w.Burst < w.RatePerSecond:
		return []Finding{c.finding(Warning, Workspace, w.Name, "burst", "%v is less than rate_per_second admits in one second (%v)", w.Burst, w.RatePerSecond)}
	}
	return nil
}
