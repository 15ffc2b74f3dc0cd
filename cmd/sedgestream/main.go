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
		// Each has room of its own, so that no reload keeps the word to stop out.
		stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
		signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
		signal.Notify(reloads, syscall.SIGHUP)
		err = service.New(log, reloads).Run(stops)
		log.Sync()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sedgestream:", err)
		os.Exit(1)
	}
}
