package table

// UnknownKeys returns how many keys of an INI file the pools, the routes and the
// workspaces table do not have. The table that a file holds has the fewest.
func UnknownKeys(data []byte) (pools, routes, workspaces int) {
	count := func(read func(*section)) int {
		p := &fileParser{}
		for _, s := range p.sections(data) {
			read(s)
		}
		return p.unknownKeys
	}
	return count(func(s *section) { readPool(s) }), count(func(s *section) { readRoute(s) }),
		count(func(s *section) { readWorkspace(s) })
}
