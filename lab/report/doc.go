// Package report turns the results of an experiment into a Markdown file with
// tables and plots (PNG files).
//
// Each value is the median over the repeats, with the minimum and the maximum.
// Ratios are computed within a repeat, whose runs had the same arrivals and service
// times; the median of these ratios is shown.
package report
