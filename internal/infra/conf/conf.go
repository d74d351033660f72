// Package conf reads the settings of a router process from an INI file.
//
// Keys declares every key with its default, range and documentation. The annotated example file is generated from the same
// declarations. A file with an unknown section or key or an invalid value is rejected as a whole, and every error is
// reported with its file, section and key.
package conf

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Settings holds the settings of a router. Each section of the file is a group of fields.
type Settings struct {
	Instance, DataCentre, Region string

	CallersAddress, OperatorsAddress, PeersAddress string

	CallersCert, CallersKey, OperatorsCert, OperatorsKey string
	PeersCert, PeersKey, PeersCA                         string

	OperatorKeyHash, PeerKey string

	LogAddress   string
	LogRetention time.Duration
	// AppendsPerSecond limits the rate of appends for claims.
	AppendsPerSecond float64

	ListAddress  string
	ListInterval time.Duration

	PeerRoundInterval time.Duration

	EntrySlots    int
	FloorFraction float64
	MaxBodyBytes  int64
	MaxConns      int
	// MemoryMB and Descriptors are what the process may use, 0 for half of the machine's memory and for the limit that the process was started with.
	MemoryMB, Descriptors int

	ReadHeaderTimeout, ReadBodyTimeout, WriteStallTimeout                 time.Duration
	FirstTokenTimeout, ProgressTimeout, RequestTimeout, HeartbeatInterval time.Duration
	AdviceValidity, StopTimeout, MaxConnAge                               time.Duration
	LoadInterval, EventsInterval                                          time.Duration
	Policy, LogLevel                                                      string
	MaxMeteredTeams, PollsPerRound                                        int
	DefaultOutputTokens, DefaultQueueLength, EngineLoadPercent            int
}

// Keys returns the declaration of every key, in the order of the example file.
func Keys() []Key {
	var keys []Key
	keys = append(keys, identityKeys()...)
	keys = append(keys, platformKeys()...)
	keys = append(keys, limitKeys()...)
	keys = append(keys, timeKeys()...)
	return append(keys, otherKeys()...)
}

func identityKeys() []Key {
	return []Key{
		nameKey("Instance", "Name", "Name of this instance, as in the instance list.",
			func(s *Settings) *string { return &s.Instance }),
		nameKey("Instance", "DataCentre", "Data centre of this instance.", func(s *Settings) *string { return &s.DataCentre }),
		nameKey("Instance", "Region", "Region of the data centre.", func(s *Settings) *string { return &s.Region }),
		addressKey("Listen", "Callers", "127.0.0.1:8080", "Address for callers.",
			func(s *Settings) *string { return &s.CallersAddress }),
		addressKey("Listen", "Operators", "127.0.0.1:8081", "Address for operators and for scraping metrics.",
			func(s *Settings) *string { return &s.OperatorsAddress }),
		addressKey("Listen", "Peers", "127.0.0.1:8082", "Address for the other routers.",
			func(s *Settings) *string { return &s.PeersAddress }),
		optional(textKey("TLS", "CallersCert", "", "Certificate file for callers. Empty turns TLS off.",
			func(s *Settings) *string { return &s.CallersCert })),
		optional(textKey("TLS", "CallersKey", "", "Key file of CallersCert.", func(s *Settings) *string { return &s.CallersKey })),
		optional(textKey("TLS", "OperatorsCert", "", "Certificate file for operators. Empty turns TLS off.",
			func(s *Settings) *string { return &s.OperatorsCert })),
		optional(textKey("TLS", "OperatorsKey", "", "Key file of OperatorsCert.",
			func(s *Settings) *string { return &s.OperatorsKey })),
		optional(textKey("TLS", "PeersCert", "", "Certificate file for the other routers, with this instance's IP address. Empty turns TLS off.",
			func(s *Settings) *string { return &s.PeersCert })),
		optional(textKey("TLS", "PeersKey", "", "Key file of PeersCert.", func(s *Settings) *string { return &s.PeersKey })),
		optional(textKey("TLS", "PeersCA", "", "Certificates that signed the PeersCert of the other routers.",
			func(s *Settings) *string { return &s.PeersCA })),
		hashKey("Operators", "KeyHash", "SHA-256 of the operators' key in hex, as printed by `quetzalmount table hash-key`.",
			func(s *Settings) *string { return &s.OperatorKeyHash }),
		textKey("Peers", "Key", "", "Shared key that routers prove to each other, at least 16 characters.",
			func(s *Settings) *string { return &s.PeerKey }),
	}
}

