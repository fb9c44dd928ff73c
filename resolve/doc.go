// Package resolve turns the platform's host list into the targets of pools
// that name a service.
//
// The list lags: a listed target may be gone and a new one unlisted. An entry
// that is marked as leaving, or that is no longer listed, gets nothing new at
// once and is forgotten a while later. A list that lost most of a service's
// targets from one reading to the next is more often wrong than right; it is
// believed only when readings agree for a while, and until then the targets
// stay, for calls themselves show which of them answer. A list that can't be
// read changes nothing.
//
// book decides and is pure: readings and time go in, targets come out.
// Resolver reads the list for it, the less often the larger the list is.
package resolve
