package standin

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// ReadExecutions reads the execution files in a folder. It returns how often
// each identity ran and how many requests planned reboots cut.
func ReadExecutions(folder string) (ran map[string]int, cut int, err error) {
	ran = make(map[string]int)
	names, err := filepath.Glob(filepath.Join(folder, "*.ran"))
	if err != nil {
		return nil, 0, fmt.Errorf("listing executions: %w", err)
	}
	for _, name := range names {
		one, err := readExecutions(name, ran)
		if err != nil {
			return nil, 0, err
		}
		cut += one
	}
	return ran, cut, nil
}

func readExecutions(name string, ran map[string]int) (cut int, err error) {
	file, err := os.Open(name)
	if err != nil {
		return 0, fmt.Errorf("reading executions: %w", err)
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		switch {
		case len(fields) >= 2 && fields[0] == "ran":
			ran[fields[1]]++
		case len(fields) >= 1 && fields[0] == "cut":
			cut++
		}
	}
	return cut, lines.Err()
}
