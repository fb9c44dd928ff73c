// Package ctl is chestnutctl, the operators' tool: its command line, its
// output as text or JSON, and its exit codes. It talks to the admin API of one
// host.
package ctl
