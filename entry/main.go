// Command entry runs agatereach, the process of one entry VM.
package main

import (
	"os"

	"agatereach/entry/process/agateprogram"
)

func main() { os.Exit(agateprogram.New(os.Stdout, os.Stderr).Run(os.Args[1:])) }
