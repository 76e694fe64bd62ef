// Command kingcuppitch is the operators' client.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/kingcuppitch/kingcuppitch/process/client"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := client.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
