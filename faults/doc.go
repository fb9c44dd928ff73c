// Package faults holds the suite of faults: each alone, and each pair that can
// touch the same mechanism. It has tests only.
//
// The request bed sends requests through three hosts of the forwarding path to
// four scripted targets. The hosts bed runs membership, peers, probes and the
// tables of four hosts over one table service. Both use the packages
// themselves, fakes at the interfaces, connections in memory, and the time of
// testing/synctest. A case is named by its faults and prints its seed.
package faults
