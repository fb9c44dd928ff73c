package table

import "reflect"

// WithEvacuated returns the tables with other evacuated failure domains. It shares
// everything else with t.
func (t *Tables) WithEvacuated(domains []string, version uint64) *Tables {
	out := *t
	out.Evacuated, out.EvacuatedVersion = domains, version
	return &out
}

// SameRoutes reports whether t and other share their pools and routes, as tables do
// that WithEvacuated returned.
func (t *Tables) SameRoutes(other *Tables) bool {
	same := func(a, b any) bool { return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer() }
	return t.Version == other.Version && same(t.Pools, other.Pools) && same(t.Routes, other.Routes)
}
