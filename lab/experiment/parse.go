package experiment

import (
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"gopkg.in/ini.v1"

	"github.com/chestnutfield/chestnutfield/lab/workload"
	"github.com/chestnutfield/chestnutfield/table"
)

// The kinds of sections. The header of a section is its kind, followed by a name
// except for the experiment section.
const (
	experimentSection = "experiment"
	serviceSection    = "service"
	classSection      = "class"
	scenarioSection   = "scenario"
)

// Load reads and validates an experiment file.
func Load(path string) (Spec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Spec{}, errors.Wrap(err, "experiment file")
	}
	spec, err := Parse(data)
	return spec, errors.Wrap(err, path)
}

// Parse parses and validates the text of an experiment file. Errors name the section
// and, where there is one, the key.
func Parse(data []byte) (Spec, error) {
	f, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, data)
	if err != nil {
		return Spec{}, errors.Wrap(err, "experiment file")
	}
	var spec Spec
	var classes []Class
	for _, section := range f.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		kind, name, _ := strings.Cut(section.Name(), " ")
		r := &sectionReader{section: section}
		switch kind {
		case experimentSection:
			spec.readExperiment(r)
		case serviceSection:
			spec.Services = append(spec.Services, readService(r, name))
		case classSection:
			classes = append(classes, readClass(r, name))
		case scenarioSection:
			spec.Scenarios = append(spec.Scenarios, readScenario(r, name))
		default:
			return Spec{}, errors.Errorf("section [%s]: expected experiment, service NAME, class NAME or scenario NAME", section.Name())
		}
		if err := r.check(); err != nil {
			return Spec{}, err
		}
	}
	if err := spec.assignClasses(classes); err != nil {
		return Spec{}, err
	}
	return spec, spec.validate()
}

func (s *Spec) readExperiment(r *sectionReader) {
	s.Name = r.text("name", "")
	s.Hosts = r.count("hosts", 0)
	s.Domains = r.count("failure_domains", 1)
	s.DomainDelay = r.duration("domain_delay", 0)
	s.CallerDelay = r.duration("caller_delay", 0)
	s.Seed = uint64(r.count("seed", 1))
	s.Repeats = r.count("repeats", 3)
	s.Warmup = r.duration("warmup", time.Second)
	s.Duration = r.duration("duration", 5*time.Second)
	s.Timeout = r.duration("timeout", 10*time.Second)
	s.ProbeCost = r.duration("probe_cost", 100*time.Microsecond)
	s.ReadsPerSecond = r.count("reads_per_second", 0)
	s.WritesPerSecond = r.count("writes_per_second", 0)
}

func readService(r *sectionReader, name string) Service {
	return Service{
		Name:        name,
		Targets:     r.count("targets", 0),
		Slots:       r.count("slots", 2),
		Queue:       r.count("queue", 16),
		Connections: r.count("connections", 250),
		ConnectTime: r.duration("connect_time", time.Millisecond),
		ServiceTime: workload.Distribution{
			Shape: workload.Shape(r.text("shape", string(workload.Exponential))),
			Mean:  r.duration("mean", 20*time.Millisecond),
			Sigma: r.number("sigma", 0.5),
		},
		ProbeBudget: r.number("probe_budget", 20),
	}
}

func readClass(r *sectionReader, name string) Class {
	return Class{
		Name:          name,
		Service:       r.text("service", ""),
		Class:         table.Class(r.text("class", name)),
		Share:         r.number("share", 1),
		Method:        r.text("method", http.MethodGet),
		Path:          r.text("path", "/"+name+"/"),
		Timeout:       r.duration("timeout", 2*time.Second),
		Retries:       r.count("retries", 1),
		Callers:       r.count("callers", 20),
		ResponseBytes: r.count("answer_bytes", 512),
		BodyBytes:     r.count("body_bytes", 0),
		CopyShare:     r.number("copy_share", 0),
	}
}

func readScenario(r *sectionReader, name string) Scenario {
	return Scenario{
		Name:     name,
		Fault:    Fault(r.text("fault", string(NoFault))),
		Targets:  r.number("targets", 0),
		Factor:   r.number("factor", 1),
		From:     r.duration("from", 0),
		To:       r.duration("to", 0),
		Duration: r.duration("duration", 0),
		Cells:    r.cells("cells"),
	}
}

