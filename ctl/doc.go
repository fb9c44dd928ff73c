// Package ctl implements chestnutctl, the command-line tool for operators: its
// commands, its output as text or JSON, and its exit codes. It calls the admin
// API of one host.
package ctl
