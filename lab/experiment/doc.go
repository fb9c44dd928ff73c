// Package experiment runs benchmarks of a whole deployment that INI files
// describe: entry hosts, services with their targets and request classes, and
// scenarios. A scenario is a fault and a list of cells, each a balancing policy at
// a load.
//
// Every run of a cell starts a new deployment (stand-in platform, stand-in
// targets, entry hosts), sends the planned load, and yields a Result: latencies
// and outcomes of each class, violated guarantees, the cost of probing and
// control traffic, and the processor usage of the machine. Runs of the same repeat
// share their seed, so that all policies get the same arrivals and service times.
//
// BoundLatencies computes the latencies of an ideal central queue with full
// knowledge of service times for the same requests. This bound is computed, not
// measured.
package experiment
