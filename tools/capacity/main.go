// Command capacity runs the benchmarks and measurements behind
// docs/CAPACITY.md and prints one table with the median of several runs.
// It is started from the root of the repository by make capacity.
package main

import (
	"cmp"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// runs is how often each benchmark runs. A shared machine varies by about a
// third between runs.
const runs = "5"

// benchmark is one call of go test.
type benchmark struct {
	pkg, pattern, time string
}

var benchmarks = []benchmark{
	{"./route", "Choose/combined|Update", "50000x"},
	{"./dispatch", "Credits", "50000x"},
	{"./admit", "Admission", "50000x"},
	{"./placement", "Choose|SetWorld", "500x"},
	{"./ring", "HandOver", "200000x"},
	{"./rollout", "Add", "50000x"},
	{"./tools/capacity", "StoredBundle", "2x"},
	{"./facts", "Patch", "3x"},
	{"./control", "Exchange", "2000x"},
	{"./record", "AtMostOnce", "400x"},
	{"./tools/capacity", "Heap", "1x"},
	{"./tools/capacity", "Message|Frame|Grant", "300x"},
	{"./tools/capacity", "WatchStream$", "20000x"},
	{"./tools/capacity", "Changed|Tick", "10x"},
}

// figures are the results of one benchmark by unit, in the order of the units.
type figures struct {
	name  string
	units []string
	byU   map[string][]float64
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity: "+err.Error())
		os.Exit(1)
	}
}

func run() error {
	fmt.Println("| Command | Measurement | Median of " + runs + " runs |")
	fmt.Println("|---|---|---|")
	for _, b := range benchmarks {
		args := []string{"test", "-run", "XXX", "-bench", b.pattern, "-benchtime", b.time, "-count", runs, "-benchmem", b.pkg}
		out, err := goTool(args)
		if err != nil {
			return err
		}
		for _, f := range parse(out) {
			fmt.Printf("| `-bench '%s' -benchtime %s %s` | %s | %s |\n", strings.ReplaceAll(b.pattern, "|", `\|`), b.time, b.pkg, f.name, f.medians())
		}
	}
	for _, args := range [][]string{
		{"test", "./control", "-run", "TestMeasureSpread", "-measure", "-v"},
		{"test", "./tools/capacity", "-run", "TestMeasureFronts", "-measure", "-v"},
	} {
		out, err := goTool(args)
		if err != nil {
			return err
		}
		fmt.Println("\n`go " + strings.Join(args, " ") + "`, one run:")
		for line := range strings.Lines(out) {
			if strings.Contains(line, " | ") {
				fmt.Print(strings.TrimLeft(line, " "))
			}
		}
	}
	return nil
}

func goTool(args []string) (string, error) {
	cmd := exec.Command("go", args...)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return "", fmt.Errorf("go %s: %w\n%s", strings.Join(args, " "), err, out)
	}
	return string(out), nil
}

var resultLine = regexp.MustCompile(`^Benchmark(\S+?)(?:-\d+)?\s+\d+\s+(.*)$`)

// parse groups the lines of a benchmark's repeated runs.
func parse(out string) []*figures {
	var all []*figures
	for line := range strings.Lines(out) {
		m := resultLine.FindStringSubmatch(strings.TrimSpace(line))
		if m == nil {
			continue
		}
		at := slices.IndexFunc(all, func(f *figures) bool { return f.name == m[1] })
		if at < 0 {
			at = len(all)
			all = append(all, &figures{name: m[1], byU: make(map[string][]float64)})
		}
		all[at].add(strings.Fields(m[2]))
	}
	return all
}

func (f *figures) add(fields []string) {
	for i := 0; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			continue
		}
		unit := fields[i+1]
		if !slices.Contains(f.units, unit) {
			f.units = append(f.units, unit)
		}
		f.byU[unit] = append(f.byU[unit], value)
	}
}

func (f *figures) medians() string {
	heap := slices.Contains(f.units, "B/unit")
	var parts []string
	for _, unit := range f.units {
		// The time and the garbage of a heap measurement say nothing.
		skip := heap && (unit == "ns/op" || unit == "B/op")
		if skip || unit == "MB/s" || unit == "allocs/op" {
			continue
		}
		values := f.byU[unit]
		slices.SortFunc(values, cmp.Compare[float64])
		parts = append(parts, strconv.FormatFloat(values[len(values)/2], 'g', 4, 64)+" "+unit)
	}
	return strings.Join(parts, ", ")
}
