// Package news lets one host read the store for all.
//
// The hosts agree on a reader (package roster). The others ask it several
// times a second what has changed since the version that they have, and read
// the store themselves as soon as it does not answer or its own reading is old.
// So a host is never older than a reading of its own would be by more than one
// question, whoever is lost: the answer says how old its reading is, and the
// way there and back is counted in.
package news
