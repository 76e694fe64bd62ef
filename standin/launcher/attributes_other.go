//go:build !linux

package launcher

import "syscall"

func sysProcAttr() *syscall.SysProcAttr { return nil }
