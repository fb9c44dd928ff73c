package experiment

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// statPath is the kernel's file with the processor time of the machine.
const statPath = "/proc/stat"

// idleField and ioWaitField are the columns of idle time in the cpu line of
// /proc/stat.
const (
	idleField   = 4
	ioWaitField = 5
)

// cpuSample is the processor time used until a time: by the machine in ticks, and by
// this process.
type cpuSample struct {
	at          time.Time
	total, idle uint64
	process     time.Duration
}

func sampleCPU() (cpuSample, error) {
	data, err := os.ReadFile(statPath)
	if err != nil {
		return cpuSample{}, errors.Wrap(err, "read the machine's processor time")
	}
	s := cpuSample{at: time.Now()}
	line, _, _ := strings.Cut(string(data), "\n")
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
		return cpuSample{}, errors.Wrap(err, "read the processor time of this process")
	}
	s.process = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return s, nil
}

// Machine is the processor usage during the measured window of a run.
type Machine struct {
	// Busy is the fraction of the machine's processor time used by any process.
	Busy float64 `json:"busy"`
	// Cores is the processor time used by this process per second, in cores: entry
	// hosts, stand-in platform and targets, and load generator together.
	Cores float64 `json:"cores"`
}

// MaxBusyShare is the value of Machine.Busy above which the load of the machine
// may distort a result.
const MaxBusyShare = 0.5

func machineUsage(before, after cpuSample) Machine {
	usage := Machine{}
	if total := after.total - before.total; total > 0 {
		usage.Busy = 1 - float64(after.idle-before.idle)/float64(total)
	}
	if elapsed := after.at.Sub(before.at); elapsed > 0 {
		usage.Cores = float64(after.process-before.process) / float64(elapsed)
	}
	return usage
}