// assignClasses appends each class to its service.
func (s *Spec) assignClasses(classes []Class) error {
	for _, c := range classes {
		_, i, ok := lo.FindIndexOf(s.Services, func(svc Service) bool { return svc.Name == c.Service })
		if !ok {
			return errors.Errorf("section [class %s], key service: no section [service %s]", c.Name, c.Service)
		}
		s.Services[i].Classes = append(s.Services[i].Classes, c)
	}
	return nil
}

func (s *Spec) validate() error {
	if s.Name == "" || s.Hosts < 1 || s.Domains < 1 || s.Repeats < 1 || s.Duration <= 0 {
		return errors.New("section [experiment]: expected a name, and hosts, failure_domains, repeats and duration above 0")
	}
	if len(s.Services) == 0 || len(s.Scenarios) == 0 {
		return errors.New("expected at least one section [service NAME] and one [scenario NAME]")
	}
	for _, svc := range s.Services {
		if svc.Targets < 1 || svc.Slots < 1 || len(svc.Classes) == 0 {
			return errors.Errorf("section [service %s]: expected targets and slots above 0 and at least one class", svc.Name)
		}
		if err := svc.ServiceTime.Validate(); err != nil {
			return errors.Wrapf(err, "section [service %s]", svc.Name)
		}
	}
	for _, sc := range s.Scenarios {
		if !slices.Contains(faults, sc.Fault) {
			return errors.Errorf("section [scenario %s], key fault: %q, expected one of %v", sc.Name, sc.Fault, faults)
		}
		for _, c := range sc.Cells {
			if !slices.Contains(policyNames(), c.Policy) {
				return errors.Errorf("section [scenario %s], key cells: policy %q, expected one of %v",
					sc.Name, c.Policy, policyNames())
			}
		}
	}
	return nil
}

var faults = []Fault{NoFault, Noisy, Slow, SilentDrain, FailFast, Restart, FrozenReports, StoreDown, HostKilled, Flood}

// sectionReader reads typed values of a section's keys. It keeps the first error and
// the keys that were read.
type sectionReader struct {
	section   *ini.Section
	knownKeys []string
	err       error
}

func (r *sectionReader) text(key, defaultValue string) string {
	r.knownKeys = append(r.knownKeys, key)
	if !r.section.HasKey(key) {
		return defaultValue
	}
	return strings.TrimSpace(r.section.Key(key).String())
}

func (r *sectionReader) recordError(key, value, expected string) {
	if r.err == nil {
		r.err = errors.Errorf("section [%s], key %s: %q, expected %s", r.section.Name(), key, value, expected)
	}
}

func (r *sectionReader) count(key string, defaultValue int) int {
	text := r.text(key, strconv.Itoa(defaultValue))
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		r.recordError(key, text, "a whole number, 0 or more")
	}
	return n
}

func (r *sectionReader) number(key string, defaultValue float64) float64 {
	text := r.text(key, strconv.FormatFloat(defaultValue, 'g', -1, 64))
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || n < 0 {
		r.recordError(key, text, "a number, 0 or more")
	}
	return n
}

func (r *sectionReader) duration(key string, defaultValue time.Duration) time.Duration {
	text := r.text(key, defaultValue.String())
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		r.recordError(key, text, "a duration such as 1.5ms")
	}
	return d
}

// cells reads a list of policies, each with its loads in percent, such as
// "default 50 85, p2c 85".
func (r *sectionReader) cells(key string) []Cell {
	var cells []Cell
	text := r.text(key, "")
	for _, group := range strings.Split(text, ",") {
		fields := strings.Fields(group)
		if len(fields) < 2 {
			r.recordError(key, text, "policies with loads in percent, such as default 50 85, p2c 85")
			return nil
		}
		for _, field := range fields[1:] {
			load, err := strconv.ParseFloat(field, 64)
			if err != nil || load < 0 {
				r.recordError(key, text, "loads in percent, such as 85")
				return nil
			}
			cells = append(cells, Cell{Policy: fields[0], Load: load})
		}
	}
	return cells
}

// check returns the first error, or an error for a key that was not read.
func (r *sectionReader) check() error {
	if r.err != nil {
		return r.err
	}
	for _, key := range r.section.KeyStrings() {
		if !slices.Contains(r.knownKeys, key) {
			return errors.Errorf("section [%s], key %s: unknown, expected one of %s",
				r.section.Name(), key, strings.Join(r.knownKeys, ", "))
		}
	}
	return nil
}
