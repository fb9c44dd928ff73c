//go:build !linux

package soak

import "syscall"

// endedWithParent does nothing here; ending processes with their parent needs Linux.
func endedWithParent() *syscall.SysProcAttr { return nil }
