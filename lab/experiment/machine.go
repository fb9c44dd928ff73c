package experiment

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// statPath is where the kernel counts processor time.
const statPath = "/proc/stat"

// idleField and ioWaitField are columns of the cpu line of /proc/stat.
const (
	idleField   = 4
	ioWaitField = 5
)

// cpuSample is the processor time of the machine and of this process.
type cpuSample struct {
	at          time.Time
	total, idle uint64
	process     time.Duration
}

func sampleCPU() (cpuSample, error) {
	raw, err := os.ReadFile(statPath)
	if err != nil {
		return cpuSample{}, errors.Wrap(err, "processor time")
	}
	s := cpuSample{at: time.Now()}
	line, _, _ := strings.Cut(string(raw), "\n")
	for i, field := range strings.Fields(line) {
		if i == 0 || i > 8 {
			continue
		}
		ticks, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			return cpuSample{}, errors.Wrap(err, statPath)
		}
		s.total += ticks
		if i == idleField || i == ioWaitField {
			s.idle += ticks
		}
	}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return cpuSample{}, errors.Wrap(err, "processor time")
	}
	s.process = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return s, nil
}

// Machine is how busy the machine was during a run.
type Machine struct {
	// Busy is the share of all processor time in use, by any process.
	Busy float64 `json:"busy"`
	// Cores is the processor time of this process a second of the run: entry
	// hosts, stand-ins and load tool together.
	Cores float64 `json:"cores"`
}

// BusyLimit is the share above which the machine itself disturbs a result.
const BusyLimit = 0.5

func machineBetween(a, b cpuSample) Machine {
	m := Machine{}
	if total := b.total - a.total; total > 0 {
		m.Busy = 1 - float64(b.idle-a.idle)/float64(total)
	}
	if wall := b.at.Sub(a.at); wall > 0 {
		m.Cores = float64(b.process-a.process) / float64(wall)
	}
	return m
}
