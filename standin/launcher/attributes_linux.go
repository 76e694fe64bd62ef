package launcher

import "syscall"

// sysProcAttr makes the kernel end a child when the launcher's process ends
// without a stop, for example after a panic of a test.
func sysProcAttr() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