func platformKeys() []Key {
	return []Key{
		addressKey("Log", "Address", "127.0.0.1:7001", "Address of the platform's log service.",
			func(s *Settings) *string { return &s.LogAddress }),
		durationKey("Log", "Retention", "24h", time.Second, 365*24*time.Hour,
			"How long the log service keeps records. Live state is appended again at half of it.",
			func(s *Settings) *time.Duration { return &s.LogRetention }),
		numericKey("Log", "AppendsPerSecond", "48", 0.1, 100000,
			"Most appends a second of this instance for calls that must not run twice; all instances share the log's rate.",
			func(s *Settings) *float64 { return &s.AppendsPerSecond }),
		addressKey("List", "Address", "127.0.0.1:7002", "Address of the platform's instance list.",
			func(s *Settings) *string { return &s.ListAddress }),
		durationKey("List", "Every", "1s", 10*time.Millisecond, time.Hour, "Time between two reads of the instance list.",
			func(s *Settings) *time.Duration { return &s.ListInterval }),
		durationKey("Peers", "Round", "500ms", 10*time.Millisecond, time.Minute,
			"Time between two exchanges with other routers.", func(s *Settings) *time.Duration { return &s.PeerRoundInterval }),
	}
}

func limitKeys() []Key {
	return []Key{
		numericKey("Limits", "EntrySlots", "6", 1, 10000,
			"Number of entry instances. Each owns FloorFraction / EntrySlots of every limit. Equal on all instances.",
			func(s *Settings) *int { return &s.EntrySlots }),
		numericKey("Limits", "FloorFraction", "0.1", 0, 1,
			"Part of every limit that is divided among the instances for good; the rest is leased. Equal on all instances.",
			func(s *Settings) *float64 { return &s.FloorFraction }),
		numericKey("Limits", "MaxBodyBytes", "8388608", int64(1024), int64(1<<30), "Largest body of a request, in bytes.",
			func(s *Settings) *int64 { return &s.MaxBodyBytes }),
		numericKey("Limits", "MaxConns", "4096", 1, 1<<20, "Most connections of callers at the same time.",
			func(s *Settings) *int { return &s.MaxConns }),
		numericKey("Limits", "MemoryMB", "0", 0, 1<<24, "Memory of this process in MB. 0 means half of the machine's.",
			func(s *Settings) *int { return &s.MemoryMB }),
		numericKey("Limits", "Descriptors", "0", 0, 1<<24, "Open descriptors of this process. 0 means the limit that it was started with.",
			func(s *Settings) *int { return &s.Descriptors }),
		numericKey("Limits", "DefaultOutputTokens", "1024", 1, 1000000,
			"Output tokens reserved for a request that does not set max_tokens.",
			func(s *Settings) *int { return &s.DefaultOutputTokens }),
		numericKey("Limits", "QueueLength", "64", 1, 100000, "Queue length of teams whose row does not set one.",
			func(s *Settings) *int { return &s.DefaultQueueLength }),
		numericKey("Limits", "EngineLoad", "150", 10, 10000,
			"Requests that the routers together keep at an engine, in percent of its slots. The rest waits in the fair queue.",
			func(s *Settings) *int { return &s.EngineLoadPercent }),
	}
}

