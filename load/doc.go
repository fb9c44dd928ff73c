// Package load tracks the load of targets as seen by one host.
//
// A target reports its load on its responses in the header
// endpoint-load-metrics (in the text or JSON form of ORCA) and at its load path.
// Parse reads both forms. A report is already old when it arrives and may be
// wrong. Tracker therefore lowers the weight of a report with its age, and the
// weight of all reports of a target when they contradict the requests to it.
package load
