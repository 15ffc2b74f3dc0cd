// Command sedgestream is one router: it takes jobs from clients, steers them to the nodes of a replicated
// store, and answers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"sedgestream/internal/service"
)

func main() {
	log, err := zap.NewProduction()
	if err == nil {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		err = service.New(log).Run(signals)
		log.Sync()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sedgestream:", err)
		os.Exit(1)
	}
}
