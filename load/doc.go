// Package load holds what a host knows of the load of targets.
//
// A target reports its own load on its answers in the header
// endpoint-load-metrics (the ORCA text or JSON form) and at its load path.
// Parse reads both forms. A report is a claim that was already old when it
// arrived, so nothing here takes it at face value: figures carry their age,
// and a reporter that calls contradict loses its say.
package load
