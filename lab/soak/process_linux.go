package soak

import "syscall"

// endedWithParent makes a process end when the one that started it has ended, however it
// did: one that was left behind would go on polling addresses that others get.
func endedWithParent() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
