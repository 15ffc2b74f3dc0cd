//go:build nolab

package main

// labCommandLine has no commands in builds without the laboratory.
type labCommandLine struct{}
