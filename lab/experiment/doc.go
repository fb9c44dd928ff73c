// Package experiment runs measured experiments that INI files describe: entry
// hosts, services with their targets and mix of classes, and scenarios with
// faults, each in cells of a policy and a load.
//
// Every run of a cell builds a fresh deployment (stand-in platform, stand-in
// targets, entry hosts), sends the planned load, and ends in a Result: figures
// a class, broken promises, the cost of measuring and control, and how busy the
// machine was. Runs of the same repeat share their seed, so that policies see
// the same arrivals and service times.
//
// Bound computes what an all-knowing central queue would have done with the
// same requests; it is a computed bound and not a measurement.
package experiment
