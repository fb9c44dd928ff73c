// Package report turns the raw results of an experiment into a Markdown page
// with tables and into plots (PNG) that a person can look at.
//
// A figure is the median over the repeats, with the lowest and the highest
// beside it. Ratios are taken within one repeat, whose runs saw the same
// arrivals and service times, and their median is shown.
package report
