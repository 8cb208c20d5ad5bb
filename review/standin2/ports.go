package main

import (
	"fmt"
	"net"
	"strconv"
)

// runPorts prints free TCP ports of the loopback address, one a line.
func runPorts(args []string) (int, error) {
	count := 1
	if len(args) > 0 {
		number, err := strconv.Atoi(args[0])
		if err != nil {
			return codeNotRun, err
		}
		count = number
	}
	listeners := make([]net.Listener, 0, count)
	for range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return codeNotRun, err
		}
		listeners = append(listeners, listener)
	}
	for _, listener := range listeners {
		_, port, err := net.SplitHostPort(listener.Addr().String())
		if err != nil {
			return codeNotRun, err
		}
		fmt.Println(port)
		if err := listener.Close(); err != nil {
			return codeNotRun, err
		}
	}
	return codeHeld, nil
}