func timeKeys() []Key {
	return []Key{
		durationKey("Timeouts", "ReadHeader", "5s", time.Millisecond, time.Hour, "Time for a caller to send its headers.",
			func(s *Settings) *time.Duration { return &s.ReadHeaderTimeout }),
		durationKey("Timeouts", "ReadBody", "30s", time.Millisecond, time.Hour, "Time for a caller to send a whole request.",
			func(s *Settings) *time.Duration { return &s.ReadBodyTimeout }),
		durationKey("Timeouts", "WriteStall", "30s", time.Millisecond, time.Hour,
			"A caller that takes no data of its stream for this long is disconnected.",
			func(s *Settings) *time.Duration { return &s.WriteStallTimeout }),
		durationKey("Timeouts", "FirstToken", "20s", time.Millisecond, time.Hour,
			"Time that an engine has for the first token before another engine is tried.",
			func(s *Settings) *time.Duration { return &s.FirstTokenTimeout }),
		durationKey("Timeouts", "Progress", "2s", time.Millisecond, time.Hour,
			"A stream without a chunk for this long is resumed over a new connection.",
			func(s *Settings) *time.Duration { return &s.ProgressTimeout }),
		durationKey("Timeouts", "Request", "120s", time.Millisecond, 24*time.Hour, "Deadline of a request that names none.",
			func(s *Settings) *time.Duration { return &s.RequestTimeout }),
		durationKey("Timeouts", "Heartbeat", "5s", time.Millisecond, time.Hour,
			"Time between the comments that a waiting stream sends to its caller.",
			func(s *Settings) *time.Duration { return &s.HeartbeatInterval }),
		durationKey("Timeouts", "Stop", "150s", time.Millisecond, 24*time.Hour,
			"Longest time that a graceful stop waits for open requests.",
			func(s *Settings) *time.Duration { return &s.StopTimeout }),
		durationKey("Timeouts", "MaxConnAge", "60s", time.Millisecond, 24*time.Hour,
			"Age at which a pooled connection to an endpoint is closed.",
			func(s *Settings) *time.Duration { return &s.MaxConnAge }),
		durationKey("Advice", "Validity", "10s", 100*time.Millisecond, time.Hour,
			"How long callers may keep the address advice. A stopping instance accepts requests for this long.",
			func(s *Settings) *time.Duration { return &s.AdviceValidity }),
	}
}

func otherKeys() []Key {
	return []Key{
		durationKey("Engines", "LoadEvery", "250ms", 10*time.Millisecond, time.Minute,
			"Time between two load reports that are fetched from an engine.",
			func(s *Settings) *time.Duration { return &s.LoadInterval }),
		durationKey("Engines", "EventsEvery", "500ms", 10*time.Millisecond, time.Minute,
			"Time between two reads of an engine's cache events.", func(s *Settings) *time.Duration { return &s.EventsInterval }),
		numericKey("Engines", "PollsPerRound", "16", 1, 100000,
			"Most load reports fetched in one round; engines in use come first. A report takes about 700 bytes with its headers.",
			func(s *Settings) *int { return &s.PollsPerRound }),
		choiceKey("Placement", "Policy", "expected", []string{"expected", "random", "least", "hash"},
			"Placement policy; all but expected are for comparison.", func(s *Settings) *string { return &s.Policy }),
		choiceKey("Logs", "Level", "info", []string{"debug", "info", "error"}, "Least severe log lines that are written.",
			func(s *Settings) *string { return &s.LogLevel }),
		numericKey("Metrics", "Teams", "200", 1, 100000,
			"Most teams with histograms of their own on this instance; further teams share the label other.",
			func(s *Settings) *int { return &s.MaxMeteredTeams }),
	}
}

func hashKey(section, key, doc string, field func(*Settings) *string) Key {
	k := textKey(section, key, "", doc, field)
	set := k.set
	k.set = func(s *Settings, v string) error {
		if len(v) != 64 || strings.Trim(v, "0123456789abcdef") != "" {
			return errors.New("want 64 hexadecimal digits in lower case")
		}
		return set(s, v)
	}
	return k
}

// ErrorList contains all errors of a settings file.
type ErrorList []string

// Error implements error. It returns one line per error.
func (f ErrorList) Error() string { return strings.Join(f, "\n") }

// Load reads and validates a settings file. The error is an ErrorList if the content is invalid.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithMessage(err, "read settings")
	}
	return Parse(path, data)
}

