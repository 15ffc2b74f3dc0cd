//go:build nolab

package main

// labLine has nothing here.
type labLine struct{}
