// Command reviewstand holds the stand-ins of the review's cases: the users' platform with its store
// and its machines, one worker, and a judge of what they recorded. They speak what the users' pages
// publish, on loopback addresses.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

func main() {
	if len(os.Args) < 2 {
		fail("usage: reviewstand ports N | platform DIR | worker PLATFORM MACHINE SERVICE RECORD ADDRESS | judge RECORD")
	}
	args := os.Args[2:]
	switch os.Args[1] {
	case "ports":
		printPorts(number(arg(args, 0)))
	case "platform":
		servePlatform(arg(args, 0))
	case "worker":
		serveWorker(arg(args, 0), arg(args, 1), arg(args, 2), arg(args, 3), arg(args, 4))
	case "judge":
		judge(arg(args, 0))
	default:
		fail("unknown command " + os.Args[1])
	}
}

// arg returns an argument, and ends the process if it is missing.
func arg(args []string, index int) string {
	if index >= len(args) {
		fail("an argument is missing")
	}
	return args[index]
}

func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		fail(text + " is not a number")
	}
	return n
}

// fail ends the process with the status of a case that could not run.
func fail(text string) {
	fmt.Fprintln(os.Stderr, "reviewstand:", text)
	os.Exit(2)
}

// firstPort and lastPort bound the ports that are handed out: below those that the system gives to
// connections that go out, which could take one before its program listens.
const (
	firstPort = 24_000
	lastPort  = 32_000
)

// printPorts prints free ports of the loopback address.
func printPorts(count int) {
	var ports []string
	for range lastPort - firstPort {
		port := strconv.Itoa(firstPort + rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", port))
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, port)
		if len(ports) == count {
			_, _ = fmt.Println(strings.Join(ports, " "))
			return
		}
	}
	fail("too few ports are free")
}

// recorder appends lines to a record that several processes share.
type recorder struct {
	file *os.File
}

func newRecorder(path string) *recorder {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		fail(err.Error())
	}
	return &recorder{
		file: file,
	}
}

// note appends one line, which begins with the time of day in Unix milliseconds.
func (r *recorder) note(format string, values ...any) {
	line := fmt.Sprintf("%d ", time.Now().UnixMilli()) + fmt.Sprintf(format, values...) + "\n"
	_, _ = r.file.WriteString(line)
}