// Parse parses and validates settings. file is the file name for error messages. The error is an ErrorList.
func Parse(file string, data []byte) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true, AllowShadows: true}, data)
	if err != nil {
		return nil, ErrorList{fmt.Sprintf("%s: %v", file, err)}
	}
	var errs ErrorList
	known := make(map[string]bool)
	s := &Settings{}
	for _, k := range Keys() {
		known[k.Section] = true
		known[k.Section+"."+k.Name] = true
		if err := k.apply(f, s); err != nil {
			errs = append(errs, fmt.Sprintf("%s: [%s] %s: %v", file, k.Section, k.Name, err))
		}
	}
	errs = append(errs, unknownKeys(file, f, known)...)
	errs = append(errs, s.validate(file)...)
	if len(errs) > 0 {
		return nil, errs
	}
	return s, nil
}

// apply sets the field of the key in s to the value in f or to the default.
func (k Key) apply(f *ini.File, s *Settings) error {
	value := k.Default
	if sec, err := f.GetSection(k.Section); err == nil && sec.HasKey(k.Name) {
		key := sec.Key(k.Name)
		if len(key.ValueWithShadows()) > 1 {
			return errors.New("is set more than once")
		}
		value = key.Value()
	}
	if value == "" {
		if k.Optional {
			return nil
		}
		return errors.New("is missing")
	}
	return k.set(s, value)
}

// unknownKeys returns an error for each section and key of f that is not in known. known contains "Section" and
// "Section.Key".
func unknownKeys(file string, f *ini.File, known map[string]bool) ErrorList {
	var errs ErrorList
	for _, sec := range f.Sections() {
		if sec.Name() != ini.DefaultSection && !known[sec.Name()] {
			errs = append(errs, fmt.Sprintf("%s: [%s]: unknown section", file, sec.Name()))
			continue
		}
		for _, key := range sec.Keys() {
			if !known[sec.Name()+"."+key.Name()] {
				errs = append(errs, fmt.Sprintf("%s: [%s] %s: unknown key", file, sec.Name(), key.Name()))
			}
		}
	}
	return errs
}

// validate checks the settings for errors that involve several keys, and the length of the peer key.
func (s *Settings) validate(file string) ErrorList {
	var errs ErrorList
	add := func(section, key, msg string) {
		errs = append(errs, fmt.Sprintf("%s: [%s] %s: %s", file, section, key, msg))
	}
	if (s.CallersCert == "") != (s.CallersKey == "") {
		add("TLS", "CallersKey", "CallersCert and CallersKey go together")
	}
	if (s.OperatorsCert == "") != (s.OperatorsKey == "") {
		add("TLS", "OperatorsKey", "OperatorsCert and OperatorsKey go together")
	}
	if (s.PeersCert == "") != (s.PeersKey == "") || (s.PeersCert == "") != (s.PeersCA == "") {
		add("TLS", "PeersCert", "PeersCert, PeersKey and PeersCA go together")
	}
	if s.PeerKey != "" && len(s.PeerKey) < 16 {
		add("Peers", "Key", "is shorter than 16 characters")
	}
	if s.ProgressTimeout > s.RequestTimeout {
		add("Timeouts", "Progress", "is longer than Request")
	}
	return errs
}

// Example returns an annotated settings file that sets every key to its default.
func Example() []byte {
	var b bytes.Buffer
	b.WriteString("# Settings of one quetzalmount router. `quetzalmount check --settings FILE` checks a file.\n")
	section := ""
	for _, k := range Keys() {
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(&b, "\n[%s]\n", section)
		}
		fmt.Fprintf(&b, "# %s\n", k.Doc)
		switch {
		case k.Default != "":
			fmt.Fprintf(&b, "%s = %s\n", k.Name, k.Default)
		case k.Optional:
			fmt.Fprintf(&b, "# %s =\n", k.Name)
		default:
			fmt.Fprintf(&b, "%s = %s\n", k.Name, exampleValues[k.Section+"."+k.Name])
		}
	}
	return b.Bytes()
}

// exampleValues contains the values of required keys without a default, by "Section.Key".
var exampleValues = map[string]string{
	"Instance.Name":       "entry-1",
	"Instance.DataCentre": "dub-a",
	"Instance.Region":     "eu-dub",
	// SHA-256 of "demo-operator-key", which is for demonstration only.
	"Operators.KeyHash": "4a7c449d22a99026fac16a47621ff68792ff589f72334ea3950ce186a5615e9a",
	"Peers.Key":         "change-me-before-use",
}
