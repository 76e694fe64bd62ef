package launcher

import "syscall"

// attributes makes the kernel end a child when the launcher's process ends
// without a stop, for example after a panic of a test.
func attributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
