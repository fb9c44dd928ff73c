// Package faults contains fault injection tests only: each fault alone, and each
// pair of faults that can affect the same mechanism.
//
// The request testbed sends requests through the forwarding path of three hosts
// to four simulated targets. The cluster testbed ("hosts") runs membership, peer
// exchange, probing and configuration tables of four hosts on one table service.
// Both use the real packages with fakes of the platform, in-memory connections and
// the simulated time of testing/synctest. The name of a case lists its faults and
// its seed.
package faults
