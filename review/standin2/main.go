// Standin2 holds the stand-ins of the cases of the second review: the platform's store with its list of
// machines, one worker, and clients that judge what they and the workers saw. Each runs as a process of
// its own and follows the users' pages.
package main

import (
	"fmt"
	"os"
	"strings"
)

// Exit codes of a case.
const (
	codeHeld   = 0
	codeBroken = 1
	codeNotRun = 2
)

// commands are the stand-ins by name; each returns the exit code of its process.
var commands = map[string]func(args []string) (int, error){
	"allowance": runAllowance,
	"clients":   runClients,
	"ports":     runPorts,
	"store":     runStore,
	"worker":    runWorker,
}

func main() {
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 allowance|clients|ports|store|worker [flags]")
		os.Exit(codeNotRun)
	}
	code, err := commands[os.Args[1]](os.Args[2:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		os.Exit(codeNotRun)
	}
	os.Exit(code)
}

// fields reads words of the form NAME=NUMBER from a text.
func fields(text string) map[string]int {
	values := make(map[string]int)
	for _, word := range strings.Fields(text) {
		name, value, found := strings.Cut(word, "=")
		number := 0
		if _, err := fmt.Sscan(value, &number); found && err == nil {
			values[name] = number
		}
	}
	return values
}
