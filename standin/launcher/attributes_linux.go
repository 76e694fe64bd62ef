package launcher

import "syscall"

// sysProcAttr makes the kernel kill a child when the launcher's process ends without
// calling Stop, for example after a panic of a test.
func sysProcAttr() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
