package table

// Kind is the kind of a row.
type Kind string

// Kinds of rows.
const (
	Team    Kind = "team"
	Model   Kind = "model"
	Version Kind = "version"
	Adapter Kind = "adapter"
	Group   Kind = "group"
	Service Kind = "service"
)

// Kinds returns the kinds in the order of a written sheet.
func Kinds() []Kind { return []Kind{Group, Model, Version, Adapter, Service, Team} }

// Type is the type of the values in a column.
type Type string

// Types of values.
const (
	Number Type = "number"
	Count  Type = "count"
	YesNo  Type = "yes or no"
	Choice Type = "choice"
	Name   Type = "name"
	Names  Type = "names"
	Hash   Type = "hash"
)

// Column describes one column of one kind of row. Validation uses it, and the table command prints it.
type Column struct {
	Kind Kind
	Name string
	Type Type
	// Unit is empty for values without a unit.
	Unit string
	// Default is the value of an empty cell. It is not used if Required is set.
	Default  string
	Required bool
	// Min and Max are the inclusive bounds of a Number or a Count.
	Min, Max float64
	// Choices are the allowed values of a Choice.
	Choices []string `json:",omitempty"`
	// Refers is the kind of the rows that a Name or Names refers to, empty if any name is allowed.
	Refers Kind `json:",omitempty"`
	// Text is a sentence that describes the column to operators.
	Text string
}

// columns holds the columns of all kinds in the order of a written sheet. The default limits are 17 to 23 times the
// average of a team at the target size (5,200 requests/s and 2.4M output tokens/s over 12,000 teams: 26 requests and
// 12,000 output tokens a minute).
var columns = []Column{
	{Kind: Group, Name: "Engines", Type: Count, Unit: "engines", Default: "1", Min: 1, Max: 100_000,
		Text: "Expected number of engines in the group."},
	{Kind: Group, Name: "Fences", Type: YesNo, Default: "no",
		Text: "Yes if the engines refuse commands with a stale fencing token."},
	{Kind: Group, Name: "Role", Type: Choice, Default: "mixed", Choices: []string{"mixed", "prefill", "decode"},
		Text: "Work that the engines of the group do."},

	{Kind: Model, Name: "Group", Type: Name, Required: true, Refers: Group,
		Text: "Group of engines that serves the model; a group serves one model."},
	{Kind: Model, Name: "Version", Type: Name, Required: true, Refers: Version,
		Text: "Weights that the engines should serve; the version must be one of this model."},
	{Kind: Model, Name: "Adapters", Type: Names, Refers: Adapter,
		Text: "Adapters that the engines should load, separated by spaces; each must be one of this model."},
	{Kind: Model, Name: "Continue", Type: YesNo, Default: "no",
		Text: "Yes if an engine can continue an answer from text that another engine emitted."},

	{Kind: Version, Name: "Model", Type: Name, Required: true, Refers: Model, Text: "Model that the weights belong to."},
	{Kind: Adapter, Name: "Model", Type: Name, Required: true, Refers: Model, Text: "Model that the adapter belongs to."},

	{Kind: Service, Name: "Repeatable", Type: Names,
		Text: "Calls that may be repeated, separated by spaces."},
	{Kind: Service, Name: "Fences", Type: YesNo, Default: "no",
		Text: "Yes if the service refuses stale fencing tokens."},
	{Kind: Service, Name: "Dedupes", Type: YesNo, Default: "no",
		Text: "Yes if the service runs calls with the same idempotency key once."},
	{Kind: Service, Name: "TimeoutMs", Type: Count, Unit: "ms", Default: "30000", Min: 1, Max: 3_600_000,
		Text: "Time after which a call counts as failed."},

	{Kind: Team, Name: "Key", Type: Hash, Required: true,
		Text: "SHA-256 of the key that the team's callers send, in hex; see table hash-key."},
	{Kind: Team, Name: "Weight", Type: Number, Default: "1", Min: 0.01, Max: 1000,
		Text: "Share of the engines relative to other teams when requests queue."},
	{Kind: Team, Name: "RequestsPerMinute", Type: Number, Unit: "requests/min", Default: "600", Max: 1e7,
		Text: "Limit over all instances; 0 means no limit."},
	{Kind: Team, Name: "PromptTokensPerMinute", Type: Number, Unit: "tokens/min", Default: "2000000", Max: 1e12,
		Text: "Limit over all instances; 0 means no limit."},
	{Kind: Team, Name: "OutputTokensPerMinute", Type: Number, Unit: "tokens/min", Default: "200000", Max: 1e12,
		Text: "Limit over all instances; 0 means no limit."},
	{Kind: Team, Name: "Concurrency", Type: Count, Unit: "requests", Default: "32", Max: 1e6,
		Text: "Requests that may run at the same time over all instances; 0 means no limit."},
	{Kind: Team, Name: "QueueLength", Type: Count, Unit: "requests", Default: "64", Max: 1e6,
		Text: "Requests that may wait at the same time over all instances; 0 means no limit."},
	{Kind: Team, Name: "MaxPromptTokens", Type: Count, Unit: "tokens", Default: "128000", Max: 1e9,
		Text: "Longest prompt that is taken; 0 means no limit."},
}

// layout holds the columns of one kind and maps their names to positions in Row.cells.
type layout struct {
	columns []Column
	index   map[string]int
}

var layouts = layoutsByKind(columns)

func layoutsByKind(all []Column) map[Kind]*layout {
	out := make(map[Kind]*layout)
	for _, c := range all {
		l, ok := out[c.Kind]
		if !ok {
			l = &layout{index: make(map[string]int)}
			out[c.Kind] = l
		}
		l.index[c.Name] = len(l.columns)
		l.columns = append(l.columns, c)
	}
	return out
}

// Columns returns a copy of the descriptions of all columns in the order of a written sheet.
func Columns() []Column { return append([]Column(nil), columns...) }

// ColumnNames returns the header of a written sheet: Kind, Name, and each column name once.
func ColumnNames() []string {
	names := []string{"Kind", "Name"}
	seen := make(map[string]bool)
	for _, c := range columns {
		if !seen[c.Name] {
			seen[c.Name] = true
			names = append(names, c.Name)
		}
	}
	return names
}
