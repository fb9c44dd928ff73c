package table

// KeyIndex finds the workspace of an API key by the key's digest. It is built once
// for a version of the tables and is safe for concurrent use.
type KeyIndex struct {
	required bool
	byDigest map[KeyDigest]*Workspace
}

// NewKeyIndex returns the index of one version of the tables. Validate rejects
// tables in which two workspaces have the same key.
func NewKeyIndex(t *Tables) *KeyIndex {
	total := 0
	for _, w := range t.Workspaces {
		total += len(w.Keys)
	}
	i := &KeyIndex{required: t.Workspaces != nil, byDigest: make(map[KeyDigest]*Workspace, total)}
	for _, name := range sortedKeys(t.Workspaces) {
		w := t.Workspaces[name]
		for _, digest := range w.Keys {
			i.byDigest[digest] = &w
		}
	}
	return i
}

// Required reports whether requests must carry a key: the tables have workspaces,
// even if none of them has a key.
func (i *KeyIndex) Required() bool { return i.required }

// Lookup returns the workspace that a key belongs to, nil for an unknown key.
func (i *KeyIndex) Lookup(digest KeyDigest) *Workspace { return i.byDigest[digest] }
