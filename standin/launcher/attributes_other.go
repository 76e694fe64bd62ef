//go:build !linux

package launcher

import "syscall"

func attributes() *syscall.SysProcAttr { return nil }
